//! Signature threshold of N different operators out of M, and operator key files.

mod support;

use bramblewheel_bundle::signature::{self, MAX_SIGNATURES};
use bramblewheel_bundle::{KeyFileError, OperatorKey, SignatureError, verify};
use bramblewheel_types::BundleDigest;
use support::{keys, policy};

const DIGEST: BundleDigest = BundleDigest([9; 32]);

type Signed = (String, [u8; signature::SIGNATURE_LENGTH]);

fn signed(key: &OperatorKey, digest: BundleDigest) -> Signed {
    (key.name().to_owned(), key.sign(digest))
}

fn check(required: u32, listed: &[OperatorKey], signed: &[Signed]) -> Result<(), SignatureError> {
    let pairs = signed.iter().map(|(name, bytes)| (&**name, &bytes[..]));
    verify(&policy(required, listed), DIGEST, pairs)
}

#[test]
fn the_required_number_of_operators_suffices_and_fewer_do_not() {
    let keys = keys(4);
    let all: Vec<Signed> = keys.iter().map(|key| signed(key, DIGEST)).collect();
    for required in 1..=4 {
        for given in 0..=4 {
            let result = check(required, &keys, &all[..given]);
            assert_eq!(result.is_ok(), given >= required as usize);
        }
    }
}

#[test]
fn two_signatures_of_one_operator_count_once() {
    let keys = keys(2);
    let twice = [signed(&keys[0], DIGEST), signed(&keys[0], DIGEST)];
    let expected = SignatureError::TooFew {
        valid: 1,
        required: 2,
        unknown: Vec::new(),
    };
    assert_eq!(check(2, &keys, &twice), Err(expected));
}

#[test]
fn signatures_of_unknown_operators_are_named_and_not_counted() {
    let keys = keys(3);
    let by = [signed(&keys[0], DIGEST), signed(&keys[2], DIGEST)];
    let expected = SignatureError::TooFew {
        valid: 1,
        required: 2,
        unknown: vec!["operator-2".to_owned()],
    };
    assert_eq!(check(2, &keys[..2], &by), Err(expected));
    assert_eq!(check(1, &keys[..2], &by), Ok(()));
    let with_line_break = [("a\nresult=accepted".to_owned(), keys[0].sign(DIGEST))];
    let error = check(1, &keys, &with_line_break).expect_err("the operator is unknown");
    assert!(
        error
            .to_string()
            .ends_with("unknown operator (invalid name)")
    );
}

#[test]
fn an_invalid_signature_is_refused_by_name_even_if_enough_others_are_valid() {
    let keys = keys(3);
    let valid = signed(&keys[0], DIGEST);
    let of_another_digest = signed(&keys[1], BundleDigest([8; 32]));
    let by_another_key = ("operator-1".to_owned(), keys[2].sign(DIGEST));
    let mut altered = signed(&keys[1], DIGEST);
    altered.1[0] ^= 1;
    for wrong in [of_another_digest, by_another_key, altered] {
        let operators = vec!["operator-1".to_owned()];
        let expected = SignatureError::Wrong { operators };
        assert_eq!(check(1, &keys, &[valid.clone(), wrong]), Err(expected));
    }
    let short = [("operator-0", &valid.1[..63])];
    assert!(verify(&policy(1, &keys), DIGEST, short).is_err());
}

#[test]
fn more_than_the_maximum_number_of_signatures_is_refused() {
    let keys = keys(1);
    let too_many = vec![signed(&keys[0], DIGEST); MAX_SIGNATURES + 1];
    assert_eq!(check(1, &keys, &too_many), Err(SignatureError::TooMany));
}

#[test]
fn key_files_survive_a_round_trip_and_invalid_ones_are_refused() {
    let key = OperatorKey::generate("anna").expect("the random source works");
    let text = key.to_text();
    let read = OperatorKey::parse(&text).expect("a generated key file is valid");
    assert_eq!(read.public_key(), key.public_key());
    assert_eq!(read.name(), "anna");
    let other = OperatorKey::generate("anna").expect("the random source works");
    let mixed = text.replace(&key.public_key_hex(), &other.public_key_hex());
    let error = OperatorKey::parse(&mixed);
    assert!(matches!(error, Err(KeyFileError::PublicKeyMismatch)));
    let short = OperatorKey::parse(&text.replace("secret_key = \"", "secret_key = \"0"));
    assert!(matches!(short, Err(KeyFileError::InvalidSecretKey)));
    let named = OperatorKey::generate("Anna B");
    assert!(matches!(named, Err(KeyFileError::InvalidName(_))));
    let unknown = OperatorKey::parse(&format!("{text}role = 1\n"));
    assert!(matches!(unknown, Err(KeyFileError::Malformed(_))));
}

#[test]
fn debug_output_and_errors_do_not_contain_the_secret_key() {
    let key = &keys(1)[0];
    let secret = "01".repeat(32);
    assert!(key.to_text().contains(&secret));
    assert!(!format!("{key:?}").contains(&secret));
    let broken = format!("name = \"a\"\nsecret_key = \"{secret}\" x\n");
    let error = OperatorKey::parse(&broken).expect_err("not TOML");
    assert!(!format!("{error} {error:?}").contains(&secret));
}
