//! Connections of daemons and operators.
//!
//! A connection that the network has cut does not end by itself: it is ended when its daemon sends requests of the same
//! kind on another one, or when no request comes for some time.

use super::current_connections::{CurrentConnection, CurrentConnections};
use super::daemon_stream::DaemonStream;
use super::input::{ConnectionId, Input, Inputs};
use super::listener::{Limits, TOO_MANY_CONNECTIONS};
use bramblewheel_protocol::codec::{self, CodecError, MAX_CONTROL_FRAME};
use bramblewheel_protocol::control::{ControlReply, ControlRequest, ReplyBody};
use bramblewheel_protocol::socket;
use slog::Logger;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::timeout;

/// Connections open at one time. Enough for two connections from each of 1,200 daemons three times over,
/// so that one replica can also serve the daemons of two others.
pub(super) const LIMITS: Limits = Limits {
    connections: 8192,
    refusal_reason: TOO_MANY_CONNECTIONS,
};
/// Pending requests per connection at most; further ones are not read until a reply is written.
const MAX_WAITING: usize = 64;
/// Time in which a connection is still read before it is closed. A request may have arrived while this process could not
/// run.
const LAST_READ_TIME: Duration = Duration::from_millis(20);
/// Time-out for the rest of a frame after its first byte.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Time-out for writing a reply.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time-out for writing the last replies when the connection is being closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// One connection of a client.
pub(super) struct Connection {
    pub(super) id: ConnectionId,
    pub(super) peer: SocketAddr,
    pub(super) inputs: Inputs,
    pub(super) streams: CurrentConnections<DaemonStream>,
    pub(super) idle_timeout: Duration,
    pub(super) stop: watch::Receiver<bool>,
    pub(super) log: Logger,
}

impl Connection {
    /// Serves the connection until either side ends it.
    pub(super) async fn serve(self, stream: TcpStream) {
        if let Err(error) = socket::set_options(&stream) {
            slog::debug!(self.log, "connection ended"; "peer" => self.peer.to_string(),
                "error" => %error);
            return;
        }
        let (reader, writer) = stream.into_split();
        let (replies, to_write) = mpsc::unbounded_channel();
        let slots = Arc::new(Semaphore::new(MAX_WAITING));
        let writing = write_replies(writer, to_write, Arc::clone(&slots));
        let mut writing = std::pin::pin!(writing);
        let reading = self.read_requests(reader, replies.clone(), slots);
        let mut is_writing = true;
        let ended = tokio::select! {
            ended = reading => ended,
            () = writing.as_mut() => {
                is_writing = false;
                Ok(())
            }
        };
        // The node then drops its senders for this connection, so that `writing` ends.
        let _ = self.inputs.send(Input::Closed(self.id));
        match ended {
            Err(CodecError::Io(error)) if is_disconnection(&error) => {
                slog::info!(self.log, "connection ended by its client"; "peer" => self.peer.to_string(),
                    "error" => %error);
            }
            Err(error) => {
                slog::warn!(self.log, "request refused"; "peer" => self.peer.to_string(),
                    "error" => %error);
                let _ = replies.send(refusal(&error));
            }
            Ok(()) => {}
        }
        drop(replies);
        if is_writing {
            let _ = timeout(CLOSE_TIMEOUT, writing).await;
        }
    }

    /// Reads until the client closes, breaks the protocol, or the replica stops.
    async fn read_requests(
        &self,
        mut reader: OwnedReadHalf,
        replies: mpsc::UnboundedSender<ControlReply>,
        slots: Arc<Semaphore>,
    ) -> Result<(), CodecError> {
        let mut stop = self.stop.clone();
        let mut stream = None;
        loop {
            let request = tokio::select! {
                request = next_request(&mut reader, self.idle_timeout, &slots) => request?,
                () = until_replaced(&mut stream) => return Ok(()),
                _ = stop.wait_for(|stop| *stop) => return Ok(()),
            };
            let Some(request) = request else {
                return Ok(());
            };
            if stream.is_none() {
                let of_request = DaemonStream::of(&request.body);
                stream = of_request.map(|stream| self.streams.register(stream));
            }
            let input = Input::Request {
                connection: self.id,
                request: Box::new(request),
                replies: replies.clone(),
            };
            if self.inputs.send(input).is_err() {
                return Ok(());
            }
        }
    }
}

/// Returns once the daemon sends the requests of `stream` on another connection.
async fn until_replaced(stream: &mut Option<CurrentConnection<DaemonStream>>) {
    match stream {
        Some(stream) => stream.until_replaced().await,
        None => pending().await,
    }
}

/// Whether the client ended the connection, so that nothing was refused.
fn is_disconnection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe
    )
}

/// Waits for a free slot, then reads the next request.
async fn next_request(
    reader: &mut OwnedReadHalf,
    idle_timeout: Duration,
    slots: &Semaphore,
) -> Result<Option<ControlRequest>, CodecError> {
    if let Ok(permit) = slots.acquire().await {
        // The slot is released when the reply is written.
        permit.forget();
    }
    if !has_next_request(reader, idle_timeout, slots).await? {
        return Ok(None);
    }
    timeout(FRAME_TIMEOUT, codec::read_frame(reader, MAX_CONTROL_FRAME))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Waits until a request begins; returns `false` when the connection has ended or been idle for too long.
async fn has_next_request(
    reader: &mut OwnedReadHalf,
    idle_timeout: Duration,
    slots: &Semaphore,
) -> io::Result<bool> {
    let mut byte = [0];
    loop {
        if let Ok(peeked) = timeout(idle_timeout, reader.peek(&mut byte)).await {
            return Ok(peeked? > 0);
        }
        // The slot of the next request is taken.
        let has_waiting = slots.available_permits() + 1 < MAX_WAITING;
        if has_waiting {
            continue;
        }
        let last_peek = timeout(LAST_READ_TIME, reader.peek(&mut byte)).await;
        return Ok(last_peek.unwrap_or(Ok(0))? > 0);
    }
}

/// Reply to a request that can't be read. Its id is 0, since that of the request is unknown.
fn refusal(error: &CodecError) -> ControlReply {
    ControlReply {
        id: 0,
        body: ReplyBody::Rejected(error.to_string()),
    }
}

async fn write_replies(
    mut writer: OwnedWriteHalf,
    mut replies: mpsc::UnboundedReceiver<ControlReply>,
    slots: Arc<Semaphore>,
) {
    while let Some(reply) = replies.recv().await {
        let Ok(frame) = encode(&reply) else {
            return;
        };
        match timeout(WRITE_TIMEOUT, writer.write_all(&frame)).await {
            Ok(Ok(())) => slots.add_permits(1),
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// Encodes a reply. If it is too long, encodes a refusal with that reason instead.
fn encode(reply: &ControlReply) -> Result<Vec<u8>, CodecError> {
    codec::encode(reply, MAX_CONTROL_FRAME).or_else(|error| {
        let body = ReplyBody::Rejected(format!("the answer can't be sent: {error}"));
        let refusal = ControlReply { id: reply.id, body };
        codec::encode(&refusal, MAX_CONTROL_FRAME)
    })
}
