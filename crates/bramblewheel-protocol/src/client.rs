//! Client of the control replicas, for operators' tools and tests.

use crate::codec::{CodecError, MAX_CONTROL_FRAME, encode, read_frame};
use crate::control::{ControlReply, ControlRequest, ReplyBody, RequestBody, Unavailable};
use crate::socket;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Time-out for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time-out for one replica's answer if there are other replicas to ask.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which a client opens another connection for its next request; replicas close idle connections later.
pub const MAX_IDLE: Duration = Duration::from_secs(20);
/// Maximum number of sends of one request by [`request_any`].
pub const MAX_ATTEMPTS: usize = 100;
/// Pause after the first round over all replicas; doubled after each round.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Maximum pause between rounds.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// One replica gave no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection; the request was not sent.
    #[error("connect: {0}")]
    Connect(io::Error),
    /// The request can't be encoded; it was not sent.
    #[error("request: {0}")]
    Encode(CodecError),
    /// An earlier request on this connection failed; the request was not sent.
    #[error("connection is no longer usable")]
    Unusable,
    /// No answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The replica closed the connection before its answer.
    #[error("connection closed before the answer")]
    Closed,
    /// The connection failed, or the answer is not a valid message.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The replica answered a request that was not sent.
    #[error("answer to request {0}, which was not sent")]
    UnexpectedReply(u64),
}

impl ClientError {
    /// Whether the replica may have acted on the request.
    pub const fn may_have_run(&self) -> bool {
        !matches!(self, Self::Connect(_) | Self::Encode(_) | Self::Unusable)
    }
}

/// A connection to one control replica.
#[derive(Debug)]
pub struct ControlClient {
    /// Taken while a request is in progress, so that a request that is cancelled in the middle of a frame
    /// doesn't leave a stream that is out of sync.
    stream: Option<TcpStream>,
    next_id: u64,
}

impl ControlClient {
    /// Connects to a replica's service address.
    ///
    /// # Errors
    /// [`ClientError::Connect`] if the connection fails or takes longer than [`CONNECT_TIMEOUT`].
    pub async fn connect(address: SocketAddr) -> Result<Self, ClientError> {
        let stream = socket::connect(address, CONNECT_TIMEOUT)
            .await
            .map_err(ClientError::Connect)?;
        Ok(Self {
            stream: Some(stream),
            next_id: 1,
        })
    }

    /// Sends a request and waits up to `max_wait` for its answer. After an error the connection can't be used again.
    ///
    /// # Errors
    /// [`ClientError`]; [`ClientError::may_have_run`] tells whether the replica may have acted on the request.
    pub async fn request(
        &mut self,
        body: RequestBody,
        max_wait: Duration,
    ) -> Result<ReplyBody, ClientError> {
        let id = self.next_id;
        let request = ControlRequest { id, body };
        let frame = encode(&request, MAX_CONTROL_FRAME).map_err(ClientError::Encode)?;
        let mut stream = self.stream.take().ok_or(ClientError::Unusable)?;
        self.next_id += 1;
        let reply = timeout(max_wait, exchange(&mut stream, &frame, id))
            .await
            .map_err(|_| ClientError::Timeout)??;
        self.stream = Some(stream);
        Ok(reply)
    }
}

async fn exchange(stream: &mut TcpStream, frame: &[u8], id: u64) -> Result<ReplyBody, ClientError> {
    stream.write_all(frame).await.map_err(CodecError::Io)?;
    let reply: ControlReply = read_frame(stream, MAX_CONTROL_FRAME)
        .await?
        .ok_or(ClientError::Closed)?;
    if reply.id != id {
        return Err(ClientError::UnexpectedReply(reply.id));
    }
    Ok(reply.body)
}

/// No replica gave a final answer to the request.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The request was provably not carried out.
    #[error("no control replica could answer{}", describe_attempts(.last))]
    NotDone {
        /// The last failed attempt at each replica.
        last: Vec<FailedAttempt>,
    },
    /// The request may have been carried out; send it again.
    #[error("undecided: the request may have been carried out{}", describe_attempts(.last))]
    Undecided {
        /// The last failed attempt at each replica.
        last: Vec<FailedAttempt>,
    },
}

