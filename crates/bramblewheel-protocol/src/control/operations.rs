//! Run-once operations: requests of daemons to the ledger, and its answers.

use bramblewheel_types::OperationKey;
use serde::{Deserialize, Serialize};

/// Request about one run-once operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationRequest {
    /// Operation key.
    pub key: OperationKey,
    /// Incarnation of the requesting daemon, from its registration.
    pub incarnation: u64,
    /// Attempt that the request is for; unique within the incarnation.
    pub attempt: u64,
    /// Action requested.
    pub action: OperationAction,
}

/// Action requested of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationAction {
    /// Claim the operation for this incarnation's attempt.
    Claim {
        /// When the key was minted, in milliseconds since the Unix epoch.
        minted_at_unix_millis: u64,
    },
    /// Record the endpoint's answer.
    Complete(OperationAnswer),
    /// Release the claim, because the attempt was provably not dispatched.
    Release,
    /// Read the state without changing it.
    Status,
}

/// Answer of a run-once operation as the ledger stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationAnswer {
    /// Whether the endpoint reported an error.
    pub failed: bool,
    /// HTTP status.
    pub status: u16,
    /// Body, if short enough to be kept.
    pub body: Option<serde_bytes::ByteBuf>,
}

/// Answer of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationReply {
    /// The claim is durable at a quorum and belongs to the requesting attempt.
    Granted,
    /// The operation has completed with this answer.
    Completed(OperationAnswer),
    /// Another attempt holds the claim; its result is not known yet.
    Held,
    /// The key is older than the retention horizon.
    Expired,
    /// The answer or the release is recorded.
    Recorded,
    /// No such operation is recorded.
    Absent,
    /// No decision was possible; whether the claim was recorded is not known.
    Undecided,
}
