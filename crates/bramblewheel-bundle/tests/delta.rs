//! A delta leads from one bundle to exactly one other.

mod support;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use bramblewheel_bundle::{Bundle, DecodeError, Delta, DeltaError, canonical, digest};
use bramblewheel_types::{BundleVersion, Millis};
use support::{arbitrary_bundle, bundle_of_the_size_to_come, for_seeds, service};

/// Bundles drawn for each property.
const CASES: u64 = 300;

/// Applies encoded bytes towards a target, as a daemon does.
fn apply(bytes: &[u8], older: &Bundle, newer: &Bundle) -> Result<Bundle, DeltaError> {
    let target = canonical::encode(newer);
    let delta = Delta::decode(bytes)?;
    let (bundle, reached) = delta.apply(older, digest(&target), newer.version)?;
    assert_eq!(reached, target);
    Ok(bundle)
}

/// A bundle that has some parts of `older` and others of its own.
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
fn a_delta_leads_to_the_newer_bundle() {
    for_seeds(CASES, 1_000, |u| {
        let older = arbitrary_bundle(u)?;
        let newer = arbitrary_successor(u, &older)?;
        let delta = Delta::between(&older, &newer).encode();
        assert_eq!(apply(&delta, &older, &newer).as_ref(), Ok(&newer));
        Ok(())
    });
}

#[test]
fn deltas_one_after_the_other_are_one_delta() {
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
fn an_altered_delta_never_leads_elsewhere() {
    for_seeds(CASES, 1_000, |u| {
        let older = arbitrary_bundle(u)?;
        let newer = arbitrary_successor(u, &older)?;
        let mut delta = Delta::between(&older, &newer).encode();
        let index = u.choose_index(delta.len())?;
        delta[index] ^= u.int_in_range(1..=255)?;
        // An altered byte may leave the meaning as it is, as that of a name that is removed and
        // never was there; then the right bundle is reached.
        if let Ok(reached) = apply(&delta, &older, &newer) {
            assert_eq!(reached, newer);
        }
        Ok(())
    });
}

#[test]
fn every_altered_value_is_refused() {
    let older = bundle_of_the_size_to_come();
    let mut newer = older.clone();
    newer.version = BundleVersion(2);
    let name = service("service-of-usual-name-7");
    let policy = newer.services.get_mut(&name).expect("there");
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
    let policy = other.services.get_mut(&name).expect("there");
    let deadline = bytes.first_chunk().expect("four bytes");
    policy.deadline = Millis(u32::from_be_bytes(*deadline).into());
    other
}

#[test]
fn a_delta_from_another_bundle_is_refused() {
    let older = bundle_of_the_size_to_come();
    let mut newer = older.clone();
    newer.version = BundleVersion(3);
    newer.limits.max_depth += 1;
    let mut strange = older.clone();
    strange.services.pop_last();
    let delta = Delta::between(&older, &newer).encode();
    assert!(apply(&delta, &older, &newer).is_ok());
    let refused = apply(&delta, &strange, &newer);
    assert!(
        matches!(
            refused,
            Err(DeltaError::WrongTarget(DecodeError::DigestMismatch { .. }))
        ),
        "{refused:?}"
    );
}

#[test]
fn a_change_of_one_service_costs_a_hundredth_of_the_bundle() {
    let older = bundle_of_the_size_to_come();
    let mut newer = older.clone();
    newer.version = BundleVersion(2);
    let name = service("service-of-usual-name-7");
    newer.services.get_mut(&name).expect("there").deadline = Millis(700);
    let whole = canonical::encode(&newer).len();
    let delta = Delta::between(&older, &newer).encode().len();
    println!("whole {whole} bytes, delta of one service {delta} bytes");
    assert!(delta * 100 < whole);
}
