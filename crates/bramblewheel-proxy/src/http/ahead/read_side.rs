//! Reads a connection for hyper, and ahead of it.

use super::heads::HeadScanner;
use super::queue::AheadQueue;
use crate::http::server::Handler;
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
    scanner: HeadScanner,
    /// Bytes read ahead of hyper.
    pending: BytesMut,
    max_pending: usize,
    end: Option<ReadEnd>,
}

impl ReadSide {
    pub(super) fn new(reader: OwnedReadHalf, max_pending: usize) -> Self {
        Self {
            reader,
            scanner: HeadScanner::default(),
            pending: BytesMut::new(),
            max_pending,
            end: None,
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
            return self.poll_socket(cx, buffer, queue);
        }
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
        self.scanner.scan(read.filled(), |head| queue.push(head));
        buffer.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }

    /// Reads ahead until the limit or the end of what has come.
    pub(super) fn read_ahead<H: Handler>(
        &mut self,
        cx: &mut Context<'_>,
        queue: &mut AheadQueue<H>,
    ) {
        while self.end.is_none() && self.pending.len() < self.max_pending {
            let mut bytes = [const { MaybeUninit::uninit() }; READ_SIZE];
            let length = READ_SIZE.min(self.max_pending - self.pending.len());
            let mut read = ReadBuf::uninit(&mut bytes[..length]);
            match Pin::new(&mut self.reader).poll_read(cx, &mut read) {
                Poll::Pending => return,
                Poll::Ready(Err(error)) => self.end = Some(ReadEnd::Failed(error)),
                Poll::Ready(Ok(())) if read.filled().is_empty() => {
                    self.end = Some(ReadEnd::Closed);
                }
                Poll::Ready(Ok(())) => {
                    self.scanner.scan(read.filled(), |head| queue.push(head));
                    self.pending.extend_from_slice(read.filled());
                }
            }
        }
    }
}
