//! SHA-256 of a bundle's canonical bytes: the name by which a bundle is signed and compared.

use bramblewheel_types::BundleDigest;
use sha2::{Digest, Sha256};

/// Digest of canonical bytes.
pub fn digest(canonical_bytes: &[u8]) -> BundleDigest {
    BundleDigest(Sha256::digest(canonical_bytes).into())
}
