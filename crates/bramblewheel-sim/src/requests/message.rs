//! Messages between the processes of a request simulation, and their timers.

use super::content::Content;
use super::endpoint::{RunKey, RunRequest};
use super::layer::direct::OutCallKey;
use super::topology::{FlowIndex, RouteIndex};
use bramblewheel_control::node::{Hello, PeerMessage};
use bramblewheel_core::context::{CallContext, Operation};
use bramblewheel_core::event::{ClaimAnswer, Feedback, LedgerRequest};
use bramblewheel_protocol::control::{ControlReply, ControlRequest};
use bramblewheel_types::{AttemptId, Criticality, OperationKey, Outcome, RequestId};
use std::time::Duration;

/// One send of a request by a caller; unique in a simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendId(pub u64);

/// A request as a caller sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct RootRequest {
    /// This send.
    pub send: SendId,
    /// Id of the original request; also drawn for callers that state none.
    pub request: RequestId,
    /// Number of resends so far under the same id.
    pub resend: u32,
    /// Flow of the request.
    pub flow: FlowIndex,
    /// Route called.
    pub route: RouteIndex,
    /// Name of the caller.
    pub caller: String,
    /// Time that the caller allows for the answer.
    pub timeout: Duration,
    /// Class that the caller requests; the bundle's class if `None`.
    pub criticality: Option<Criticality>,
    /// Session that the request claims.
    pub session: SessionClaim,
    /// Set if the request must not run twice.
    pub operation: Option<Operation>,
}

/// Session that a request claims.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionClaim {
    /// No session.
    None,
    /// Some session; no token is checked.
    Assumed,
    /// The request opens a session.
    Open,
    /// The session of this token.
    Token(String),
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerAnswer {
    /// The send answered.
    pub send: SendId,
    /// Outcome of the send.
    pub outcome: Outcome,
    /// Content that the answer belongs to, if its body comes from an endpoint.
    pub body: Option<Content>,
    /// Token of the session that the request opened.
    pub session_token: Option<String>,
    /// Whether the token of the request was refused.
    pub session_refused: bool,
}

/// A message between processes.
#[derive(Clone, Debug)]
pub enum Message {
    /// A caller's request.
    Request(Box<RootRequest>),
    /// The caller closed its connection.
    CallerDisconnected(SendId),
    /// Answer to a caller.
    Answer(Box<CallerAnswer>),
    /// A call of the direct layer, without bramblewheel.
    DirectCall {
        /// Key of the call at the calling machine.
        call: OutCallKey,
        /// Number of the attempt, from 1.
        attempt_number: u32,
        /// Request to run.
        request: RunRequest,
    },
    /// Answer to a call of the direct layer.
    DirectAnswer {
        /// Key of the call at the calling machine.
        call: OutCallKey,
        /// Number of the attempt, from 1.
        attempt_number: u32,
        /// Content that the answer belongs to, if the call succeeded.
        body: Option<Content>,
    },
    /// An attempt from one daemon to another; the deadline is sent as remaining time.
    Attempt {
        /// The context; its deadline is on the sender's clock and must not be used.
        context: Box<CallContext>,
        /// Time until the deadline.
        remaining: Duration,
        /// Content of the request.
        content: Content,
    },
    /// Answer to an attempt.
    AttemptAnswer {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        outcome: Outcome,
        /// Load feedback of the called daemon.
        feedback: Feedback,
        /// Content that the answer belongs to, if its body comes from an endpoint.
        body: Option<Content>,
    },
    /// The calling daemon closed the attempt's connection.
    AttemptCancelled(AttemptId),
    /// A daemon's request to the ledger; repeated until it is answered.
    LedgerRequest {
        /// The attempt that needs it.
        attempt: AttemptId,
        /// The request.
        request: LedgerRequest,
    },
    /// Answer of the ledger.
    LedgerAnswer {
        /// The attempt that needed it.
        attempt: AttemptId,
        /// The operation.
        key: OperationKey,
        /// Answer to a claim; `None` for requests that are only recorded.
        answer: Option<ClaimAnswer>,
    },
    /// A message between control replicas.
    Peer(Box<PeerEnvelope>),
    /// A request to a control replica.
    ControlRequest(Box<ControlRequest>),
    /// A reply of a control replica.
    ControlReply(Box<ControlReply>),
}

/// A message between control replicas, with the greeting of its connection.
#[derive(Clone, Debug)]
pub struct PeerEnvelope {
    /// Sender and recipient.
    pub hello: Hello,
    /// The message.
    pub message: PeerMessage,
}

impl Message {
    /// Whether the network may lose, duplicate or reorder the message. Requests and caller answers are
    /// bound to connections and excluded; answers to attempts are included on purpose, as a test.
    pub fn is_disorderly(&self) -> bool {
        !matches!(
            self,
            Self::Request(_) | Self::Answer(_) | Self::Attempt { .. } | Self::DirectCall { .. }
        )
    }
}

/// Payload of timers.
#[derive(Clone, Debug)]
pub enum Timer {
    /// A run finished a part of its work.
    Work(RunKey),
    /// The engine's next wake-up is due.
    Tick,
    /// The endpoint's load report is due.
    Report,
    /// The connection for an attempt is open.
    Connected(AttemptId),
    /// Unanswered ledger requests are due to be repeated.
    RepeatLedger,
    /// The connection for a direct call is open.
    DirectConnected(OutCallKey, u32),
    /// An attempt of a direct call timed out.
    DirectTimeout(OutCallKey, u32),
    /// The next candidate for a new request of the callers.
    Arrival,
    /// A caller sends again.
    Resend(u64),
    /// A caller stops waiting for a send.
    SendTimeout(SendId),
    /// The commit of a ledger request is complete.
    LedgerReady(u64),
    /// The control replica's next wake-up is due.
    Replica,
    /// The drain of a planned stop is complete and the linger time, in which late requests are refused,
    /// has passed.
    LingerEnded,
    /// A refusal that an unsafe double held back is due.
    Parked(u64),
}
