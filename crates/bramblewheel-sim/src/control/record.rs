//! Records of the control domain; the only input of the checkers.

use super::scenario::FaultKind;
use crate::kernel::ProcessId;
use bramblewheel_protocol::control::PublishReply;
use bramblewheel_types::{BundleDigest, BundleVersion};

/// Version and digest that identify a bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BundleName {
    /// Version.
    pub version: BundleVersion,
    /// Digest.
    pub digest: BundleDigest,
}

/// An event of the control domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ControlRecord {
    /// The operators bootstrapped the group.
    Bootstrapped,
    /// An operator sent a bundle to a replica.
    PublishSent {
        /// The bundle.
        bundle: BundleName,
        /// The replica that the bundle was sent to.
        via: ProcessId,
    },
    /// An operator received the final answer to a publish.
    PublishAnswered {
        /// The bundle.
        bundle: BundleName,
        /// The replica that answered.
        via: ProcessId,
        /// The answer.
        answer: PublishAnswer,
    },
    /// An answer to an operator was lost on the network.
    AnswerLost {
        /// The bundle.
        bundle: BundleName,
    },
    /// A replica opened its data folder.
    ReplicaOpened {
        /// Identity of the replica.
        identity: u64,
    },
    /// A replica can't use its data folder and stays down until it is replaced.
    ReplicaUnusable {
        /// Error message of the storage.
        reason: String,
    },
    /// A process failed because of its disk: a replica exits and is restarted, a daemon is restarted or polls again.
    StorageFailed {
        /// Error message of the storage.
        reason: String,
    },
    /// A replica became leader.
    Leading {
        /// Identity of the replica.
        identity: u64,
        /// Term.
        term: u64,
    },
    /// A replica voted for another replica.
    VoteGiven {
        /// Identity of the replica.
        identity: u64,
        /// Term.
        term: u64,
    },
    /// A replica acknowledged synced entries to a leader for the first time since its start.
    Acknowledged {
        /// Identity of the replica.
        identity: u64,
    },
    /// The bundle in force changed in the state of a replica.
    ReplicaInForce {
        /// The bundle.
        bundle: BundleName,
        /// Index of the last applied log entry.
        index: u64,
    },
    /// A daemon started and put the bundle from its disk in force.
    DaemonOpened {
        /// The bundle, if the disk had one.
        bundle: Option<BundleName>,
    },
    /// A daemon without a bundle polls for one.
    DaemonAsksAnew,
    /// A daemon put a bundle in force.
    DaemonInForce {
        /// The bundle.
        bundle: BundleName,
    },
    /// A daemon accepted a poll reply with a new position.
    DaemonSeen {
        /// Log position of the reply.
        index: u64,
    },
    /// A daemon refused a poll reply and switched to another replica.
    DaemonRefused {
        /// Reason of the refusal.
        reason: String,
    },
    /// Operators began to replace a lost replica.
    RepairBegun {
        /// The lost identity.
        lost: u64,
    },
    /// The group reported that the replacement is finished.
    RepairDone {
        /// The lost identity.
        lost: u64,
        /// Identity of the replacement.
        replacement: u64,
    },
    /// A fault began.
    Fault(FaultRecord),
    /// A fault ended.
    FaultEnded(FaultKind),
    /// The state kept under an identity was lost permanently.
    IdentityLost {
        /// The identity.
        identity: u64,
    },
    /// All faults have ended.
    Healed,
    /// The operators began to publish every accepted bundle again.
    AuditBegun,
    /// Load and audit have ended; publishes that are still unanswered stay so.
    Ended {
        /// Number of publishes without a final answer.
        open_publishes: u64,
    },
}

/// A fault that began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FaultRecord {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Affected machines.
    pub processes: Vec<ProcessId>,
}

/// Final answer to a publish.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PublishAnswer {
    /// Accepted, now or earlier.
    Accepted,
    /// Another bundle was accepted with this version.
    Conflict(BundleDigest),
    /// A newer version is in force.
    Outdated(BundleVersion),
    /// Refused for another reason, which the simulated load never causes.
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
