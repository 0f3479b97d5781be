//! One request and its answer over a pooled connection, with proof of whether it was sent.
//!
//! Depends on the guarantee of the HTTP library that it returns a request it has not begun to write.

use crate::http::pool::{Lease, Pool, RequestBody};
use bramblewheel_http::body::{Collected, collect};
use bramblewheel_http::status::is_final;
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::response::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use std::sync::Arc;

/// Result of an exchange.
pub enum Exchanged<A> {
    /// No byte of the request was written.
    NotSent,
    /// The connection broke after the first byte, or the answer was invalid.
    Lost,
    /// The complete answer arrived and the connection was kept. Contains the parsed head.
    Whole(WholeAnswer, A),
    /// The answer is longer than the limit or an event stream. Contains the parsed head.
    Long(LongAnswer, A),
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// An answer to be forwarded as it arrives.
pub struct LongAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields as received.
    pub headers: HeaderMap,
    /// The part of the body that was already read.
    pub received: Bytes,
    /// The rest of the body.
    pub source: Incoming,
    /// The connection; dropping it closes it.
    pub lease: Lease,
}

/// Limits of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLimits {
    /// Maximum number of open connections to the address.
    pub connections: usize,
    /// Longest answer that is buffered until it is complete, in bytes.
    pub body_bytes: usize,
}

/// Sends a request and reads its answer.
///
/// `head` builds the request head just before it is written, since the remaining time in it must be
/// that at the time of sending; it returns `None` if the request must no longer be sent. `accept`
/// parses the head of the answer; if it returns `None`, the connection is closed without reading
/// the body.
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
            lease.return_to_pool();
            return Exchanged::NotSent;
        };
        let request: Request<RequestBody> = head
            .body(Full::new(body.clone()))
            .expect("the head is built from valid parts");
        match lease.sender().try_send_request(request).await {
            Ok(response) if is_final(response.status()) => break Some((lease, response)),
            Ok(_) => break None,
            // The request was returned unsent, because a reused connection was just being closed.
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
    let long = |head: Parts, received, source, lease| LongAnswer {
        status: head.status,
        headers: head.headers,
        received,
        source,
        lease,
    };
    if is_streamed(&head.headers, limit) {
        return Exchanged::Long(long(head, Bytes::new(), source, lease), accepted);
    }
    match collect(&mut source, limit).await {
        Err(_) => Exchanged::Lost,
        Ok(Collected::OverLimit(received)) => {
            Exchanged::Long(long(head, received, source, lease), accepted)
        }
        Ok(Collected::Whole(body)) => {
            lease.return_to_pool();
            let whole = WholeAnswer {
                status: head.status,
                headers: head.headers,
                body,
            };
            Exchanged::Whole(whole, accepted)
        }
    }
}

/// Whether the answer must be streamed from its first byte.
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
