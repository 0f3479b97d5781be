//! Which key a request carries.
//!
//! Rule: exactly one `Authorization` field, of the scheme of keys, that is visible ASCII and not empty. Anything
//! else is no key, and says why.
//!
//! Inputs: a request's headers and the scheme's name (from the settings). Reason: an ambiguous field must not let a
//! request pass as one tenant here and as another elsewhere; the key itself is kept nowhere but as a digest.
//!
//! Owns nothing; relies on [`KeyDigest`].
//!
//! Seen in: metric `bramblewheel_unauthorized`; log line `unauthorized` (`reason`).

use crate::tenants::KeyDigest;
use http::HeaderMap;
use http::header::AUTHORIZATION;
use thiserror::Error;

/// Longest key, in bytes. Keys have some twenty characters; a longer one is nobody's, and is not worth a
/// digest. Chosen, not measured.
const LONGEST_KEY: usize = 512;

/// A request carries no key that could be looked up. No message shows what it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoKey {
    /// The field is missing.
    #[error("no key")]
    Missing,
    /// There is more than one such field.
    #[error("more than one key")]
    Several,
    /// The field has another scheme than the one of keys, or is not visible ASCII.
    #[error("not in the scheme of keys")]
    OtherScheme,
    /// The key is empty.
    #[error("the key is empty")]
    Empty,
    /// The key is too long to be one.
    #[error("the key is too long")]
    TooLong,
}

/// Digest of the key in a request's headers. The scheme's name may come in any letter case.
///
/// # Errors
/// [`NoKey`] when there is none, or not exactly one that could be somebody's.
pub fn key_in(headers: &HeaderMap, scheme: &str) -> Result<KeyDigest, NoKey> {
    let mut fields = headers.get_all(AUTHORIZATION).iter();
    let field = fields.next().ok_or(NoKey::Missing)?;
    if fields.next().is_some() {
        return Err(NoKey::Several);
    }
    let text = field.to_str().map_err(|_| NoKey::OtherScheme)?.trim();
    let (named, key) = text.split_once(' ').unwrap_or((text, ""));
    if !named.eq_ignore_ascii_case(scheme) {
        return Err(NoKey::OtherScheme);
    }
    let key = key.trim();
    if key.is_empty() {
        return Err(NoKey::Empty);
    }
    if key.len() > LONGEST_KEY {
        return Err(NoKey::TooLong);
    }
    Ok(KeyDigest::of(key.as_bytes()))
}
