//! What the processes of a request simulation send each other, and their timers.

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

/// One send of a request by a caller; unique in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendId(pub u64);

/// A request as a caller sends it.
#[derive(Clone, Debug, PartialEq)]
pub struct RootRequest {
    /// This send.
    pub send: SendId,
    /// Id of the original request, also drawn for callers that name none.
    pub request: RequestId,
    /// Number of the resend under the same id.
    pub resend: u32,
    /// Kind of request.
    pub flow: FlowIndex,
    /// Route called.
    pub route: RouteIndex,
    /// Name of the caller.
    pub caller: String,
    /// How long the caller waits.
    pub timeout: Duration,
    /// Class that the caller asks for; that of the bundle if none.
    pub criticality: Option<Criticality>,
    /// What it says of its session.
    pub session: SessionClaim,
    /// Present when the request must not run twice.
    pub operation: Option<Operation>,
}

/// What a request says of its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionClaim {
    /// It belongs to none.
    None,
    /// It belongs to one; no token is looked at.
    Assumed,
    /// One is to be opened with it.
    Open,
    /// The token of one.
    Token(String),
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerAnswer {
    /// The send answered.
    pub send: SendId,
    /// How it ended.
    pub outcome: Outcome,
    /// What the answer is an answer to, if it has a body of an endpoint.
    pub body: Option<Content>,
    /// Token of the session that was opened.
    pub opened: Option<String>,
    /// Whether the token sent was not accepted.
    pub session_refused: bool,
}

/// What processes send each other.
#[derive(Clone, Debug)]
pub enum Message {
    /// A caller's request.
    Request(Box<RootRequest>),
    /// The caller closed its connection.
    GiveUp(SendId),
    /// The answer to a caller.
    Answer(Box<CallerAnswer>),
    /// A call without bramblewheel.
    DirectCall {
        /// The call at its maker.
        call: OutCallKey,
        /// Number of the try.
        tried: u32,
        /// What is to be run.
        request: RunRequest,
    },
    /// The answer to a call without bramblewheel.
    DirectAnswer {
        /// The call at its maker.
        call: OutCallKey,
        /// Number of the try.
        tried: u32,
        /// What the answer is an answer to, if it succeeded.
        body: Option<Content>,
    },
    /// A daemon hands an attempt to another; the deadline crosses as remaining time.
    Attempt {
        /// The context; its deadline is on the sender's clock and not to be used.
        context: Box<CallContext>,
        /// Time until the deadline.
        remaining: Duration,
        /// What is asked for.
        content: Content,
    },
    /// The answer to an attempt.
    AttemptAnswer {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        outcome: Outcome,
        /// Reports of the called daemon.
        feedback: Feedback,
        /// What the answer is an answer to, if it has a body of an endpoint.
        body: Option<Content>,
    },
    /// The calling daemon closed the attempt's connection.
    AttemptCancelled(AttemptId),
    /// A daemon asks the ledger; repeated until it is answered.
    AskLedger {
        /// The attempt on whose behalf.
        attempt: AttemptId,
        /// What is asked.
        request: LedgerRequest,
    },
    /// The ledger's answer.
    LedgerAnswer {
        /// The attempt on whose behalf was asked.
        attempt: AttemptId,
        /// The operation.
        key: OperationKey,
        /// Answer to a claim, or none for what only had to be recorded.
        answer: Option<ClaimAnswer>,
    },
    /// Between control replicas.
    Peer(Box<PeerEnvelope>),
    /// To a control replica.
    ControlRequest(Box<ControlRequest>),
    /// Of a control replica.
    ControlReply(Box<ControlReply>),
}

/// A message between control replicas with what the connection began with.
#[derive(Clone, Debug)]
pub struct PeerEnvelope {
    /// Who speaks to whom.
    pub hello: Hello,
    /// The message.
    pub message: PeerMessage,
}

impl Message {
    /// Whether the network may lose it, deliver it twice or out of order. Requests can't come
    /// twice, since they are bound to connections; their answers are tried on purpose.
    pub fn is_disorderly(&self) -> bool {
        !matches!(
            self,
            Self::Request(_) | Self::Answer(_) | Self::Attempt { .. } | Self::DirectCall { .. }
        )
    }
}

/// What timers bring back.
#[derive(Clone, Debug)]
pub enum Timer {
    /// The endpoint did a part of its work.
    Work(RunKey),
    /// The engine may have something to do.
    Tick,
    /// The endpoint's load is to be asked.
    Report,
    /// The connection for an attempt is open.
    Connected(AttemptId),
    /// Unanswered ledger requests are to be repeated.
    RepeatLedger,
    /// The connection for a direct call is open.
    DirectConnected(OutCallKey, u32),
    /// A try of a direct call is given up.
    DirectTimeout(OutCallKey, u32),
    /// A new request of the callers may be due.
    Arrival,
    /// A caller sends again.
    Resend(u64),
    /// A caller gives a send up.
    GiveUp(SendId),
    /// The ledger answers.
    LedgerReady(u64),
    /// A control replica may have something to do.
    Replica,
    /// A planned stop is complete, and late requests had time to be refused.
    Lingered,
    /// A refusal that an unsafe double held back is given.
    Parked(u64),
}
