//! Which requests are tries of the same one.
//!
//! Each try of a caller has an id of its own, and callers try again at other daemons. What they send
//! stays the same: tenant, method, host, path with its query, and body.

use bramblewheel_protocol::content::ContentDigest;
use sha2::{Digest, Sha256};

/// Bytes of a body that count. Longer bodies are passed on as they come, so that only their beginning is
/// known when the request is sent.
pub const COUNTED_BODY_BYTES: usize = 64 * 1024;

/// What of a request its tries have in common.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Tenant that it comes from; empty without one. No tenant can get another's requests refused.
    pub tenant: &'a str,
    /// Method.
    pub method: &'a str,
    /// Host that it is for.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The body, or its beginning.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Digest of the content. Each part is preceded by its length, so that no two contents are one row
    /// of bytes.
    pub fn digest(&self) -> ContentDigest {
        let counted = self.body.len().min(COUNTED_BODY_BYTES);
        let parts = [
            self.tenant.as_bytes(),
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            &self.body[..counted],
        ];
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let hash: [u8; 32] = hasher.finalize().into();
        let (first, _) = hash
            .split_first_chunk()
            .expect("a SHA-256 hash has 32 bytes");
        ContentDigest(u64::from_be_bytes(*first))
    }
}
