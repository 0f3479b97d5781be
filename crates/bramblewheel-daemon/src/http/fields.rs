//! Reading and writing the project's headers in HTTP header maps.

use bramblewheel_core::headers::fields::Fields;
use bramblewheel_core::headers::{HeaderError, HeaderSink, has_prefix};
use bramblewheel_http::fields::{HOP_BY_HOP, named_by_connection};
use bytes::BytesMut;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use std::fmt::{Display, Write};

/// Capacity that most values need, in bytes.
const TYPICAL_VALUE_LENGTH: usize = 40;
/// Capacity that the values of one message usually need, in bytes.
const TYPICAL_TOTAL_LENGTH: usize = 240;
/// Number of the project's headers usually added to a message.
const TYPICAL_HEADER_COUNT: usize = 10;

/// The project's headers in a message of a daemon, application or endpoint.
///
/// # Errors
/// [`HeaderError`] when one of them is invalid.
pub fn fields(map: &HeaderMap) -> Result<Fields<'_>, HeaderError> {
    Fields::collect(pairs(map))
}

/// The headers that an external caller may set; other headers of the project are dropped.
///
/// # Errors
/// [`HeaderError`] when one of them is invalid.
pub fn fields_from_outside(map: &HeaderMap) -> Result<Fields<'_>, HeaderError> {
    Fields::collect_from_outside(pairs(map))
}

fn pairs(map: &HeaderMap) -> impl Iterator<Item = (&str, &[u8])> {
    map.iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
}

/// Adds the project's headers to a message. Their values share one allocation.
pub struct MapSink<'a> {
    map: &'a mut HeaderMap,
    values: BytesMut,
}

impl<'a> MapSink<'a> {
    /// Creates a sink that writes to `map`.
    pub fn new(map: &'a mut HeaderMap) -> Self {
        Self {
            map,
            values: BytesMut::new(),
        }
    }

    fn insert(&mut self, name: &'static str, value: HeaderValue) {
        self.map.insert(HeaderName::from_static(name), value);
    }
}

impl HeaderSink for MapSink<'_> {
    fn put(&mut self, name: &'static str, value: &dyn Display) {
        if self.values.capacity() < TYPICAL_VALUE_LENGTH {
            self.values.reserve(TYPICAL_TOTAL_LENGTH);
        }
        write!(self.values, "{value}").expect("writing to a growing buffer never fails");
        let value = HeaderValue::from_maybe_shared(self.values.split().freeze())
            .expect("ids, numbers and names consist of visible ASCII");
        self.insert(name, value);
    }

    fn put_word(&mut self, name: &'static str, word: &'static str) {
        self.insert(name, HeaderValue::from_static(word));
    }
}

/// Sets a header to a value that consists of visible ASCII by construction.
pub fn set(map: &mut HeaderMap, name: &'static str, value: String) {
    let value =
        HeaderValue::try_from(value).expect("ids, numbers and names consist of visible ASCII");
    map.insert(HeaderName::from_static(name), value);
}

/// Copies the end-to-end headers of a message: all except hop-by-hop headers, the project's own
/// headers, and the content length, which is written again.
pub fn end_to_end(map: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(map);
    let is_kept = |name: &HeaderName| {
        !HOP_BY_HOP.contains(name) && !named.contains(name) && !has_prefix(name.as_str())
    };
    let mut kept = HeaderMap::with_capacity(map.len() + TYPICAL_HEADER_COUNT);
    for (name, value) in map {
        if is_kept(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
