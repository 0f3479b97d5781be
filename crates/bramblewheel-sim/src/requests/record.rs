//! What the history of a request simulation holds: what endpoints ran and what callers were told.

use super::topology::EndpointIndex;
use bramblewheel_types::{OperationKey, Outcome, RequestId};

/// One fact.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Record {
    /// A caller sent a request.
    Sent {
        /// The original request.
        request: RequestId,
        /// Number of the send under this id, from 0.
        resend: u32,
        /// Set when the request must not run twice.
        operation: Option<OperationKey>,
    },
    /// An endpoint began to run a request.
    Ran {
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The original request.
        request: RequestId,
        /// The attempt.
        attempt: u64,
        /// Set when the request must not run twice.
        operation: Option<OperationKey>,
    },
    /// A caller was told how its send ended.
    Told {
        /// The original request.
        request: RequestId,
        /// Number of the send under this id.
        resend: u32,
        /// Set when the request must not run twice.
        operation: Option<OperationKey>,
        /// What it was told.
        outcome: Outcome,
    },
    /// A caller stopped waiting for a send.
    GaveUp {
        /// The original request.
        request: RequestId,
        /// Number of the send under this id.
        resend: u32,
        /// Set when the request must not run twice.
        operation: Option<OperationKey>,
    },
}