/// One send of a request without a final answer.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Replica asked.
    pub address: SocketAddr,
    /// Why it failed.
    pub failure: AttemptFailure,
}

/// Why a send got no final answer.
#[derive(Debug, Error)]
pub enum AttemptFailure {
    /// No answer.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The replica answered that it can't serve the request now.
    #[error("{0}")]
    Unavailable(Unavailable),
}

impl AttemptFailure {
    fn may_have_run(&self) -> bool {
        match self {
            Self::Client(error) => error.may_have_run(),
            Self::Unavailable(why) => *why == Unavailable::Undecided,
        }
    }

    fn leader_hint(&self) -> Option<SocketAddr> {
        match self {
            Self::Unavailable(Unavailable::NotLeader(leader)) => *leader,
            _ => None,
        }
    }
}

fn describe_attempts(last: &[FailedAttempt]) -> String {
    let describe = |attempt: &FailedAttempt| format!("; {}: {}", attempt.address, attempt.failure);
    last.iter().map(describe).collect()
}

/// Sends a request to one replica after the other until one gives a final answer.
///
/// Follows hints to the leader, goes on to the next replica when one is unavailable or does not answer, and
/// starts again after an increasing pause, for at most `total_timeout` and [`MAX_ATTEMPTS`] sends. The
/// request may reach several replicas, so it must be safe to send again.
///
/// # Errors
/// [`RequestError::Undecided`] when a request that changes state may have been carried out,
/// [`RequestError::NotDone`] otherwise.
pub async fn request_any(
    addresses: &[SocketAddr],
    body: &RequestBody,
    total_timeout: Duration,
) -> Result<ReplyBody, RequestError> {
    let deadline = Instant::now() + total_timeout;
    let mut last: Vec<FailedAttempt> = Vec::new();
    let mut may_have_run = false;
    let mut pause = FIRST_PAUSE;
    let mut hint = None;
    let mut addresses_in_turn = addresses.iter().copied().cycle();
    for attempt in 1..=MAX_ATTEMPTS {
        let Some(address) = hint.take().or_else(|| addresses_in_turn.next()) else {
            break;
        };
        let wait = attempt_timeout(addresses.len(), deadline);
        let failure = match send(address, body.clone(), wait).await {
            Ok(reply) => return Ok(reply),
            Err(failure) => failure,
        };
        may_have_run |= failure.may_have_run();
        let is_unsendable = matches!(failure, AttemptFailure::Client(ClientError::Encode(_)));
        hint = failure.leader_hint();
        last.retain(|earlier| earlier.address != address);
        last.push(FailedAttempt { address, failure });
        if is_unsendable {
            break;
        }
        if attempt % addresses.len() == 0 {
            sleep(pause.min(remaining(deadline))).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
        if remaining(deadline).is_zero() {
            break;
        }
    }
    if may_have_run && body.changes_state() {
        return Err(RequestError::Undecided { last });
    }
    Err(RequestError::NotDone { last })
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// Limits an attempt to [`ATTEMPT_TIMEOUT`], except with a single replica, which may use all the remaining time.
fn attempt_timeout(replicas: usize, deadline: Instant) -> Duration {
    if replicas == 1 {
        return remaining(deadline);
    }
    remaining(deadline).min(ATTEMPT_TIMEOUT)
}

async fn send(
    address: SocketAddr,
    body: RequestBody,
    wait: Duration,
) -> Result<ReplyBody, AttemptFailure> {
    let deadline = Instant::now() + wait;
    let mut client = connect_within(wait, ControlClient::connect(address)).await?;
    match client.request(body, remaining(deadline)).await? {
        ReplyBody::Unavailable(why) => Err(AttemptFailure::Unavailable(why)),
        reply => Ok(reply),
    }
}

async fn connect_within(
    wait: Duration,
    connecting: impl Future<Output = Result<ControlClient, ClientError>>,
) -> Result<ControlClient, ClientError> {
    timeout(wait, connecting)
        .await
        .unwrap_or_else(|_| Err(ClientError::Connect(io::ErrorKind::TimedOut.into())))
}
