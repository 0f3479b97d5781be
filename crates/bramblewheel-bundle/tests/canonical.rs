//! Every bundle has one encoding, and altered bytes are refused.

mod support;

use bramblewheel_bundle::{Bundle, DecodeError, canonical, digest, parse, to_toml};
use bramblewheel_types::{BundleDigest, BundleVersion};
use support::{arbitrary_bundle, for_seeds, large_bundle, torgnett};

/// Random bundles per property.
const CASES: u64 = 300;

#[test]
fn bundles_survive_round_trips_as_text_and_as_bytes() {
    for_seeds(CASES, 500, |u| {
        let bundle = arbitrary_bundle(u)?;
        assert_eq!(parse("a.toml", &to_toml(&bundle)).as_ref(), Ok(&bundle));
        let bytes = canonical::encode(&bundle);
        let read = Bundle::from_signed_bytes(&bytes, digest(&bytes), bundle.version);
        assert_eq!(read.as_ref(), Ok(&bundle));
        assert_eq!(canonical::encode(&bundle.clone()), bytes);
        Ok(())
    });
}

/// A changed encoding changes the digest of every signed bundle and needs a new format version.
#[test]
fn the_encoding_of_the_test_bundle_is_unchanged() {
    let digest = digest(&canonical::encode(&torgnett()));
    assert_eq!(
        digest.to_string(),
        "7b79dc3f74308daa9a7780e30f95df828f2ca7fd04511cdae2aac0d57b97d2b2"
    );
}

#[test]
fn the_order_of_services_in_the_text_does_not_change_the_encoding() {
    let bundle = torgnett();
    let text = to_toml(&bundle);
    let (head, services) = text
        .split_once("\n[[service]]")
        .expect("the text has services");
    let mut services: Vec<&str> = services.split("\n[[service]]").collect();
    services.reverse();
    let reversed = format!("{head}\n[[service]]{}", services.join("\n[[service]]"));
    let read = parse("a.toml", &reversed).expect("the reordered text is valid");
    assert_eq!(canonical::encode(&read), canonical::encode(&bundle));
}

#[test]
fn altered_bytes_are_refused() {
    let bundle = torgnett();
    let bytes = canonical::encode(&bundle);
    let stated = digest(&bytes);
    for index in 0..bytes.len() {
        let mut altered = bytes.clone();
        altered[index] ^= 1;
        let error = Bundle::from_signed_bytes(&altered, stated, bundle.version);
        assert!(matches!(error, Err(DecodeError::DigestMismatch { .. })));
        assert_ne!(canonical::decode(&altered).as_ref(), Ok(&bundle));
        assert!(canonical::decode(&bytes[..index]).is_err());
    }
    let longer = [&bytes[..], &[0]].concat();
    assert_eq!(canonical::decode(&longer), Err(DecodeError::NotCanonical));
}

#[test]
fn another_encoding_of_the_same_bundle_is_refused() {
    let bytes = canonical::encode(&torgnett());
    // Version 1, encoded in two bytes instead of one.
    let version = b"gversion\x01";
    let at = bytes
        .windows(version.len())
        .position(|window| window == version)
        .expect("version is encoded")
        + version.len()
        - 1;
    let mut wider = [&bytes[..at], &[0x18, 0x01], &bytes[at + 1..]].concat();
    // The head becomes one byte longer; its length follows the marker.
    let length = b"bramblewheel-bundle\x02".len();
    let field = &mut wider[length..length + 4];
    let head = u32::from_be_bytes(field.try_into().expect("four bytes")) + 1;
    field.copy_from_slice(&head.to_be_bytes());
    assert_eq!(canonical::decode(&wider), Err(DecodeError::NotCanonical));
}

#[test]
fn an_encoded_bundle_that_is_invalid_is_refused() {
    let mut bundle = torgnett();
    bundle.limits.max_depth = 0;
    let decoded = canonical::decode(&canonical::encode(&bundle));
    let Err(DecodeError::Invalid(invalid)) = decoded else {
        panic!("expected an invalid bundle, got {decoded:?}");
    };
    assert_eq!(invalid.findings[0].key, "limits.max_depth");
}

#[test]
fn a_wrong_stated_version_or_digest_and_too_long_bytes_are_refused() {
    let bundle = torgnett();
    let bytes = canonical::encode(&bundle);
    let version = BundleVersion(2);
    let error = Bundle::from_signed_bytes(&bytes, digest(&bytes), version);
    let expected = DecodeError::VersionMismatch {
        stated: version,
        actual: bundle.version,
    };
    assert_eq!(error, Err(expected));
    let error = Bundle::from_signed_bytes(&bytes, BundleDigest([0; 32]), bundle.version);
    assert!(matches!(error, Err(DecodeError::DigestMismatch { .. })));
    let long = vec![0; canonical::MAX_BUNDLE_LENGTH + 1];
    assert_eq!(
        canonical::decode(&long),
        Err(DecodeError::TooLong(long.len()))
    );
}

#[test]
fn a_large_bundle_takes_less_than_half_of_the_maximum_length() {
    let bundle = large_bundle();
    let bytes = canonical::encode(&bundle);
    println!("{} bytes", bytes.len());
    assert!(bytes.len() < canonical::MAX_BUNDLE_LENGTH / 2);
    assert_eq!(canonical::decode(&bytes).as_ref(), Ok(&bundle));
}
