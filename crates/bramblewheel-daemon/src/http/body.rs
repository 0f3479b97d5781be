//! Answer bodies, either complete or streamed.
//!
//! A streamed body reports its end to its owner, which reports the result of the attempt to the
//! engine. The routed data path has no engine; its body holds connection and slot instead.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;

/// A streamed answer failed or was cancelled. The connection that carries it is aborted, so that the
/// caller can't mistake the part received for the complete answer.
#[derive(Debug, Error)]
#[error("the answer ended before it was complete")]
pub struct BrokenAnswer;

/// Owner of a streamed answer, which is notified of its end.
pub trait StreamOwner: Send {
    /// Returns ready if the answer was cancelled; otherwise registers for a wake-up.
    fn poll_cancelled(&mut self, cx: &mut Context<'_>) -> Poll<()>;
    /// Called after the last byte was forwarded.
    fn finished(&mut self);
    /// Called when the source failed before its end.
    fn source_failed(&mut self);
    /// Called when the receiver disconnected before the end.
    fn receiver_disconnected(&mut self);
}

/// Body of an answer to a caller or daemon.
pub enum AnswerBody {
    /// A complete body.
    Whole(Full<Bytes>),
    /// A body that is forwarded as it arrives.
    Streamed(StreamedBody),
}

impl AnswerBody {
    /// Creates a complete body.
    pub fn whole(bytes: Bytes) -> Self {
        Self::Whole(Full::new(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Streamed(body) => body.poll_next(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// A body that is forwarded as it arrives.
pub struct StreamedBody {
    received: Option<Bytes>,
    source: Incoming,
    owner: Box<dyn StreamOwner>,
    ended: bool,
}

impl StreamedBody {
    /// Creates a body that forwards `received` and then the rest of `source`.
    pub fn new(received: Bytes, source: Incoming, owner: Box<dyn StreamOwner>) -> Self {
        Self {
            received: Some(received).filter(|bytes| !bytes.is_empty()),
            source,
            owner,
            ended: false,
        }
    }

    fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        if self.owner.poll_cancelled(cx).is_ready() {
            self.ended = true;
            return Poll::Ready(Some(Err(BrokenAnswer)));
        }
        if let Some(bytes) = self.received.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match std::task::ready!(Pin::new(&mut self.source).poll_frame(cx)) {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(_)) => {
                self.ended = true;
                self.owner.source_failed();
                Poll::Ready(Some(Err(BrokenAnswer)))
            }
            None => {
                self.ended = true;
                self.owner.finished();
                Poll::Ready(None)
            }
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        if !self.ended {
            self.owner.receiver_disconnected();
        }
    }
}
