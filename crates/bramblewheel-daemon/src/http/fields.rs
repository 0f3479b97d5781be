//! Reading and filtering header fields.

use crate::http::route_path::AmbiguousPath;
use bramblewheel_protocol::headers;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use std::str::FromStr;
use thiserror::Error;

/// A header of the project is missing, given twice or malformed, or the path is ambiguous.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FieldError {
    /// The header is missing.
    #[error("header {0} is missing")]
    Missing(&'static str),
    /// The header is given more than once.
    #[error("header {0} is given more than once")]
    Repeated(&'static str),
    /// The header's value is malformed.
    #[error("header {name}: {reason}")]
    Malformed {
        /// The header.
        name: &'static str,
        /// What is wrong.
        reason: String,
    },
    /// The path can't be matched safely.
    #[error(transparent)]
    Path(AmbiguousPath),
}

impl From<AmbiguousPath> for FieldError {
    fn from(error: AmbiguousPath) -> Self {
        Self::Path(error)
    }
}

/// Reads a header that may be absent.
///
/// # Errors
/// [`FieldError`] when it is given twice or isn't a `T`.
pub fn optional<T>(map: &HeaderMap, name: &'static str) -> Result<Option<T>, FieldError>
where
    T: FromStr,
    T::Err: ToString,
{
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(FieldError::Repeated(name));
    }
    let malformed = |reason: String| FieldError::Malformed { name, reason };
    let text = value.to_str().map_err(|e| malformed(e.to_string()))?;
    let parsed = text.parse().map_err(|e: T::Err| malformed(e.to_string()))?;
    Ok(Some(parsed))
}

/// Reads a header that must be there.
///
/// # Errors
/// [`FieldError`] when it is missing, given twice or isn't a `T`.
pub fn required<T>(map: &HeaderMap, name: &'static str) -> Result<T, FieldError>
where
    T: FromStr,
    T::Err: ToString,
{
    optional(map, name)?.ok_or(FieldError::Missing(name))
}

/// Whether a header is set to `1`.
pub fn is_set(map: &HeaderMap, name: &'static str) -> bool {
    map.get(name).is_some_and(|value| value == "1")
}

/// Sets a header to a value that consists of visible ASCII by construction.
pub fn set(map: &mut HeaderMap, name: &'static str, value: impl ToString) {
    let value = HeaderValue::try_from(value.to_string())
        .expect("ids, numbers and names consist of visible ASCII");
    map.insert(HeaderName::from_static(name), value);
}

/// Copies what an application or endpoint said to its peer: neither fields that concern one
/// connection only, nor fields of the project, nor the length, which is written anew.
pub fn end_to_end(map: &HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = map
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(map.len());
    for (name, value) in map {
        if !is_hop_by_hop(name) && !named.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

fn is_hop_by_hop(name: &HeaderName) -> bool {
    const HOP_BY_HOP: [HeaderName; 9] = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    let text = name.as_str();
    HOP_BY_HOP.contains(name)
        || text == "keep-alive"
        || text == "proxy-connection"
        || text.starts_with(headers::PREFIX)
}
