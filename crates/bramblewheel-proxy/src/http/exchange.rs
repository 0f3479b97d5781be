//! One request and the head of its answer, with proof of what was sent.
//!
//! Relies on the library's promise to hand a request back that it has not begun to write. The way of
//! signed bundles has an exchange of its own, which bounds connections and reads the answer whole.

use crate::http::body::{self, AnswerBody, BrokenBody, Held, Read, RequestBody};
use crate::http::fields;
use crate::http::pool::{Lease, Pool};
use crate::local::Permit;
use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::Limited;
use hyper::body::Incoming;
use std::sync::Arc;

/// Reused connections that may turn out to be closed before a new one is opened.
const REUSED_TRIES: usize = 2;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have been read; the connection broke before its answer.
    Lost,
}

/// A request to be sent; the body may be sent again as long as it is whole.
#[derive(Debug)]
pub struct Outgoing {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Fields that go from end to end.
    pub headers: HeaderMap,
    /// Body.
    pub body: OutgoingBody,
}

/// Body of a request to be sent.
#[derive(Debug)]
pub enum OutgoingBody {
    /// Known in full; may be sent any number of times.
    Whole(Bytes),
    /// Passed on as it comes, once.
    Begun(Bytes, Limited<Incoming>),
    /// Passed on already.
    Spent,
}

impl OutgoingBody {
    /// A body as far as it was read; no more than `longest` bytes of it are passed on.
    pub fn new(read: Read, longest: usize) -> Self {
        match read {
            Read::Whole(bytes) => Self::Whole(bytes),
            Read::Begun(first, rest) => {
                let left = longest.saturating_sub(first.len());
                Self::Begun(first, Limited::new(rest, left))
            }
        }
    }

    /// Whether the request can be sent again.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// The body as far as it is known; nothing of one that was passed on.
    pub fn known(&self) -> &[u8] {
        match self {
            Self::Whole(bytes) | Self::Begun(bytes, _) => bytes,
            Self::Spent => &[],
        }
    }

    fn take(&mut self, lease: &Lease) -> Option<RequestBody> {
        let is_sent = Arc::clone(&lease.is_request_sent);
        match std::mem::replace(self, Self::Spent) {
            Self::Whole(bytes) => {
                *self = Self::Whole(bytes.clone());
                Some(RequestBody::whole(bytes, is_sent))
            }
            Self::Begun(first, rest) => Some(RequestBody::begun(first, rest, is_sent)),
            Self::Spent => None,
        }
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct Received {
    /// Its head.
    pub head: Parts,
    body: Incoming,
    lease: Lease,
}

/// An answer, whole or begun.
#[derive(Debug)]
pub enum Answer {
    /// All of it; its connection was kept.
    Whole(Parts, Bytes),
    /// Its beginning; the rest comes while it is passed on.
    Begun(Box<Parts>, Bytes, Incoming, Box<Held>),
}

impl Answer {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Whole(head, _) => head.status,
            Self::Begun(head, ..) => head.status,
        }
    }

    /// The answer as it is passed on.
    pub fn into_response(self) -> Response<AnswerBody> {
        let (head, body) = match self {
            Self::Whole(head, bytes) => (head, AnswerBody::whole(bytes)),
            Self::Begun(head, first, rest, held) => (*head, AnswerBody::begun(first, rest, *held)),
        };
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = head.headers;
        response
    }
}

/// Sends a request and waits for the head of its answer. `write` sets, at the moment of sending,
/// what depends on the time that is left.
///
/// # Errors
/// [`NoAnswer`] with what is proved of the request.
pub async fn send(
    pool: &Arc<Pool>,
    outgoing: &mut Outgoing,
    write: impl Fn(&mut HeaderMap),
) -> Result<Received, NoAnswer> {
    for attempt in 0..=REUSED_TRIES {
        let lease = if attempt < REUSED_TRIES {
            pool.acquire().await
        } else {
            pool.open().await
        };
        let mut lease = lease.map_err(|_| NoAnswer::NotSent)?;
        let body = outgoing.body.take(&lease).ok_or(NoAnswer::Lost)?;
        let request = build(outgoing, body, &write);
        match lease.sender().try_send_request(request).await {
            Ok(response) => return Ok(received(lease, response)),
            // It came back unsent: a reused connection was just being closed.
            Err(error) if error.message().is_some() => {
                if !outgoing.body.is_whole() || !lease.is_reused {
                    return Err(NoAnswer::NotSent);
                }
            }
            Err(_) => {
                lease.broke();
                return Err(NoAnswer::Lost);
            }
        }
    }
    Err(NoAnswer::NotSent)
}

fn build(
    outgoing: &Outgoing,
    body: RequestBody,
    write: &impl Fn(&mut HeaderMap),
) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = outgoing.headers.clone();
    write(request.headers_mut());
    request
}

fn received(mut lease: Lease, response: Response<Incoming>) -> Received {
    let (head, body) = response.into_parts();
    lease.idle_timeout = fields::idle_timeout(&head.headers);
    lease.is_closing = fields::is_closing(&head.headers);
    Received { head, body, lease }
}

impl Received {
    /// Reads the answer until it is whole or longer than what is held. `permit` is kept until the
    /// last byte.
    ///
    /// # Errors
    /// [`BrokenBody`] when it ends before it is complete.
    pub async fn read(self, permit: Option<Permit>) -> Result<Answer, BrokenBody> {
        let Self {
            mut head,
            body,
            lease,
        } = self;
        let read = body::read(body).await?;
        fields::keep_end_to_end(&mut head.headers);
        match read {
            Read::Whole(bytes) => {
                lease.give_back();
                drop(permit);
                Ok(Answer::Whole(head, bytes))
            }
            Read::Begun(first, rest) => {
                let held = Box::new(Held { lease, permit });
                Ok(Answer::Begun(Box::new(head), first, rest, held))
            }
        }
    }
}
