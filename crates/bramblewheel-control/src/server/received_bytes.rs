//! Counts the bytes that arrive on a connection, so that another task sees whether it makes progress.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};

/// Bytes received so far.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    pub(super) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// A reader that counts what it reads.
    pub(super) fn count<R>(&self, reader: R) -> CountedReader<R> {
        CountedReader {
            reader,
            received: self.clone(),
        }
    }
}

/// A reader whose bytes are counted.
#[derive(Debug)]
pub(super) struct CountedReader<R> {
    reader: R,
    received: ReceivedBytes,
}

impl<R: AsyncRead + Unpin> AsyncRead for CountedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.reader).poll_read(cx, buffer);
        let read = buffer.filled().len() - before;
        self.received.0.fetch_add(read as u64, Ordering::Relaxed);
        result
    }
}
