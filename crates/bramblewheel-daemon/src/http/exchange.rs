//! One request and its answer over a pooled connection, with proof of what was sent.
//!
//! Relies on the library's promise to hand a request back that it has not begun to write.

use crate::http::pool::{Lease, Pool, RequestBody};
use bramblewheel_http::body::{Collected, collect};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::response::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use std::sync::Arc;

/// How an exchange ended.
pub enum Exchanged<A> {
    /// No byte of the request was written.
    NotSent,
    /// The connection broke after the first byte, or the answer was broken.
    Lost,
    /// The whole answer arrived; the connection was kept. With what its head was read as.
    Whole(WholeAnswer, A),
    /// The answer is longer than the limit. With what its head was read as.
    Long(LongAnswer, A),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// Body, complete.
    pub body: Bytes,
}

/// An answer to pass on as it comes.
pub struct LongAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// What was read already.
    pub begun: Bytes,
    /// What is left.
    pub source: Incoming,
    /// The connection; dropping it closes it.
    pub lease: Lease,
}

/// Limits of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLimits {
    /// Connections that may be open to the address.
    pub connections: usize,
    /// Longest answer that is held until it is whole, in bytes.
    pub body_bytes: usize,
}

/// Sends a request and reads its answer.
///
/// `head` builds the request's head just before it is written, since its remaining time must be
/// that of the moment of sending; `None` when it must not be sent any more. `accept` reads the
/// answer's head; an answer that it refuses is not read further and its connection is closed.
pub async fn exchange<A>(
    pool: &Arc<Pool>,
    limits: ExchangeLimits,
    body: Bytes,
    head: impl Fn() -> Option<http::request::Builder>,
    accept: impl Fn(&HeaderMap) -> Option<A>,
) -> Exchanged<A> {
    let sent = loop {
        let Ok(mut lease) = pool.acquire(limits.connections).await else {
            return Exchanged::NotSent;
        };
        let Some(head) = head() else {
            lease.give_back();
            return Exchanged::NotSent;
        };
        let request: Request<RequestBody> = head
            .body(Full::new(body.clone()))
            .expect("the head is built from checked parts");
        match lease.sender().try_send_request(request).await {
            Ok(response) => break Some((lease, response)),
            // The request came back unsent: a reused connection was just being closed.
            Err(error) if error.message().is_some() && lease.is_reused() => {}
            Err(error) if error.message().is_some() => return Exchanged::NotSent,
            Err(_) => break None,
        }
    };
    let Some((lease, response)) = sent else {
        return Exchanged::Lost;
    };
    match accept(response.headers()) {
        Some(accepted) => receive(lease, response, limits.body_bytes, accepted).await,
        None => Exchanged::Lost,
    }
}

async fn receive<A>(
    lease: Lease,
    response: Response<Incoming>,
    limit: usize,
    accepted: A,
) -> Exchanged<A> {
    let (head, mut source) = response.into_parts();
    let long = |head: Parts, begun, source, lease| LongAnswer {
        status: head.status,
        headers: head.headers,
        begun,
        source,
        lease,
    };
    if is_streamed(&head.headers, limit) {
        return Exchanged::Long(long(head, Bytes::new(), source, lease), accepted);
    }
    match collect(&mut source, limit).await {
        Err(_) => Exchanged::Lost,
        Ok(Collected::OverLimit(begun)) => {
            Exchanged::Long(long(head, begun, source, lease), accepted)
        }
        Ok(Collected::Whole(body)) => {
            lease.give_back();
            let whole = WholeAnswer {
                status: head.status,
                headers: head.headers,
                body,
            };
            Exchanged::Whole(whole, accepted)
        }
    }
}

/// Whether the answer should be passed on from its first byte.
fn is_streamed(headers: &HeaderMap, limit: usize) -> bool {
    const EVENT_STREAM: &str = "text/event-stream";
    let text = |name| {
        headers
            .get(name)
            .and_then(|v: &http::HeaderValue| v.to_str().ok())
    };
    let length = text(CONTENT_LENGTH).and_then(|length| length.parse::<usize>().ok());
    let is_event_stream = text(CONTENT_TYPE).is_some_and(|t| t.starts_with(EVENT_STREAM));
    is_event_stream || length.is_some_and(|length| length > limit)
}
