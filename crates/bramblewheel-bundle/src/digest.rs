//! Bundle digest, used for signing and comparison: SHA-256 over the SHA-256 digests of the two
//! sections of the canonical encoding.

use crate::sections;
use bramblewheel_types::BundleDigest;
use sha2::{Digest, Sha256};

/// Domain separation: a bundle's digest can't equal the SHA-256 of any other kind of data.
const DOMAIN: &[u8] = b"bramblewheel bundle digest v2\0";

/// Digest of a bundle's canonical encoding.
pub fn digest(canonical_bytes: &[u8]) -> BundleDigest {
    let (head, rest) = sections::split(canonical_bytes);
    digest_of_sections(head, rest_digest(rest))
}

/// SHA-256 of the section that follows the head.
pub fn rest_digest(rest: &[u8]) -> [u8; 32] {
    Sha256::digest(rest).into()
}

/// Digest of a bundle from its head and the digest of its second section.
pub fn digest_of_sections(head: &[u8], rest_digest: [u8; 32]) -> BundleDigest {
    let mut hash = Sha256::new();
    hash.update(DOMAIN);
    hash.update(Sha256::digest(head));
    hash.update(rest_digest);
    BundleDigest(hash.finalize().into())
}
