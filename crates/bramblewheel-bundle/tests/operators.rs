//! Changes of the operators are applied one by one; each must be signed by the previous operators.

mod support;

use bramblewheel_bundle::sections::split;
use bramblewheel_bundle::{
    AuthorizationError, Bundle, DecodeError, OperatorKey, SignatureError, TrustedOperators,
    canonical, digest, digest::rest_digest,
};
use bramblewheel_types::BundleVersion;
use support::{keys, policy, torgnett};

/// A bundle whose next bundle must be signed by all of `keys`.
fn bundle(version: u64, keys: &[OperatorKey]) -> Bundle {
    Bundle {
        version: BundleVersion(version),
        operators: policy(keys.len() as u32, keys),
        ..torgnett()
    }
}

type Signed = (String, [u8; 64]);

fn signed(bytes: &[u8], signers: &[OperatorKey]) -> Vec<Signed> {
    let digest = digest(bytes);
    let sign = |key: &OperatorKey| (key.name().to_owned(), key.sign(digest));
    signers.iter().map(sign).collect()
}

fn pairs(signed: &[Signed]) -> impl Iterator<Item = (&str, &[u8])> {
    signed.iter().map(|(name, bytes)| (&**name, &bytes[..]))
}

fn apply_change(
    trusted: &mut TrustedOperators,
    bundle: &Bundle,
    signers: &[OperatorKey],
) -> Result<(), AuthorizationError> {
    let bytes = canonical::encode(bundle);
    let (head, rest) = split(&bytes);
    trusted.apply_change(head, rest_digest(rest), pairs(&signed(&bytes, signers)))
}

#[test]
fn consecutive_changes_are_applied_one_by_one() {
    let keys = keys(8);
    let mut trusted = TrustedOperators::of(&bundle(1, &keys[..2]));
    for change in 1..=3 {
        let at = change * 2;
        let after = bundle(change as u64 * 10, &keys[at..at + 2]);
        let applied = apply_change(&mut trusted, &after, &keys[at - 2..at]);
        assert_eq!(applied, Ok(()));
        assert_eq!(trusted, TrustedOperators::of(&after));
    }
    let newest = canonical::encode(&bundle(31, &keys[..1]));
    let by_latest_operators = signed(&newest, &keys[6..8]);
    let authorized = trusted.authorize(
        BundleVersion(31),
        digest(&newest),
        pairs(&by_latest_operators),
    );
    assert_eq!(authorized, Ok(()));
}

#[test]
fn a_skipped_or_forged_change_is_refused_and_leaves_the_operators_unchanged() {
    let keys = keys(6);
    let first = TrustedOperators::of(&bundle(1, &keys[..2]));
    let too_few = |version| AuthorizationError::Unsigned {
        version: BundleVersion(version),
        error: SignatureError::TooFew {
            valid: 0,
            required: 2,
            unknown: vec!["operator-2".to_owned(), "operator-3".to_owned()],
        },
    };
    let mut trusted = first.clone();
    let skipping_change = bundle(3, &keys[4..6]);
    let refused = apply_change(&mut trusted, &skipping_change, &keys[2..4]);
    assert_eq!(refused, Err(too_few(3)));
    let forged = bundle(2, &keys[2..4]);
    let refused = apply_change(&mut trusted, &forged, &keys[2..4]);
    assert_eq!(refused, Err(too_few(2)));
    let one_of_two_signatures = apply_change(&mut trusted, &forged, &keys[..1]);
    assert!(matches!(
        one_of_two_signatures,
        Err(AuthorizationError::Unsigned { .. })
    ));
    assert_eq!(trusted, first);
    assert_eq!(apply_change(&mut trusted, &forged, &keys[..2]), Ok(()));
}

#[test]
fn a_change_to_an_older_version_is_refused() {
    let keys = keys(2);
    let mut trusted = TrustedOperators::of(&bundle(5, &keys));
    for version in [4, 5] {
        let refused = apply_change(&mut trusted, &bundle(version, &keys), &keys);
        let expected = AuthorizationError::NotNewer {
            offered: BundleVersion(version),
            trusted: BundleVersion(5),
        };
        assert_eq!(refused, Err(expected));
    }
}

#[test]
fn a_change_with_any_byte_altered_is_refused() {
    let keys = keys(4);
    let mut trusted = TrustedOperators::of(&bundle(1, &keys[..2]));
    let bytes = canonical::encode(&bundle(2, &keys[2..]));
    let by_operators = signed(&bytes, &keys[..2]);
    let (head, rest) = split(&bytes);
    let rest = rest_digest(rest);
    for index in 0..head.len() {
        let mut altered = head.to_vec();
        altered[index] ^= 1;
        let refused = trusted.apply_change(&altered, rest, pairs(&by_operators));
        assert!(refused.is_err(), "byte {index}");
    }
    let mut other_rest = rest;
    other_rest[31] ^= 1;
    let refused = trusted.apply_change(head, other_rest, pairs(&by_operators));
    assert!(matches!(refused, Err(AuthorizationError::Unsigned { .. })));
    let refused = trusted.apply_change(&bytes, rest, pairs(&by_operators));
    let expected = AuthorizationError::Malformed(DecodeError::NotCanonical);
    assert_eq!(refused, Err(expected));
    assert_eq!(
        trusted.apply_change(head, rest, pairs(&by_operators)),
        Ok(())
    );
}

#[test]
fn a_change_of_5_operators_with_3_signatures_is_under_1_kib() {
    let keys = keys(5);
    let bytes = canonical::encode(&bundle(2, &keys));
    let (head, rest) = split(&bytes);
    let signatures: usize = pairs(&signed(&bytes, &keys[..3]))
        .map(|(name, signature)| name.len() + signature.len())
        .sum();
    let length = head.len() + 32 + signatures;
    println!(
        "5 operators, 3 signatures: {length} bytes; rest {} bytes",
        rest.len()
    );
    assert!(length < 1_024);
}
