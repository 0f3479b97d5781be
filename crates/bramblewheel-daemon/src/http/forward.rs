//! Forwarding to the next hop: request heads and streamed answers.

use crate::http::fields::{MapSink, end_to_end};
use crate::http::pool::Lease;
use bramblewheel_types::Outcome;
use bytes::Bytes;
use http::header::HOST;
use http::request::{Builder, Parts};
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use std::net::SocketAddr;

/// A long answer that has begun, with the result `R` that is reported to the engine after the last
/// byte was forwarded.
pub(crate) struct StreamedAnswer<R> {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) outcome: Outcome,
    pub(crate) result: R,
    pub(crate) received: Bytes,
    pub(crate) source: Incoming,
    pub(crate) lease: Lease,
}

/// The head of a request to be forwarded to `address`; `write` adds the project's headers.
pub(crate) fn request_head(
    head: &Parts,
    address: SocketAddr,
    write: impl FnOnce(&mut MapSink<'_>),
) -> Builder {
    let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut builder = Request::builder().method(head.method.clone()).uri(target);
    if let Some(fields) = builder.headers_mut() {
        *fields = end_to_end(&head.headers);
        if !fields.contains_key(HOST) {
            let host = HeaderValue::try_from(address.to_string())
                .expect("an address consists of visible ASCII");
            fields.insert(HOST, host);
        }
        write(&mut MapSink::new(fields));
    }
    builder
}
