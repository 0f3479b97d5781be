//! A connection to a control replica with one request at a time.

use crate::metrics::Metrics;
use bramblewheel_protocol::codec::{self, CodecError, MAX_CONTROL_FRAME};
use bramblewheel_protocol::control::{ControlReply, ControlRequest, ReplyBody, RequestBody};
use bramblewheel_protocol::socket;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout};

/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A replica can't be reached or violated the protocol.
#[derive(Debug, Error)]
pub(super) enum ConnectionError {
    /// The connection failed or a frame was malformed.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The replica closed the connection.
    #[error("the replica closed the connection")]
    Closed,
    /// The answer did not arrive in time.
    #[error("no answer in time")]
    TimedOut,
    /// The answer has the id of another request.
    #[error("the answer is for another request")]
    WrongReply,
}

impl From<io::Error> for ConnectionError {
    fn from(error: io::Error) -> Self {
        Self::Codec(error.into())
    }
}

/// A connection to a control replica. It must not be used after an error, so that a late answer is
/// not taken for the answer to the next request.
#[derive(Debug)]
pub(super) struct Connection {
    reader: CountedReader,
    writer: OwnedWriteHalf,
    metrics: Arc<Metrics>,
    last_id: u64,
    /// When the last answer came, or the connection was opened.
    idle_since: Instant,
}

impl Connection {
    /// Opens a connection.
    pub(super) async fn open(
        address: SocketAddr,
        metrics: Arc<Metrics>,
    ) -> Result<Self, ConnectionError> {
        let stream = socket::connect(address, CONNECT_TIMEOUT).await?;
        let (reader, writer) = stream.into_split();
        Ok(Self {
            reader: CountedReader {
                inner: reader,
                metrics: Arc::clone(&metrics),
            },
            writer,
            metrics,
            last_id: 0,
            idle_since: Instant::now(),
        })
    }

    /// Time since the last answer.
    pub(super) fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Sends one request and waits for its answer.
    pub(super) async fn query(
        &mut self,
        body: RequestBody,
        wait: Duration,
    ) -> Result<ReplyBody, ConnectionError> {
        timeout(wait, self.exchange(body))
            .await
            .map_err(|_| ConnectionError::TimedOut)?
    }

    async fn exchange(&mut self, body: RequestBody) -> Result<ReplyBody, ConnectionError> {
        self.last_id += 1;
        let request = ControlRequest {
            id: self.last_id,
            body,
        };
        let frame = codec::encode(&request, MAX_CONTROL_FRAME)?;
        self.writer.write_all(&frame).await?;
        self.metrics.control_sent_bytes.inc_by(frame.len() as u64);
        let reply: Option<ControlReply> =
            codec::read_frame(&mut self.reader, MAX_CONTROL_FRAME).await?;
        match reply {
            None => Err(ConnectionError::Closed),
            Some(reply) if reply.id == self.last_id => {
                self.idle_since = Instant::now();
                Ok(reply.body)
            }
            Some(_) => Err(ConnectionError::WrongReply),
        }
    }
}

/// Counts the bytes read.
#[derive(Debug)]
struct CountedReader {
    inner: OwnedReadHalf,
    metrics: Arc<Metrics>,
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
        self.metrics.control_received_bytes.inc_by(read as u64);
        result
    }
}
