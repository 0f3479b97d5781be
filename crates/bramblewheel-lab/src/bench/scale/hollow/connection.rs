//! A hollow daemon's connection to a replica, with its bytes counted.

use super::counters::Counters;
use bramblewheel_protocol::codec::{self, CodecError, MAX_CONTROL_FRAME};
use bramblewheel_protocol::control::{ControlReply, ControlRequest, ReplyBody, RequestBody};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// Time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to one replica, one request at a time.
pub(super) struct Connection {
    replica: SocketAddr,
    reader: CountedReader,
    writer: OwnedWriteHalf,
    counters: Arc<Counters>,
    last_id: u64,
}

impl Connection {
    pub(super) async fn open(
        replica: SocketAddr,
        counters: Arc<Counters>,
    ) -> Result<Self, CodecError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(replica))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let (inner, writer) = stream.into_split();
        let reader = CountedReader {
            inner,
            replica,
            counters: Arc::clone(&counters),
        };
        Ok(Self {
            replica,
            reader,
            writer,
            counters,
            last_id: 0,
        })
    }

    /// Asks one question. After an error or a timeout the connection must not be used again.
    pub(super) async fn ask(
        &mut self,
        body: RequestBody,
        wait: Duration,
    ) -> Result<ReplyBody, CodecError> {
        self.last_id += 1;
        let request = ControlRequest {
            id: self.last_id,
            body,
        };
        let frame = codec::encode(&request, MAX_CONTROL_FRAME)?;
        self.writer.write_all(&frame).await?;
        self.counters.sent(self.replica, frame.len());
        let reading = codec::read_frame(&mut self.reader, MAX_CONTROL_FRAME);
        let reply: Option<ControlReply> = timeout(wait, reading)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        match reply {
            Some(reply) if reply.id == self.last_id => Ok(reply.body),
            Some(_) | None => Err(io::Error::from(io::ErrorKind::ConnectionAborted).into()),
        }
    }
}

/// Counts the bytes read.
struct CountedReader {
    inner: OwnedReadHalf,
    replica: SocketAddr,
    counters: Arc<Counters>,
}

impl AsyncRead for CountedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.inner).poll_read(cx, buffer);
        let read = buffer.filled().len() - before;
        self.counters.received(self.replica, read);
        result
    }
}
