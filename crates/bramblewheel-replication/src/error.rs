//! Errors of requests to a replica.

use crate::types::{LogIndex, ReplicaId};
use thiserror::Error;

/// The replica is not the leader, or is transferring leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not the leader")]
pub struct NotLeader {
    /// The replica to ask instead, if known.
    pub leader: Option<ReplicaId>,
}

/// Why a membership change was refused; nothing was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// Only a leader can change the membership.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader has not committed an entry of its own term yet")]
    NotReady,
    /// The previous change is not committed yet.
    #[error("another membership change is not committed yet")]
    ChangeInProgress,
    /// The replica is already a member.
    #[error("replica {} is already a member", .0.0)]
    AlreadyMember(ReplicaId),
    /// The replica is not a member, or is to be promoted but not a learner.
    #[error("replica {} is not a member of the required kind", .0.0)]
    UnknownReplica(ReplicaId),
    /// The learner has not synced the whole log yet.
    #[error("learner {} has synced {} of {} entries", replica.0, synced.0, wanted.0)]
    NotCaughtUp {
        /// The learner.
        replica: ReplicaId,
        /// Last entry that it is known to have synced.
        synced: LogIndex,
        /// Last entry that it must have synced.
        wanted: LogIndex,
    },
    /// The last voter can't be removed.
    #[error("the last voter can't be removed")]
    LastVoter,
}

/// Why leadership can't be transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TransferError {
    /// The replica is not the leader, or is transferring leadership already.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// No other voter has answered within the election time-out.
    #[error("no other voter has answered within the election time-out")]
    NoTarget,
}

/// Why the log can't be compacted at an index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CompactError {
    /// The entry was not handed out as committed or is not synced yet.
    #[error("entry {} is not applied and synced yet; the last such entry is {}", index.0, limit.0)]
    NotApplied {
        /// Index requested.
        index: LogIndex,
        /// Highest index allowed now.
        limit: LogIndex,
    },
    /// A snapshot at or above this index exists already.
    #[error("a snapshot at entry {} exists already", .0.0)]
    AlreadyCompacted(LogIndex),
}
