//! What a daemon must do: the outputs of the [`Engine`](crate::engine::Engine).

use crate::context::CallContext;
use crate::event::{Feedback, LedgerRequest, StoredAnswer};
use bramblewheel_types::{AttemptId, CallId, EndpointId, Outcome};
use std::net::SocketAddr;

/// One output of the engine; the shell carries them out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the call's request to another endpoint's daemon.
    SendAttempt {
        /// The call whose request body is sent.
        call: CallId,
        /// Endpoint chosen.
        endpoint: EndpointId,
        /// Address of its daemon.
        address: SocketAddr,
        /// Context to put into the headers; holds the attempt id and the deadline.
        context: CallContext,
    },
    /// Close the attempt's connection; its answer is not wanted any more.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give the application its final answer, at once.
    AnswerCall {
        /// The call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Pass the attempt's request to the local endpoint.
    Dispatch {
        /// The attempt; its context was given with the inbound call.
        attempt: AttemptId,
    },
    /// Close the connection to the local endpoint on which the attempt runs.
    CancelDispatch {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answer an inbound attempt, at once.
    AnswerAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        answer: Answer,
        /// News for the calling daemon.
        feedback: Feedback,
    },
    /// Ask the ledger; the answer to a claim comes back as `ClaimAnswered`.
    Ledger {
        /// The attempt on whose behalf the ledger is asked.
        attempt: AttemptId,
        /// The request.
        request: LedgerRequest,
    },
    /// The drain is complete: no call is in progress and the process may end.
    Drained,
}

/// A final answer and where its body comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// What the caller is told.
    pub outcome: Outcome,
    /// Where status and body come from.
    pub body: AnswerBody,
}

/// Where the status and body of an answer come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerBody {
    /// The whole answer that the shell received for this attempt (from another daemon, or from
    /// the local endpoint).
    FromAttempt(AttemptId),
    /// The stored answer of a run-once operation.
    Stored(StoredAnswer),
    /// None: the shell writes a short explanation of the outcome.
    None,
}
