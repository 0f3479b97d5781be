//! Normalization of the request path for matching the routes of a bundle.

use thiserror::Error;

/// The endpoint may interpret the path differently from route matching.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the path holds an empty or dot segment, or a broken percent escape")]
pub struct AmbiguousPath;

/// Decodes percent escapes of letters, digits and `-._~`, and refuses empty and dot segments.
///
/// Otherwise a request for `/%70ay` or `//pay` would not match the route `/pay` and would count
/// as repeatable although that route is not, while the endpoint would run it as `/pay`.
///
/// # Errors
/// [`AmbiguousPath`] when the path can't be matched safely.
pub fn route_path(path: &str) -> Result<String, AmbiguousPath> {
    let path = unescape(path)?;
    let (_, rest) = path.split_at_checked(1).ok_or(AmbiguousPath)?;
    let mut segments = rest.split('/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        if matches!(segment, "." | "..") || (segment.is_empty() && !is_last) {
            return Err(AmbiguousPath);
        }
    }
    Ok(path)
}

fn unescape(path: &str) -> Result<String, AmbiguousPath> {
    let mut plain = String::with_capacity(path.len());
    let mut rest = path;
    while let Some((before, escaped)) = rest.split_once('%') {
        plain.push_str(before);
        let (digits, after) = escaped.split_at_checked(2).ok_or(AmbiguousPath)?;
        if !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
            return Err(AmbiguousPath);
        }
        let byte = u8::from_str_radix(digits, 16).map_err(|_| AmbiguousPath)?;
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            plain.push(char::from(byte));
        } else {
            plain.push('%');
            plain.push_str(&digits.to_ascii_uppercase());
        }
        rest = after;
    }
    plain.push_str(rest);
    Ok(plain)
}
