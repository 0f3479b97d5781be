//! Reads the key that a request carries.
//!
//! Rule: exactly one `Authorization` field with the key scheme, in visible ASCII and not empty. Anything else is
//! rejected with the reason.
//!
//! Inputs: a request's headers and the scheme's name (from the settings). Reason: an ambiguous field must not let a
//! request pass as one tenant here and as another elsewhere. The key itself is never stored, only its digest.
//!
//! Observability: metric `bramblewheel_unauthorized`; log line `unauthorized` (`reason`).

use crate::tenants::KeyDigest;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use thiserror::Error;

/// Longest key, in bytes. Keys have about twenty characters; a longer one belongs to no tenant and is not worth
/// hashing.
const MAX_KEY_BYTES: usize = 512;

/// Why a request has no key that could be looked up. No message shows what the request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoKey {
    /// The field is missing.
    #[error("no key")]
    Missing,
    /// There is more than one field.
    #[error("more than one key")]
    Several,
    /// The field has another scheme, or is not visible ASCII.
    #[error("not in the scheme of keys")]
    OtherScheme,
    /// The key is empty.
    #[error("the key is empty")]
    Empty,
    /// The key is longer than any valid key.
    #[error("the key is too long")]
    TooLong,
}

/// Digest of the key in a request's headers. The scheme's name is compared without regard to case.
///
/// # Errors
/// [`NoKey`] if the headers do not hold exactly one well-formed key.
pub fn key_digest(headers: &HeaderMap, scheme: &str) -> Result<KeyDigest, NoKey> {
    let mut fields = headers.get_all(AUTHORIZATION).iter();
    let field = fields.next().ok_or(NoKey::Missing)?;
    if fields.next().is_some() {
        return Err(NoKey::Several);
    }
    let text = field.to_str().map_err(|_| NoKey::OtherScheme)?.trim();
    let (stated_scheme, key) = text.split_once(' ').unwrap_or((text, ""));
    if !stated_scheme.eq_ignore_ascii_case(scheme) {
        return Err(NoKey::OtherScheme);
    }
    let key = key.trim();
    if key.is_empty() {
        return Err(NoKey::Empty);
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(NoKey::TooLong);
    }
    Ok(KeyDigest::of(key.as_bytes()))
}
