//! Bodies of answers: known in full, or passed on as they come.
//!
//! A streamed body reports its end to its owner, so that the engine knows of each attempt how it
//! ended; the routed data path has no engine, and its body holds connection and slot instead.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;

/// A streamed answer broke or was cut; the connection that carries it is aborted, so that the
/// caller can't take what it got for the whole.
#[derive(Debug, Error)]
#[error("the answer broke before its end")]
pub struct BrokenAnswer;

/// What happens to the owner of a streamed answer.
pub trait StreamOwner: Send {
    /// Whether the answer is not wanted any more; registers for a wake-up otherwise.
    fn poll_cancelled(&mut self, cx: &mut Context<'_>) -> Poll<()>;
    /// The last byte was passed on.
    fn finished(&mut self);
    /// The source broke before its end.
    fn broken(&mut self);
    /// The receiver went away before the end.
    fn abandoned(&mut self);
}

/// Body of an answer to a caller or daemon.
pub enum AnswerBody {
    /// Known in full.
    Whole(Full<Bytes>),
    /// Passed on as it comes.
    Streamed(StreamedBody),
}

impl AnswerBody {
    /// A body known in full.
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

/// An answer passed on as it comes.
pub struct StreamedBody {
    begun: Option<Bytes>,
    source: Incoming,
    owner: Box<dyn StreamOwner>,
    ended: bool,
}

impl StreamedBody {
    /// Passes on `begun`, then what is left of `source`.
    pub fn new(begun: Bytes, source: Incoming, owner: Box<dyn StreamOwner>) -> Self {
        Self {
            begun: Some(begun).filter(|bytes| !bytes.is_empty()),
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
        if let Some(bytes) = self.begun.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        match std::task::ready!(Pin::new(&mut self.source).poll_frame(cx)) {
            Some(Ok(frame)) => Poll::Ready(Some(Ok(frame))),
            Some(Err(_)) => {
                self.ended = true;
                self.owner.broken();
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
            self.owner.abandoned();
        }
    }
}
