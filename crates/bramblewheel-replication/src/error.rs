//! Why a replica refuses a request.

use crate::types::{LogIndex, ReplicaId};
use thiserror::Error;

/// Only a leader that is not handing over can do this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not the leader")]
pub struct NotLeader {
    /// The replica to ask instead, if known.
    pub leader: Option<ReplicaId>,
}

/// A membership change is refused; nothing was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// Only a leader can change the membership.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader has not committed an entry of its own term yet")]
    NotReady,
    /// The change before this one is not committed yet.
    #[error("another membership change is not committed yet")]
    ChangeInProgress,
    /// The replica is already a member.
    #[error("replica {} is already a member", .0.0)]
    AlreadyMember(ReplicaId),
    /// The replica is not a member, or not a learner where a learner is promoted.
    #[error("replica {} is not such a member", .0.0)]
    UnknownReplica(ReplicaId),
    /// The learner has not synced the whole log yet.
    #[error("learner {} has synced {} of {} entries", replica.0, synced.0, wanted.0)]
    NotCaughtUp {
        /// The learner.
        replica: ReplicaId,
        /// Last entry it is known to have synced.
        synced: LogIndex,
        /// Entry it must reach.
        wanted: LogIndex,
    },
    /// The last voter can't be removed.
    #[error("the last voter can't be removed")]
    LastVoter,
}

/// Leadership can't be handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TransferError {
    /// There is nothing to hand over.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// No other voter has answered lately.
    #[error("no other voter has answered lately")]
    NoTarget,
}

/// The log can't be compacted at this index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CompactError {
    /// The entry was not handed out as committed or is not synced yet.
    #[error("entry {} is not applied and synced; {} is", index.0, limit.0)]
    NotApplied {
        /// Index asked for.
        index: LogIndex,
        /// Highest index allowed now.
        limit: LogIndex,
    },
    /// A snapshot at or above this index is there already.
    #[error("a snapshot at entry {} is there already", .0.0)]
    AlreadyCompacted(LogIndex),
}
