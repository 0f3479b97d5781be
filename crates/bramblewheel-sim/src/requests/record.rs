//! Facts in the history of a request simulation: runs at endpoints, answers to callers, and traffic
//! between daemons.

use super::content::{Content, RunId};
use super::faults::FaultRecord;
use super::message::SendId;
use super::topology::{EndpointIndex, FlowIndex};
use crate::kernel::ProcessId;
use bramblewheel_types::{AttemptId, Criticality, OperationKey, Outcome, RequestId};

/// One fact.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    /// A caller sent a request.
    Sent {
        /// This send.
        send: SendId,
        /// The person that sends; all sends of one person ask for the same content.
        person: u64,
        /// Destination.
        to: ProcessId,
        /// Flow of the request.
        flow: FlowIndex,
        /// Name of the caller.
        caller: String,
        /// Whether the request belongs to a session.
        in_session: bool,
        /// The original request.
        request: RequestId,
        /// Number of resends so far under this id.
        resend: u32,
        /// Set if the request must not run twice.
        operation: Option<OperationKey>,
        /// Whether the send carries a session token.
        has_token: bool,
    },
    /// An endpoint began to run a request.
    Ran {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// This run.
        run: RunId,
        /// Content of the request.
        content: Content,
        /// The original request.
        request: RequestId,
        /// The attempt.
        attempt: u64,
        /// Set if the request must not run twice.
        operation: Option<OperationKey>,
    },
    /// A run ended on its own.
    Ended {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The run.
        run: RunId,
        /// Whether it succeeded.
        is_success: bool,
    },
    /// A run was cancelled because no caller waits for it any more.
    Stopped {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The run.
        run: RunId,
    },
    /// A caller received the answer to a send.
    Told {
        /// This send.
        send: SendId,
        /// The original request.
        request: RequestId,
        /// Number of resends so far under this id.
        resend: u32,
        /// Set if the request must not run twice.
        operation: Option<OperationKey>,
        /// Outcome in the answer.
        outcome: Outcome,
        /// Content that the answer belongs to, if its body comes from an endpoint.
        answered: Option<Content>,
    },
    /// An answered send was answered again.
    ToldAgain {
        /// The send.
        send: SendId,
    },
    /// A caller could not open a connection.
    NotReached {
        /// The send.
        send: SendId,
    },
    /// A caller stopped waiting for a send.
    GaveUp {
        /// This send.
        send: SendId,
        /// The original request.
        request: RequestId,
        /// Number of resends so far under this id.
        resend: u32,
        /// Set if the request must not run twice.
        operation: Option<OperationKey>,
    },
    /// The session token of a send was refused.
    SessionRefused {
        /// The send.
        send: SendId,
    },
    /// An endpoint received the answer to a sub-call.
    SubCallTold {
        /// The run that made the sub-call.
        run: RunId,
        /// Position among the sub-calls of the run.
        position: u32,
        /// Outcome in the answer.
        outcome: Outcome,
        /// Content that the answer belongs to, if its body comes from an endpoint.
        answered: Option<Content>,
    },
    /// On the wire: an attempt reached the daemon of an endpoint.
    Offered {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The attempt.
        attempt: AttemptId,
        /// The original request.
        request: RequestId,
        /// Class of the request.
        criticality: Criticality,
        /// Whether the root request belongs to a session.
        in_session: bool,
    },
    /// On the wire: a daemon requested the claim of an attempt, with a slot reserved for it.
    Claimed {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The attempt.
        attempt: AttemptId,
    },
    /// On the wire: a daemon passed an attempt on to its endpoint.
    Dispatched {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The attempt.
        attempt: AttemptId,
    },
    /// On the wire: the daemon of an endpoint answered an attempt.
    Replied {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The attempt.
        attempt: AttemptId,
        /// Outcome in the answer.
        outcome: Outcome,
    },
    /// On the wire: the calling daemon cancelled an attempt.
    Withdrawn {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The attempt.
        attempt: AttemptId,
    },
    /// On the wire: no connection could be opened for an attempt.
    ConnectionRefused {
        /// The original request.
        request: RequestId,
    },
    /// A fault began or ended.
    Fault(FaultRecord),
}
