//! Connections from other replicas.
//!
//! A connection ends when its sender closes it or opens another one, or when nothing arrives on it for some time: a
//! sender that was cut off can't end it. A sender that still runs opens another one for its next message.
//!
//! What arrives is acknowledged to senders that read acknowledgements, so that they notice when nothing does.

use super::current_connections::CurrentConnections;
use super::input::{Input, Inputs};
use super::listener::{Limits, TOO_MANY_CONNECTIONS};
use super::received_bytes::{CountedReader, ReceivedBytes};
use crate::node::{Hello, PeerMessage};
use bramblewheel_protocol::codec::{self, CodecError, MAX_CONTROL_FRAME, MAX_PEER_FRAME};
use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_protocol::socket;
use slog::Logger;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

/// Connections open at one time. A group has only a few replicas.
pub(super) const LIMITS: Limits = Limits {
    connections: 64,
    refusal_reason: TOO_MANY_CONNECTIONS,
};
/// Time-out for the first frame.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Acknowledges all that arrived so far.
const ACKNOWLEDGEMENT: [u8; 1] = [0];
/// Interval between checks whether something arrived, which is then acknowledged.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Consecutive checks without a byte after which a connection is closed. Checks are counted, not time, because this
/// process may have been suspended while bytes arrived.
const MAX_IDLE_CHECKS: u32 = 20;

type PeerReader = BufReader<CountedReader<OwnedReadHalf>>;

/// Why a connection ended.
#[derive(Debug, Error)]
enum PeerEnd {
    #[error("closed by the replica")]
    Closed,
    #[error("replaced by another connection of the replica")]
    Replaced,
    #[error("nothing received")]
    Idle,
    #[error("acknowledgement: {0}")]
    Unwritable(io::Error),
    #[error("this replica stops")]
    Stopping,
    #[error(transparent)]
    Failed(#[from] CodecError),
}

/// What the connections of other replicas have in common.
#[derive(Clone, Debug)]
pub(super) struct PeerListener {
    pub(super) inputs: Inputs,
    /// By the identity of the replica.
    pub(super) connections: CurrentConnections<u64>,
    pub(super) log: Logger,
}

impl PeerListener {
    /// Reads messages from one connection until it ends.
    pub(super) async fn serve(self, stream: TcpStream, peer: SocketAddr) {
        if let Err(error) = socket::set_options(&stream) {
            slog::debug!(self.log, "peer connection ended"; "peer" => peer.to_string(),
                "error" => %error);
            return;
        }
        let (reader, writer) = stream.into_split();
        let received = ReceivedBytes::default();
        let mut reader = BufReader::new(received.count(reader));
        let sender = match read_hello(&mut reader, &self.inputs).await {
            Ok(Some(sender)) => sender,
            Ok(None) => return,
            Err(error) => {
                slog::warn!(self.log, "peer connection refused"; "peer" => peer.to_string(),
                    "error" => %error);
                return;
            }
        };
        let from = sender.address;
        let acknowledged = sender.reads_acknowledgements.then_some(&writer);
        let mut registration = self.connections.register(from.replica);
        let end = tokio::select! {
            end = pass_on_messages(&mut reader, &from, &self.inputs) => end,
            () = registration.until_replaced() => PeerEnd::Replaced,
            end = acknowledge_until_idle(&received, acknowledged) => end,
        };
        slog::debug!(self.log, "peer connection ended"; "peer" => peer.to_string(),
            "name" => &from.name, "received" => received.get(), "error" => %end);
    }
}

async fn pass_on_messages(
    reader: &mut PeerReader,
    from: &Arc<ReplicaAddress>,
    inputs: &Inputs,
) -> PeerEnd {
    loop {
        let message: PeerMessage = match codec::read_frame(reader, MAX_PEER_FRAME).await {
            Ok(Some(message)) => message,
            Ok(None) => return PeerEnd::Closed,
            Err(error) => return error.into(),
        };
        let input = Input::Peer(Arc::clone(from), message);
        if inputs.send(input).is_err() {
            return PeerEnd::Stopping;
        }
    }
}

/// Acknowledges what arrives, if there is a `writer`. Returns once nothing has arrived for [`MAX_IDLE_CHECKS`].
async fn acknowledge_until_idle(
    received: &ReceivedBytes,
    writer: Option<&OwnedWriteHalf>,
) -> PeerEnd {
    let mut acknowledged = 0;
    let mut idle_checks = 0;
    while idle_checks < MAX_IDLE_CHECKS {
        sleep(PROGRESS_CHECK_INTERVAL).await;
        let now = received.get();
        if now == acknowledged {
            idle_checks += 1;
            continue;
        }
        acknowledged = now;
        idle_checks = 0;
        if let Some(writer) = writer
            && let Err(error) = writer.try_write(&ACKNOWLEDGEMENT)
            && error.kind() != ErrorKind::WouldBlock
        {
            return PeerEnd::Unwritable(error);
        }
    }
    PeerEnd::Idle
}

/// The replica at the other end of a connection.
struct PeerSender {
    address: Arc<ReplicaAddress>,
    reads_acknowledgements: bool,
}

/// Reads the first frame. Returns `None` if the node refuses the replica.
async fn read_hello(
    reader: &mut PeerReader,
    inputs: &Inputs,
) -> Result<Option<PeerSender>, CodecError> {
    let hello = timeout(HELLO_TIMEOUT, codec::read_frame(reader, MAX_CONTROL_FRAME))
        .await
        .map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
    let Some::<Hello>(hello) = hello else {
        return Ok(None);
    };
    let sender = PeerSender {
        address: Arc::new(hello.from.clone()),
        reads_acknowledgements: hello.reads_acknowledgements,
    };
    let (answer, answered) = oneshot::channel();
    if inputs.send(Input::Hello(Box::new(hello), answer)).is_err() {
        return Ok(None);
    }
    let is_accepted = answered.await.unwrap_or(false);
    Ok(is_accepted.then_some(sender))
}
