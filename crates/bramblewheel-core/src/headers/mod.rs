//! Call contexts and answers as HTTP headers, with one strict parser for all hops.
//!
//! Every header with the project's prefix must be well formed, appear once and respect the length
//! limit. Unknown headers are otherwise ignored, so that daemons of adjacent releases can
//! communicate. A gateway uses [`may_come_from_outside`] to drop headers that external callers
//! may not set.

pub mod answer;
pub mod context;
pub mod fields;
pub mod request;
pub mod route_path;

use bramblewheel_types::headers as names;
use route_path::AmbiguousPath;
use std::fmt::Display;
use thiserror::Error;

/// Longest value of a header with the project's prefix, in bytes.
pub const MAX_VALUE_LENGTH: usize = 320;
/// Maximum number of headers with the project's prefix on one message.
pub const MAX_HEADERS: usize = 32;

/// Longest remaining time accepted, in milliseconds: one hour, the longest deadline that a bundle
/// may set. Longer values are reduced to it.
pub const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// A message to which headers are added.
pub trait HeaderSink {
    /// Adds a header; the value consists of visible ASCII by construction.
    fn put(&mut self, name: &'static str, value: &dyn Display);

    /// Adds a header with a constant value.
    fn put_word(&mut self, name: &'static str, word: &'static str) {
        self.put(name, &word);
    }
}

/// Value of a flag that is set.
const SET: &str = "1";

/// Headers for one message.
pub type HeaderList = Vec<(&'static str, String)>;

impl HeaderSink for HeaderList {
    fn put(&mut self, name: &'static str, value: &dyn Display) {
        self.push((name, value.to_string()));
    }
}

/// A header is missing or invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// A required header is missing.
    #[error("header `{0}` is missing")]
    Missing(&'static str),
    /// The value can't be parsed.
    #[error("header `{0}` has a malformed value")]
    Malformed(String),
    /// The header appears more than once.
    #[error("header `{0}` appears more than once")]
    Repeated(String),
    /// The value exceeds [`MAX_VALUE_LENGTH`] or the header's own limit.
    #[error("header `{name}` is too long with {length} bytes")]
    TooLong {
        /// Header.
        name: String,
        /// Actual length, in bytes.
        length: usize,
    },
    /// The message has more than [`MAX_HEADERS`] headers with the project's prefix.
    #[error("more than {MAX_HEADERS} headers")]
    TooMany,
    /// The path of the request can't be matched safely.
    #[error(transparent)]
    Path(#[from] AmbiguousPath),
}

/// Headers that callers outside the call graph may set.
const FROM_OUTSIDE: [&str; 9] = [
    names::SERVICE,
    names::REQUEST_ID,
    names::RESEND,
    names::CRITICALITY,
    names::TIMEOUT_MS,
    names::SESSION,
    names::CALLER,
    names::OPERATION_KEY,
    names::OPERATION_MINTED,
];

/// Whether an external caller may set the header; a gateway drops all other headers with the
/// project's prefix. Names are case-insensitive.
pub fn may_come_from_outside(name: &str) -> bool {
    !has_prefix(name)
        || FROM_OUTSIDE
            .iter()
            .any(|allowed| allowed.eq_ignore_ascii_case(name))
}

/// Whether a header name has the project's prefix.
pub fn has_prefix(name: &str) -> bool {
    name.get(..names::PREFIX.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(names::PREFIX))
}
