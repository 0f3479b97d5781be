//! Reads a connection for hyper, and ahead of it.

use super::heads::HeadScanner;
use super::queue::AheadQueue;
use crate::http::server::Handler;
use bramblewheel_process::clock::Clock;
use bytes::{Buf, BytesMut};
use hyper::rt::ReadBufCursor;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::OwnedReadHalf;

/// Most bytes taken from the socket at one time.
const READ_SIZE: usize = 16 * 1024;
/// Bytes counted for each request that waits, beside those read ahead. Without them, a connection with heads of 18 bytes
/// would hold several times the bytes that it may read ahead.
const BYTES_PER_REQUEST: usize = 128;

/// How the connection's bytes ended.
#[derive(Debug)]
enum ReadEnd {
    Closed,
    Failed(io::Error),
}

/// The reading half of a connection, with the bytes that hyper has not taken yet.
#[derive(Debug)]
pub(super) struct ReadSide {
    reader: OwnedReadHalf,
    clock: Clock,
    scanner: HeadScanner,
    /// Bytes read ahead of hyper.
    pending: BytesMut,
    max_pending: usize,
    end: Option<ReadEnd>,
    /// Whether the last read of hyper found nothing, so that it waits for the next bytes.
    is_awaited: bool,
}

impl ReadSide {
    pub(super) fn new(reader: OwnedReadHalf, clock: Clock, max_pending: usize) -> Self {
        Self {
            reader,
            clock,
            scanner: HeadScanner::default(),
            pending: BytesMut::new(),
            max_pending,
            end: None,
            is_awaited: false,
        }
    }

    /// Whether the beginning of a further request has come.
    pub(super) fn has_partial_head(&self) -> bool {
        self.scanner.has_partial_head()
    }

    /// Whether the caller closed or reset the connection.
    pub(super) fn has_ended(&self) -> bool {
        self.end.is_some()
    }

    /// Reads for hyper: what was read ahead first.
    pub(super) fn poll_read<H: Handler>(
        &mut self,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
        queue: &mut AheadQueue<H>,
    ) -> Poll<io::Result<()>> {
        if self.pending.is_empty() {
            let read = self.poll_socket(cx, buffer, queue);
            self.is_awaited = read.is_pending();
            return read;
        }
        self.is_awaited = false;
        let length = self.pending.len().min(buffer.remaining());
        buffer.put_slice(&self.pending[..length]);
        self.pending.advance(length);
        if self.pending.is_empty() {
            // An idle connection keeps no buffer.
            self.pending = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_socket<H: Handler>(
        &mut self,
        cx: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
        queue: &mut AheadQueue<H>,
    ) -> Poll<io::Result<()>> {
        match self.end.take() {
            Some(ReadEnd::Closed) => {
                self.end = Some(ReadEnd::Closed);
                return Poll::Ready(Ok(()));
            }
            Some(ReadEnd::Failed(error)) => return Poll::Ready(Err(error)),
            None => {}
        }
        let mut bytes = [const { MaybeUninit::uninit() }; READ_SIZE];
        let length = bytes.len().min(buffer.remaining());
        let mut read = ReadBuf::uninit(&mut bytes[..length]);
        ready!(Pin::new(&mut self.reader).poll_read(cx, &mut read))?;
        let now = self.clock.now();
        self.scanner
            .scan(read.filled(), |head| queue.push(head, now));
        buffer.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }

    /// Reads ahead until the limit or the end of what has come. Wakes hyper if it waits for what was read.
    pub(super) fn read_ahead<H: Handler>(
        &mut self,
        cx: &mut Context<'_>,
        queue: &mut AheadQueue<H>,
    ) {
        while let Some(room) = self.room(queue) {
            let mut bytes = [const { MaybeUninit::uninit() }; READ_SIZE];
            let length = READ_SIZE.min(room);
            let mut read = ReadBuf::uninit(&mut bytes[..length]);
            match Pin::new(&mut self.reader).poll_read(cx, &mut read) {
                Poll::Pending => return,
                Poll::Ready(Err(error)) => self.end = Some(ReadEnd::Failed(error)),
                Poll::Ready(Ok(())) if read.filled().is_empty() => {
                    self.end = Some(ReadEnd::Closed);
                }
                Poll::Ready(Ok(())) => {
                    let now = self.clock.now();
                    self.scanner
                        .scan(read.filled(), |head| queue.push(head, now));
                    self.pending.extend_from_slice(read.filled());
                }
            }
            if std::mem::take(&mut self.is_awaited) {
                cx.waker().wake_by_ref();
            }
        }
    }

    /// How many bytes may be read ahead now; none at the limit or the end.
    fn room<H: Handler>(&self, queue: &AheadQueue<H>) -> Option<usize> {
        let held = self.pending.len() + queue.len() * BYTES_PER_REQUEST;
        let room = self.max_pending.saturating_sub(held);
        (self.end.is_none() && room > 0).then_some(room)
    }
}
