//! Header maps on the wire and the project's fields in them.

use bramblewheel_core::headers::fields::Fields;
use bramblewheel_core::headers::{HeaderError, HeaderSink, has_prefix};
use bramblewheel_http::fields::{HOP_BY_HOP, named_by_connection};
use bytes::BytesMut;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use std::fmt::{Display, Write};

/// Room that most values need, in bytes.
const USUAL_LENGTH: usize = 40;
/// Room that the values of one message mostly need, in bytes.
const USUAL_TOTAL: usize = 240;
/// Headers of the project that are mostly put on a message besides those it has.
const USUAL_COUNT: usize = 10;

/// The project's fields of a message of a daemon, application or endpoint.
///
/// # Errors
/// [`HeaderError`] when one of them is not acceptable.
pub fn fields(map: &HeaderMap) -> Result<Fields<'_>, HeaderError> {
    Fields::collect(pairs(map))
}

/// The fields that an outside caller may set; others of the project's are dropped.
///
/// # Errors
/// [`HeaderError`] when one of them is not acceptable.
pub fn fields_from_outside(map: &HeaderMap) -> Result<Fields<'_>, HeaderError> {
    Fields::collect_from_outside(pairs(map))
}

fn pairs(map: &HeaderMap) -> impl Iterator<Item = (&str, &[u8])> {
    map.iter()
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
}

/// Puts the project's headers on a message. Their values share one piece of memory.
pub struct MapSink<'a> {
    map: &'a mut HeaderMap,
    values: BytesMut,
}

impl<'a> MapSink<'a> {
    /// A sink into a map.
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
        if self.values.capacity() < USUAL_LENGTH {
            self.values.reserve(USUAL_TOTAL);
        }
        write!(self.values, "{value}").expect("the buffer grows as needed");
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

/// Copies what an application or endpoint said to its peer: neither fields that concern one
/// connection only, nor fields of the project, nor the length, which is written anew.
pub fn end_to_end(map: &HeaderMap) -> HeaderMap {
    let named = named_by_connection(map);
    let is_kept = |name: &HeaderName| {
        !HOP_BY_HOP.contains(name) && !named.contains(name) && !has_prefix(name.as_str())
    };
    let mut kept = HeaderMap::with_capacity(map.len() + USUAL_COUNT);
    for (name, value) in map {
        if is_kept(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
