//! What the processes of a request simulation send each other, and their timers.

use super::endpoint::{RunKey, RunRequest};
use super::layer::direct::OutCallKey;
use super::topology::{FlowIndex, RouteIndex};
use bramblewheel_core::context::{CallContext, Operation};
use bramblewheel_core::event::{ClaimAnswer, Feedback, LedgerRequest};
use bramblewheel_types::{AttemptId, OperationKey, Outcome, RequestId};
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
    /// Whether a valid session token comes with it.
    pub in_session: bool,
    /// Present when the request must not run twice.
    pub operation: Option<Operation>,
}

/// What processes send each other.
#[derive(Clone, Debug)]
pub enum Message {
    /// A caller's request.
    Request(Box<RootRequest>),
    /// The caller closed its connection.
    GiveUp(SendId),
    /// The answer to a caller.
    Answer(SendId, Outcome),
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
        /// Whether it succeeded.
        is_success: bool,
    },
    /// A daemon hands an attempt to another; the deadline crosses as remaining time.
    Attempt {
        /// The context; its deadline is on the sender's clock and not to be used.
        context: Box<CallContext>,
        /// Time until the deadline.
        remaining: Duration,
    },
    /// The answer to an attempt.
    AttemptAnswer {
        /// The attempt.
        attempt: AttemptId,
        /// Its outcome.
        outcome: Outcome,
        /// News of the called daemon.
        feedback: Feedback,
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
}
