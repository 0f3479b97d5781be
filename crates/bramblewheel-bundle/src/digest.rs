//! The digest by which a bundle is signed and compared: SHA-256 over the SHA-256 of each of the two
//! sections of its canonical bytes.

use crate::sections;
use bramblewheel_types::BundleDigest;
use sha2::{Digest, Sha256};

/// Keeps a bundle's digest from being the SHA-256 of anything else.
const DOMAIN: &[u8] = b"bramblewheel bundle digest v2\0";

/// Digest of canonical bytes.
pub fn digest(canonical_bytes: &[u8]) -> BundleDigest {
    let (head, rest) = sections::split(canonical_bytes);
    digest_of_sections(head, rest_digest(rest))
}

/// SHA-256 of the section behind the head.
pub fn rest_digest(rest: &[u8]) -> [u8; 32] {
    Sha256::digest(rest).into()
}

/// Digest of a bundle of which only the head is at hand.
pub fn digest_of_sections(head: &[u8], rest_digest: [u8; 32]) -> BundleDigest {
    let mut hash = Sha256::new();
    hash.update(DOMAIN);
    hash.update(Sha256::digest(head));
    hash.update(rest_digest);
    BundleDigest(hash.finalize().into())
}
