//! A call's context and its answer as HTTP headers: one strict parser for all hops.
//!
//! All headers of the project's prefix must be well formed, appear once and keep the length
//! limit; unknown ones are not looked at beyond that, so that daemons of neighbouring releases
//! understand each other. A gateway drops what outsiders may not set with
//! [`may_come_from_outside`].

pub mod answer;
pub mod context;
pub mod fields;
pub mod request;
pub mod route_path;

use bramblewheel_types::headers as names;
use route_path::AmbiguousPath;
use std::fmt::Display;
use thiserror::Error;

/// Longest value of any of the project's headers, in bytes.
pub const MAX_VALUE_LENGTH: usize = 320;
/// Most headers of the project's prefix on one message.
pub const MAX_HEADERS: usize = 32;

/// Longest remaining time believed, in milliseconds: one hour, as long as the longest deadline
/// that a bundle may set. A longer one is cut.
pub const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// A message on which headers are put.
pub trait HeaderSink {
    /// Puts a header on the message; the value consists of visible ASCII by construction.
    fn put(&mut self, name: &'static str, value: &dyn Display);

    /// Puts a header with a fixed word on the message.
    fn put_word(&mut self, name: &'static str, word: &'static str) {
        self.put(name, &word);
    }
}

/// Value of a mark that is set.
const SET: &str = "1";

/// Headers to be put on a message.
pub type HeaderList = Vec<(&'static str, String)>;

impl HeaderSink for HeaderList {
    fn put(&mut self, name: &'static str, value: &dyn Display) {
        self.push((name, value.to_string()));
    }
}

/// A header is missing or not acceptable.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeaderError {
    /// A required header is missing.
    #[error("header `{0}` is missing")]
    Missing(&'static str),
    /// The value can't be understood.
    #[error("header `{0}` has a malformed value")]
    Malformed(String),
    /// The header appears more than once.
    #[error("header `{0}` appears more than once")]
    Repeated(String),
    /// The value is longer than [`MAX_VALUE_LENGTH`], or than the header's own limit.
    #[error("header `{name}` is too long with {length} bytes")]
    TooLong {
        /// Header.
        name: String,
        /// Length found, in bytes.
        length: usize,
    },
    /// The message has more than [`MAX_HEADERS`] headers of the project's prefix.
    #[error("more than {MAX_HEADERS} headers")]
    TooMany,
    /// The request's path can't be matched safely.
    #[error(transparent)]
    Path(#[from] AmbiguousPath),
}

/// Headers that a caller outside the call graph may set.
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

/// Whether a header of this name may come from a caller outside; a gateway drops the others of
/// the project's prefix. Names are compared without regard to case.
pub fn may_come_from_outside(name: &str) -> bool {
    !has_prefix(name)
        || FROM_OUTSIDE
            .iter()
            .any(|known| known.eq_ignore_ascii_case(name))
}

/// Whether a name carries the project's prefix.
pub fn has_prefix(name: &str) -> bool {
    name.get(..names::PREFIX.len())
        .is_some_and(|start| start.eq_ignore_ascii_case(names::PREFIX))
}
