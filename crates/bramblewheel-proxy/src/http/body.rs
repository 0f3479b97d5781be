//! Bodies: kept whole while they are short, passed on as they come otherwise.
//!
//! A short body can be sent again on another connection; a streamed one can't. A streamed answer owns
//! its connection and its slot until the last byte.

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

/// Longest body that is held until it is whole, in bytes; a longer one is passed on as it comes.
pub const HELD_BYTES: usize = COUNTED_BODY_BYTES;

/// A body broke before its end.
#[derive(Debug, Error)]
#[error("the body broke before its end")]
pub struct BrokenBody;

/// A body as far as it was read.
#[derive(Debug)]
pub enum Read {
    /// All of it.
    Whole(Bytes),
    /// Its beginning, and the rest that is to come.
    Begun(Bytes, Incoming),
}

/// Reads a body until its end or until it is longer than [`HELD_BYTES`].
///
/// # Errors
/// [`BrokenBody`] when it ends before it is complete.
pub async fn read(mut body: Incoming) -> Result<Read, BrokenBody> {
    match collect(&mut body, HELD_BYTES).await {
        Ok(Collected::Whole(bytes)) => Ok(Read::Whole(bytes)),
        Ok(Collected::OverLimit(begun)) => Ok(Read::Begun(begun, body)),
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
    /// A body known in full; `is_sent` becomes true once it is written.
    pub fn whole(bytes: Bytes, is_sent: Arc<AtomicBool>) -> Self {
        Self {
            first: Some(bytes).filter(|bytes| !bytes.is_empty()),
            rest: None,
            is_sent,
        }
    }

    /// A body passed on as it comes, up to a limit; `is_sent` becomes true once it is written.
    pub fn begun(first: Bytes, rest: Limited<Incoming>, is_sent: Arc<AtomicBool>) -> Self {
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
        let is_over = self.first.is_none() && self.rest.is_none();
        if is_over {
            self.is_sent.store(true, Ordering::Release);
        }
        is_over
    }

    fn size_hint(&self) -> SizeHint {
        hint(self.first.as_ref(), self.rest.as_ref())
    }
}

fn hint(first: Option<&Bytes>, rest: Option<&impl Body>) -> SizeHint {
    let first = first.map_or(0, |bytes| bytes.len() as u64);
    let Some(rest) = rest else {
        return SizeHint::with_exact(first);
    };
    match rest.size_hint().exact() {
        Some(rest) => SizeHint::with_exact(first + rest),
        None => SizeHint::default(),
    }
}

/// What a streamed answer holds until its last byte: the connection it comes on, and its slot at the
/// local endpoint.
#[derive(Debug)]
pub struct Held {
    /// Connection that the answer comes on.
    pub lease: Lease,
    /// Slot at the local endpoint, if the answer is that endpoint's.
    pub permit: Option<Permit>,
}

/// Body of an answer that this daemon gives.
#[derive(Debug)]
pub struct AnswerBody {
    first: Option<Bytes>,
    rest: Option<(Incoming, Held)>,
    _open: Option<InProgressGuard>,
}

impl AnswerBody {
    /// A body known in full.
    pub fn whole(bytes: Bytes) -> Self {
        Self {
            first: Some(bytes).filter(|bytes| !bytes.is_empty()),
            rest: None,
            _open: None,
        }
    }

    /// A body passed on as it comes. When it breaks, so does the connection to the receiver, which
    /// therefore can't take what it got for the whole.
    pub fn begun(first: Bytes, rest: Incoming, held: Held) -> Self {
        Self {
            first: Some(first).filter(|bytes| !bytes.is_empty()),
            rest: Some((rest, held)),
            _open: None,
        }
    }

    /// Counts as in progress until the body is dropped.
    pub fn guard(&mut self, open: InProgressGuard) {
        self._open = Some(open);
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
        let Some((rest, _)) = &mut self.rest else {
            return Poll::Ready(None);
        };
        match std::task::ready!(Pin::new(rest).poll_frame(cx)) {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(_)) => Poll::Ready(Some(Err(BrokenBody))),
            None => {
                if let Some((_, held)) = self.rest.take() {
                    held.lease.give_back();
                }
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        hint(
            self.first.as_ref(),
            self.rest.as_ref().map(|(rest, _)| rest),
        )
    }
}
