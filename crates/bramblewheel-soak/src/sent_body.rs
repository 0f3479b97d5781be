//! Body of a request that tells when its last byte is passed to the connection, sent at once or in chunks.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::Sleep;

/// Pause between two chunks of a body that is sent slowly.
pub(crate) const SLOW_PAUSE: Duration = Duration::from_millis(10);
/// Length of one chunk of a body that is sent slowly.
const CHUNK_BYTES: usize = 16 * 1024;

/// What is called when the last byte is passed to the connection.
pub type OnSent = Box<dyn FnOnce() + Send>;

/// A body that is sent at once or in chunks.
pub struct SentBody {
    rest: Bytes,
    pause: Option<Pin<Box<Sleep>>>,
    is_slow: bool,
    on_sent: Mutex<Option<OnSent>>,
}

impl SentBody {
    /// A body that is sent at once, or slowly if `is_slow`.
    pub fn new(bytes: Bytes, is_slow: bool, on_sent: OnSent) -> Self {
        Self {
            rest: bytes,
            pause: None,
            is_slow,
            on_sent: Mutex::new(Some(on_sent)),
        }
    }

    fn notify(&self) {
        // A panic in the callback has ended the request already.
        let mut on_sent = self.on_sent.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(notify) = on_sent.take() {
            notify();
        }
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        let most = if self.is_slow {
            CHUNK_BYTES
        } else {
            self.rest.len()
        };
        let length = self.rest.len().min(most);
        let chunk = self.rest.split_to(length);
        if self.rest.is_empty() {
            self.notify();
        }
        if chunk.is_empty() {
            return Poll::Ready(None);
        }
        if self.is_slow {
            self.pause = Some(Box::pin(tokio::time::sleep(SLOW_PAUSE)));
        }
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    /// The connection asks this when it writes the head; an empty body is not polled after that.
    fn is_end_stream(&self) -> bool {
        let is_empty = self.rest.is_empty();
        if is_empty {
            self.notify();
        }
        is_empty
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
