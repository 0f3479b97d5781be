//! What the control domain records; all that the checkers know.

use super::scenario::FaultKind;
use crate::kernel::ProcessId;
use bramblewheel_protocol::control::PublishReply;
use bramblewheel_types::{BundleDigest, BundleVersion};

/// A bundle by its names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BundleName {
    /// Version.
    pub version: BundleVersion,
    /// Digest.
    pub digest: BundleDigest,
}

/// Something that happened in the control domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ControlRecord {
    /// The operators made the group.
    Bootstrapped,
    /// An operator sent a bundle to a replica.
    PublishSent {
        /// The bundle.
        bundle: BundleName,
        /// The replica asked.
        via: ProcessId,
    },
    /// An operator got a final answer.
    PublishAnswered {
        /// The bundle.
        bundle: BundleName,
        /// The replica that answered.
        via: ProcessId,
        /// The answer.
        answer: PublishAnswer,
    },
    /// An answer to an operator was lost on its way.
    AnswerLost {
        /// The bundle.
        bundle: BundleName,
    },
    /// A replica opened its data folder.
    ReplicaOpened {
        /// Its identity.
        identity: u64,
    },
    /// A replica can't use its data folder and stays down until it is replaced.
    ReplicaUnusable {
        /// What it says.
        reason: String,
    },
    /// A process stops because of its disk, and is started again.
    StorageFailed {
        /// What it says.
        reason: String,
    },
    /// A replica leads.
    Leading {
        /// Its identity.
        identity: u64,
        /// Term.
        term: u64,
    },
    /// A replica gave its vote to another.
    VoteGiven {
        /// Its identity.
        identity: u64,
        /// Term.
        term: u64,
    },
    /// A replica told a leader for the first time since its start that it has synced entries.
    Acknowledged {
        /// Its identity.
        identity: u64,
    },
    /// A replica's state has another bundle in force.
    ReplicaInForce {
        /// The bundle.
        bundle: BundleName,
        /// Last entry applied.
        index: u64,
    },
    /// A daemon started; what it found on its disk is in force.
    DaemonOpened {
        /// The bundle, if there was one.
        bundle: Option<BundleName>,
    },
    /// A daemon without a bundle asks for one.
    DaemonAsksAnew,
    /// A daemon put a bundle in force.
    DaemonInForce {
        /// The bundle.
        bundle: BundleName,
    },
    /// A daemon took over an answer.
    DaemonSeen {
        /// Position of the answer.
        index: u64,
    },
    /// A daemon refused an answer and left the replica.
    DaemonRefused {
        /// Why.
        reason: String,
    },
    /// Operators began to replace a lost replica.
    RepairBegun {
        /// Identity lost.
        lost: u64,
    },
    /// The group said that the replacement is finished.
    RepairDone {
        /// Identity lost.
        lost: u64,
        /// Identity that took its place.
        replacement: u64,
    },
    /// A fault began.
    Fault(FaultRecord),
    /// A fault ended.
    FaultEnded(FaultKind),
    /// The state kept under an identity is gone for good.
    IdentityLost {
        /// The identity.
        identity: u64,
    },
    /// All faults are over.
    Healed,
    /// The operators send every accepted bundle once more.
    AuditBegun,
    /// The load and the audit are over; what an operator still waits for stays open.
    Ended {
        /// Publishes without a final answer.
        open_publishes: u64,
    },
}

/// A fault that began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FaultRecord {
    /// What fails.
    pub kind: FaultKind,
    /// The machines concerned.
    pub processes: Vec<ProcessId>,
}

/// Final answer to a publish.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PublishAnswer {
    /// Accepted, now or earlier.
    Accepted,
    /// Another bundle holds the version.
    Conflict(BundleDigest),
    /// A newer version is in force.
    Outdated(BundleVersion),
    /// Refused for another reason, which a right load never gives.
    Refused(String),
}

impl From<PublishReply> for PublishAnswer {
    fn from(reply: PublishReply) -> Self {
        match reply {
            PublishReply::Accepted { .. } => Self::Accepted,
            PublishReply::Conflict { winner } => Self::Conflict(winner),
            PublishReply::Outdated { current } => Self::Outdated(current),
            other => Self::Refused(format!("{other:?}")),
        }
    }
}
