//! Outputs of the [`Engine`](crate::engine::Engine): what the daemon has to do.

use crate::context::CallContext;
use crate::event::{Feedback, LedgerRequest, StoredAnswer};
use bramblewheel_types::{AttemptId, CallId, EndpointId, Outcome};
use std::net::SocketAddr;

/// One output of the engine; the driver carries them out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the call's request to another endpoint's daemon.
    SendAttempt {
        /// The call whose request body is sent.
        call: CallId,
        /// The selected endpoint.
        endpoint: EndpointId,
        /// Address of its daemon.
        address: SocketAddr,
        /// Context for the headers; contains the attempt id and the deadline.
        context: CallContext,
    },
    /// Close the attempt's connection; its answer is no longer needed.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send the application its final answer immediately.
    AnswerCall {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Forward the attempt's request to the local endpoint.
    Dispatch {
        /// The attempt; its context came with the inbound call.
        attempt: AttemptId,
    },
    /// Close the connection to the local endpoint on which the attempt runs.
    CancelDispatch {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer an inbound attempt immediately.
    AnswerAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: Answer,
        /// Feedback for the calling daemon.
        feedback: Feedback,
    },
    /// Send a request to the ledger; the answer to a claim is returned as `ClaimAnswered`.
    Ledger {
        /// The attempt for which the request is made.
        attempt: AttemptId,
        /// The request.
        request: LedgerRequest,
    },
    /// The drain is complete: no call is in progress and the process may exit.
    Drained,
}

/// A final answer and the source of its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Outcome reported to the caller.
    pub outcome: Outcome,
    /// Source of the status and body.
    pub body: AnswerBody,
}

/// Source of the status and body of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerBody {
    /// The complete answer that the driver received for this attempt, from another daemon or
    /// from the local endpoint.
    FromAttempt(AttemptId),
    /// The stored answer of a run-once operation.
    Stored(StoredAnswer),
    /// No body: the driver writes a short explanation of the outcome.
    None,
}
