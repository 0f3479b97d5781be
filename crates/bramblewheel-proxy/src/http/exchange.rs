//! Sends a request and receives the head of its answer; tells whether an unanswered request was sent.
//!
//! Depends on hyper returning a request that it has not begun to write. The data path of signed bundles has its own
//! exchange, which bounds connections and buffers the whole answer.

use crate::http::body::{self, AnswerBody, AnswerResources, BrokenBody, ReadBody, RequestBody};
use crate::http::fields;
use crate::http::pool::{ConnectionUse, Lease, Pool};
use crate::local::Permit;
use bramblewheel_http::status::is_final;
use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Limited;
use hyper::body::Incoming;
use std::convert::Infallible;
use std::sync::Arc;

/// Number of reused connections tried before a new one is opened; each may turn out to be closed.
const MAX_REUSED_ATTEMPTS: usize = 2;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoAnswer<Refusal = Infallible> {
    /// No byte of the request was sent.
    NotSent,
    /// The request was refused right before it was sent.
    Refused(Refusal),
    /// The request may have been received; the connection broke before its answer.
    Lost,
}

/// A request to be sent; it can be sent again if its body is buffered.
#[derive(Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: OutgoingBody,
}

impl Outgoing {
    /// The request for one attempt, which may outlive the decision to make another one.
    pub fn for_attempt(&mut self) -> Self {
        Self {
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self.headers.clone(),
            body: self.body.for_attempt(),
        }
    }
}

/// Body of a request to be sent.
#[derive(Debug)]
pub enum OutgoingBody {
    /// Buffered; can be sent any number of times.
    Whole(Bytes),
    /// Streamed; can be sent once.
    Streamed(Bytes, Limited<Incoming>),
    /// Already streamed.
    Consumed,
}

impl OutgoingBody {
    /// Creates a body from what was read; at most `max_bytes` bytes of it are sent.
    pub fn new(read: ReadBody, max_bytes: usize) -> Self {
        match read {
            ReadBody::Whole(bytes) => Self::Whole(bytes),
            ReadBody::Partial(first, rest) => {
                let left = max_bytes.saturating_sub(first.len());
                Self::Streamed(first, Limited::new(rest, left))
            }
        }
    }

    /// Whether the body is buffered, so that the request can be sent again.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// The bytes read so far; empty once the body was streamed.
    pub fn buffered(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) | Self::Streamed(bytes, _) => bytes,
            Self::Consumed => &[],
        }
    }

    /// Takes the body for one attempt. A buffered body is kept for further attempts, a streamed one is not.
    fn for_attempt(&mut self) -> Self {
        match std::mem::replace(self, Self::Consumed) {
            Self::Whole(bytes) => {
                *self = Self::Whole(bytes.clone());
                Self::Whole(bytes)
            }
            streamed => streamed,
        }
    }

    fn take(&mut self, lease: &Lease) -> Option<RequestBody> {
        let is_sent = Arc::clone(&lease.is_request_sent);
        match std::mem::replace(self, Self::Consumed) {
            Self::Whole(bytes) => {
                *self = Self::Whole(bytes.clone());
                Some(RequestBody::whole(bytes, is_sent))
            }
            Self::Streamed(first, rest) => Some(RequestBody::streamed(first, rest, is_sent)),
            Self::Consumed => None,
        }
    }
}

/// An answer whose head was received.
#[derive(Debug)]
pub struct Received {
    /// Head of the answer.
    pub head: Parts,
    body: Incoming,
    lease: Lease,
}

/// An answer, buffered or streamed.
#[derive(Debug)]
pub enum Answer {
    /// The whole answer; its connection was returned to the pool.
    Whole(Parts, Bytes),
    /// Its beginning; the rest is received while it is passed on.
    Streamed(Box<Parts>, Bytes, Incoming, Box<AnswerResources>),
}

impl Answer {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Whole(head, _) => head.status,
            Self::Streamed(head, ..) => head.status,
        }
    }

    /// The response that passes the answer on.
    pub fn into_response(self) -> Response<AnswerBody> {
        let (head, body) = match self {
            Self::Whole(head, bytes) => (head, AnswerBody::whole(bytes)),
            Self::Streamed(head, first, rest, resources) => {
                (*head, AnswerBody::streamed(first, rest, resources))
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        response
    }
}

/// Sends a request and waits for the head of its answer. `before_send` is called right before each transmission; it sets
/// headers that depend on the remaining time, and may refuse the transmission. With the `id` of the request, it is not sent
/// on a connection on which the peer [rejected](Received::record_rejection) it.
///
/// # Errors
/// [`NoAnswer`], which tells whether the request may have been received.
pub async fn send<Refusal>(
    pool: &Arc<Pool>,
    outgoing: &mut Outgoing,
    id: Option<&HeaderValue>,
    before_send: impl Fn(&mut HeaderMap) -> Result<(), Refusal>,
) -> Result<Received, NoAnswer<Refusal>> {
    for attempt in 0..=MAX_REUSED_ATTEMPTS {
        let lease = if attempt < MAX_REUSED_ATTEMPTS {
            pool.acquire(id).await
        } else {
            pool.open().await
        };
        let mut lease = lease.map_err(|_| NoAnswer::NotSent)?;
        let mut headers = outgoing.headers.clone();
        if let Err(refusal) = before_send(&mut headers) {
            lease.give_back_unused();
            return Err(NoAnswer::Refused(refusal));
        }
        let body = outgoing.body.take(&lease).ok_or(NoAnswer::Lost)?;
        let request = build(outgoing, headers, body);
        lease.usage.requests += 1;
        match lease.sender().try_send_request(request).await {
            Ok(response) if is_final(response.status()) => return Ok(received(lease, response)),
            Ok(_) => return Err(NoAnswer::Lost),
            // The request was returned unsent: a reused connection was being closed.
            Err(error) if error.message().is_some() => {
                if !outgoing.body.is_whole() || !lease.is_reused {
                    return Err(NoAnswer::NotSent);
                }
            }
            Err(_) => {
                lease.record_loss();
                return Err(NoAnswer::Lost);
            }
        }
    }
    Err(NoAnswer::NotSent)
}

fn build(outgoing: &Outgoing, headers: HeaderMap, body: RequestBody) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = headers;
    request
}

fn received(mut lease: Lease, response: Response<Incoming>) -> Received {
    let (head, body) = response.into_parts();
    lease.idle_timeout = fields::idle_timeout(&head.headers);
    lease.is_closing = fields::is_closing(&head.headers);
    Received { head, body, lease }
}

impl Received {
    /// What its connection was used for, including this request.
    pub fn connection_use(&self) -> &ConnectionUse {
        &self.lease.usage
    }

    /// Records that the answer rejects the request `id`.
    pub fn record_rejection(&mut self, id: &HeaderValue) {
        self.lease.record_rejection(id);
    }

    /// Reads the answer completely, or up to the longest buffered body. `permit` is held until the last byte.
    ///
    /// # Errors
    /// [`BrokenBody`] if the answer ends before it is complete.
    pub async fn read(self, permit: Option<Permit>) -> Result<Answer, BrokenBody> {
        let Self {
            mut head,
            body,
            lease,
        } = self;
        let read = body::read(body).await?;
        fields::remove_hop_by_hop(&mut head.headers);
        match read {
            ReadBody::Whole(bytes) => {
                lease.give_back();
                drop(permit);
                Ok(Answer::Whole(head, bytes))
            }
            ReadBody::Partial(first, rest) => {
                let resources = Box::new(AnswerResources { lease, permit });
                Ok(Answer::Streamed(Box::new(head), first, rest, resources))
            }
        }
    }
}
