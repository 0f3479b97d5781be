//! Bodies of requests and answers: short ones are buffered, long ones are streamed.
//!
//! A buffered body can be sent again on another connection, a streamed one can't. A streamed answer keeps its
//! connection and its slot until the last byte.

use crate::http::ahead::Unanswered;
use crate::http::answer_rest::{AnswerDeadline, AnswerRest};
use crate::http::pool::Lease;
use crate::in_progress::InProgressGuard;
use crate::local::Permit;
use bramblewheel_decisions::request_content::COUNTED_BODY_BYTES;
use bramblewheel_http::body::{Collected, collect};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Limited;
use hyper::body::Incoming;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::sync::Notify;

/// Longest body that is buffered, in bytes; a longer one is streamed.
pub const MAX_BUFFERED_BYTES: usize = COUNTED_BODY_BYTES;

/// A body ended before it was complete.
#[derive(Debug, Error)]
#[error("the body ended before it was complete")]
pub struct BrokenBody;

/// Body of a request as it is received.
#[derive(Debug)]
pub enum ReceivedBody {
    /// There is none.
    Empty,
    /// It has not been read.
    Unread(Incoming),
}

impl ReceivedBody {
    /// Least length of the body, in bytes, as far as its head states it.
    pub fn min_length(&self) -> u64 {
        match self {
            Self::Empty => 0,
            Self::Unread(body) => body.size_hint().lower(),
        }
    }
}

/// A body that was read completely or in part.
#[derive(Debug)]
pub enum ReadBody {
    /// The whole body.
    Whole(Bytes),
    /// The beginning of the body, and the rest that has not been read.
    Partial(Bytes, Incoming),
}

/// Reads a request's body until its end or until it is longer than [`MAX_BUFFERED_BYTES`].
///
/// # Errors
/// [`BrokenBody`] when it ends before it is complete.
pub async fn read_received(body: ReceivedBody) -> Result<ReadBody, BrokenBody> {
    match body {
        ReceivedBody::Empty => Ok(ReadBody::Whole(Bytes::new())),
        ReceivedBody::Unread(body) => read(body).await,
    }
}

/// Reads a body until its end or until it is longer than [`MAX_BUFFERED_BYTES`].
///
/// # Errors
/// [`BrokenBody`] when it ends before it is complete.
pub async fn read(mut body: Incoming) -> Result<ReadBody, BrokenBody> {
    match collect(&mut body, MAX_BUFFERED_BYTES).await {
        Ok(Collected::Whole(bytes)) => Ok(ReadBody::Whole(bytes)),
        Ok(Collected::OverLimit(first)) => Ok(ReadBody::Partial(first, body)),
        Err(_) => Err(BrokenBody),
    }
}

/// Body of a request that this daemon sends.
#[derive(Debug)]
pub struct RequestBody {
    first: Option<Bytes>,
    rest: Option<Limited<Incoming>>,
    is_sent: Arc<AtomicBool>,
}

impl RequestBody {
    /// A buffered body; `is_sent` becomes true once it is written.
    pub fn whole(bytes: Bytes, is_sent: Arc<AtomicBool>) -> Self {
        Self {
            first: Some(bytes).filter(|bytes| !bytes.is_empty()),
            rest: None,
            is_sent,
        }
    }

    /// A streamed body, up to a limit; `is_sent` becomes true once it is written.
    pub fn streamed(first: Bytes, rest: Limited<Incoming>, is_sent: Arc<AtomicBool>) -> Self {
        Self {
            first: Some(first).filter(|bytes| !bytes.is_empty()),
            rest: Some(rest),
            is_sent,
        }
    }

    fn ended(&self) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        self.is_sent.store(true, Ordering::Release);
        Poll::Ready(None)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        if let Some(first) = self.first.take() {
            if self.rest.is_none() {
                self.is_sent.store(true, Ordering::Release);
            }
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut self.rest else {
            return self.ended();
        };
        match std::task::ready!(Pin::new(rest).poll_frame(cx)) {
            Some(frame) => Poll::Ready(Some(frame.map_err(|_| BrokenBody))),
            None => self.ended(),
        }
    }

    fn is_end_stream(&self) -> bool {
        let has_ended = self.first.is_none() && self.rest.is_none();
        if has_ended {
            self.is_sent.store(true, Ordering::Release);
        }
        has_ended
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.as_ref().map(Body::size_hint);
        combined_size_hint(self.first.as_ref(), rest)
    }
}

fn combined_size_hint(first: Option<&Bytes>, rest: Option<SizeHint>) -> SizeHint {
    let first = first.map_or(0, |bytes| bytes.len() as u64);
    let Some(rest) = rest else {
        return SizeHint::with_exact(first);
    };
    match rest.exact() {
        Some(rest) => SizeHint::with_exact(first + rest),
        None => SizeHint::default(),
    }
}

/// Resources that a streamed answer holds until its last byte.
#[derive(Debug)]
pub struct AnswerResources {
    /// Connection on which the answer is received.
    pub lease: Lease,
    /// Slot at the local endpoint, if that endpoint answers.
    pub permit: Option<Permit>,
}

/// Body of an answer that this daemon gives.
#[derive(Debug)]
pub struct AnswerBody {
    first: Option<Bytes>,
    rest: Option<AnswerRest>,
    _guard: Option<InProgressGuard>,
    _unanswered: Option<Unanswered>,
}

impl AnswerBody {
    /// A buffered body.
    pub fn whole(bytes: Bytes) -> Self {
        Self {
            first: Some(bytes).filter(|bytes| !bytes.is_empty()),
            rest: None,
            _guard: None,
            _unanswered: None,
        }
    }

    /// A streamed body. If it breaks, so does the connection to the receiver, which therefore can't mistake a part
    /// for the whole body.
    pub fn streamed(first: Bytes, rest: Incoming, resources: Box<AnswerResources>) -> Self {
        Self {
            first: Some(first).filter(|bytes| !bytes.is_empty()),
            rest: Some(AnswerRest::new(rest, resources)),
            _guard: None,
            _unanswered: None,
        }
    }

    /// Ends a streamed answer at its deadline, if it has not been received to its end by then.
    pub fn set_deadline(&mut self, deadline: AnswerDeadline) {
        if let Some(rest) = &mut self.rest {
            rest.set_deadline(deadline);
        }
    }

    /// Notifies `connection`, on which the answer is passed on, if the answer is ended at its deadline.
    pub(crate) fn close_at_deadline(&self, connection: Arc<Notify>) {
        if let Some(rest) = &self.rest {
            rest.close_at_deadline(connection);
        }
    }

    /// Whether the answer can't be passed on completely.
    pub(crate) fn is_broken(&self) -> bool {
        self.rest.as_ref().is_some_and(AnswerRest::is_broken)
    }

    /// Keeps requests behind this one on its connection waiting until the body is dropped.
    pub(crate) fn set_unanswered(&mut self, unanswered: Unanswered) {
        self._unanswered = Some(unanswered);
    }

    /// Keeps the request in progress until the body is dropped.
    pub fn set_guard(&mut self, guard: InProgressGuard) {
        self._guard = Some(guard);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        match &mut self.rest {
            Some(rest) => rest.poll_frame(cx),
            None => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.as_ref().is_none_or(AnswerRest::is_ended)
    }

    fn size_hint(&self) -> SizeHint {
        let rest = self.rest.as_ref().map(AnswerRest::size_hint);
        combined_size_hint(self.first.as_ref(), rest)
    }
}
