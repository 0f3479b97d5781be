//! What the history of a request simulation holds: what endpoints ran, what callers were told,
//! and what was seen on the wire between daemons.

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
        /// The person on whose behalf; all sends of one person ask for the same.
        person: u64,
        /// Where to.
        to: ProcessId,
        /// Kind of request.
        flow: FlowIndex,
        /// Name of the caller.
        caller: String,
        /// Whether it belongs to a session.
        in_session: bool,
        /// The original request.
        request: RequestId,
        /// Number of the send under this id, from 0.
        resend: u32,
        /// Set when the request must not run twice.
        operation: Option<OperationKey>,
        /// Whether the token of a session comes with it.
        has_token: bool,
    },
    /// An endpoint began to run a request.
    Ran {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// This run.
        run: RunId,
        /// What was asked for.
        content: Content,
        /// The original request.
        request: RequestId,
        /// The attempt.
        attempt: u64,
        /// Set when the request must not run twice.
        operation: Option<OperationKey>,
    },
    /// An endpoint ended a run by itself.
    Ended {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The run.
        run: RunId,
        /// Whether it succeeded.
        is_success: bool,
    },
    /// A run was stopped because nobody waited for it any more.
    Stopped {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The run.
        run: RunId,
    },
    /// A caller was told how its send ended.
    Told {
        /// This send.
        send: SendId,
        /// The original request.
        request: RequestId,
        /// Number of the send under this id.
        resend: u32,
        /// Set when the request must not run twice.
        operation: Option<OperationKey>,
        /// What it was told.
        outcome: Outcome,
        /// What the answer is an answer to, if it has a body of an endpoint.
        answered: Option<Content>,
    },
    /// A send that had been answered was answered again.
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
        /// Number of the send under this id.
        resend: u32,
        /// Set when the request must not run twice.
        operation: Option<OperationKey>,
    },
    /// A caller that holds a session was told that there is none.
    SessionRefused {
        /// The send.
        send: SendId,
    },
    /// An endpoint was told how its sub-call ended.
    SubCallTold {
        /// The run that made the sub-call.
        run: RunId,
        /// Position among the sub-calls of the run.
        position: u32,
        /// What it was told.
        outcome: Outcome,
        /// What the answer is an answer to, if it has a body of an endpoint.
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
        /// Its class.
        criticality: Criticality,
        /// Whether its root belongs to a session.
        in_session: bool,
    },
    /// On the wire: a daemon asked for the claim of an attempt, with a slot in hand.
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
        /// What it answered.
        outcome: Outcome,
    },
    /// On the wire: the calling daemon took an attempt back.
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
