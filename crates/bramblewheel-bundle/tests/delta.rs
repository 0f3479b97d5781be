//! A delta produces exactly the bundle that it was computed for.

mod support;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use bramblewheel_bundle::{Bundle, DecodeError, Delta, DeltaError, canonical, digest};
use bramblewheel_types::{BundleVersion, Millis};
use support::{arbitrary_bundle, for_seeds, large_bundle, service};

/// Random inputs for each property.
const CASES: u64 = 300;

/// Decodes a delta and applies it to `older`, with the digest and version of `newer`, as a daemon does.
fn apply(bytes: &[u8], older: &Bundle, newer: &Bundle) -> Result<Bundle, DeltaError> {
    let target = canonical::encode(newer);
    let delta = Delta::decode(bytes)?;
    let (bundle, reached) = delta.apply(older, digest(&target), newer.version)?;
    assert_eq!(reached, target);
    Ok(bundle)
}

/// A random bundle that shares some parts with `older`.
fn arbitrary_successor(u: &mut Unstructured<'_>, older: &Bundle) -> Drawn<Bundle> {
    let mut newer = arbitrary_bundle(u)?;
    if u.arbitrary()? {
        newer.operators = older.operators.clone();
    }
    if u.arbitrary()? {
        newer.limits = older.limits.clone();
    }
    for (name, policy) in &older.services {
        if u.arbitrary()? {
            newer.services.insert(name.clone(), policy.clone());
        }
    }
    Ok(newer)
}

#[test]
fn a_delta_produces_the_newer_bundle() {
    for_seeds(CASES, 1_000, |u| {
        let older = arbitrary_bundle(u)?;
        let newer = arbitrary_successor(u, &older)?;
        let delta = Delta::between(&older, &newer).encode();
        assert_eq!(apply(&delta, &older, &newer).as_ref(), Ok(&newer));
        Ok(())
    });
}

#[test]
fn combined_deltas_produce_the_last_bundle() {
    for_seeds(CASES, 1_000, |u| {
        let first = arbitrary_bundle(u)?;
        let second = arbitrary_successor(u, &first)?;
        let third = arbitrary_successor(u, &second)?;
        let both = Delta::between(&first, &second).then(Delta::between(&second, &third));
        let reached = apply(&both.encode(), &first, &third);
        assert_eq!(reached.as_ref(), Ok(&third));
        Ok(())
    });
}

#[test]
fn an_altered_delta_never_produces_another_bundle() {
    for_seeds(CASES, 1_000, |u| {
        let older = arbitrary_bundle(u)?;
        let newer = arbitrary_successor(u, &older)?;
        let mut delta = Delta::between(&older, &newer).encode();
        let index = u.choose_index(delta.len())?;
        delta[index] ^= u.int_in_range(1..=255)?;
        // An altered byte need not change the result, such as one in the name of a removed service
        // that `older` does not have.
        if let Ok(reached) = apply(&delta, &older, &newer) {
            assert_eq!(reached, newer);
        }
        Ok(())
    });
}

#[test]
fn a_delta_with_any_byte_of_a_deadline_altered_is_refused() {
    let older = large_bundle();
    let mut newer = older.clone();
    newer.version = BundleVersion(2);
    let name = service("service-of-usual-name-7");
    let policy = newer
        .services
        .get_mut(&name)
        .expect("the bundle has the service");
    policy.deadline = Millis(0x1234_5678);
    let delta = Delta::between(&older, &newer).encode();
    let at = delta
        .windows(4)
        .position(|window| window == 0x1234_5678_u32.to_be_bytes())
        .expect("the deadline is encoded");
    for index in at..at + 4 {
        let mut altered = delta.clone();
        altered[index] ^= 1;
        let refused = apply(&altered, &older, &newer);
        let mismatch = DecodeError::DigestMismatch {
            stated: digest(&canonical::encode(&newer)),
            actual: digest(&canonical::encode(&other_deadline(&newer, &altered[at..]))),
        };
        assert_eq!(refused, Err(DeltaError::WrongTarget(mismatch)));
    }
}

fn other_deadline(bundle: &Bundle, bytes: &[u8]) -> Bundle {
    let mut other = bundle.clone();
    let name = service("service-of-usual-name-7");
    let policy = other
        .services
        .get_mut(&name)
        .expect("the bundle has the service");
    let deadline = bytes.first_chunk().expect("four bytes");
    policy.deadline = Millis(u32::from_be_bytes(*deadline).into());
    other
}

#[test]
fn a_delta_from_another_bundle_is_refused() {
    let older = large_bundle();
    let mut newer = older.clone();
    newer.version = BundleVersion(3);
    newer.limits.max_depth += 1;
    let mut other = older.clone();
    other.services.pop_last();
    let delta = Delta::between(&older, &newer).encode();
    assert!(apply(&delta, &older, &newer).is_ok());
    let refused = apply(&delta, &other, &newer);
    assert!(
        matches!(
            refused,
            Err(DeltaError::WrongTarget(DecodeError::DigestMismatch { .. }))
        ),
        "{refused:?}"
    );
}

#[test]
fn a_delta_of_one_service_is_under_a_hundredth_of_the_bundle() {
    let older = large_bundle();
    let mut newer = older.clone();
    newer.version = BundleVersion(2);
    let name = service("service-of-usual-name-7");
    newer
        .services
        .get_mut(&name)
        .expect("the bundle has the service")
        .deadline = Millis(700);
    let whole = canonical::encode(&newer).len();
    let delta = Delta::between(&older, &newer).encode().len();
    println!("whole {whole} bytes, delta of one service {delta} bytes");
    assert!(delta * 100 < whole);
}
