//! The connection as hyper sees it: reads come through [`Ahead`], writes go to the socket.

use super::Ahead;
use crate::http::server::Handler;
use bramblewheel_process::invariants::lock;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_io_timeout::TimeoutWriter;

type Writer = Pin<Box<TimeoutWriter<OwnedWriteHalf>>>;

/// A connection whose requests are read ahead.
#[derive(Debug)]
pub struct AheadSocket<H: Handler> {
    ahead: Arc<Ahead<H>>,
    writer: TokioIo<Writer>,
}

impl<H: Handler> AheadSocket<H> {
    /// Reads through `ahead` and writes to `writer`, whose peer must read something within `write_timeout`.
    pub fn new(ahead: Arc<Ahead<H>>, writer: OwnedWriteHalf, write_timeout: Duration) -> Self {
        let mut writer = TimeoutWriter::new(writer);
        writer.set_timeout(Some(write_timeout));
        let writer = TokioIo::new(Box::pin(writer));
        Self { ahead, writer }
    }
}

impl<H: Handler> Read for AheadSocket<H> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = lock(&self.ahead.state);
        let state = &mut *state;
        state.reader.poll_read(cx, buffer, &mut state.queue)
    }
}

impl<H: Handler> Write for AheadSocket<H> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write_vectored(cx, slices)
    }
}
