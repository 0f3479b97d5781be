//! What a node decided or learned about its group, for the driver's log.

use super::member_contact::MemberContact;
use super::usage_events::MissingUsage;
use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_replication::{FailedElection, LogIndex, ReplicaId, Term, VoteRefusal};
use std::fmt;
use std::time::Duration;

/// A decision of a node, or a change of what it knows about its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeEvent {
    /// A committed entry changed the membership.
    MemberChanged {
        /// The member.
        replica: ReplicaId,
        /// What became of it.
        change: MemberChange,
        /// Term of the entry.
        term: Term,
        /// Index of the entry.
        index: LogIndex,
    },
    /// A committed entry began a replacement or changed the one in progress.
    ReplacementBegun {
        /// Replicas to be removed.
        lost: Vec<ReplicaId>,
        /// Replica that replaces them.
        new: ReplicaAddress,
        /// New replica of the replacement that this one continues, if any.
        instead_of: Option<ReplicaId>,
        /// Index of the entry.
        index: LogIndex,
    },
    /// A committed entry ended the replacement in progress.
    ReplacementEnded {
        /// The new replica.
        new: ReplicaId,
        /// Index of the entry.
        index: LogIndex,
    },
    /// The leader proposes to begin a replacement, or to change the one in progress.
    ReplacementProposed {
        /// Replica to be removed; `None` if the replacement only adds one.
        lost: Option<ReplicaId>,
        /// Replica that replaces it.
        new: ReplicaAddress,
        /// Why.
        reason: ReplacementReason,
    },
    /// The replacement in progress can't take its next step yet.
    ReplacementWaits {
        /// The new replica.
        new: ReplicaId,
        /// Why.
        reason: WaitReason,
    },
    /// The leader proposes to end the replacement in progress before it is complete, because its new replica is
    /// silent and another voter can be replaced.
    ReplacementGivenUp {
        /// The new replica.
        new: ReplicaId,
    },
    /// The leader does not use the offer of a spare.
    OfferIgnored {
        /// The spare.
        replica: ReplicaId,
        /// Why.
        reason: IgnoredOffer,
    },
    /// This replica refused its vote to another one.
    VoteRefused {
        /// The vote, and why it was refused.
        refusal: VoteRefusal,
        /// Refusals to the same candidate without an event since the last one.
        without_line: u64,
    },
    /// An election of this replica timed out without the votes of a quorum.
    ElectionWithoutQuorum {
        /// Who granted, who refused and who was silent.
        election: FailedElection,
        /// Such elections without an event since the last one.
        without_line: u64,
    },
    /// Contact with a quorum is no longer proven within the lease.
    QuorumLost {
        /// Term of this replica.
        term: Term,
        /// Leader of the term, if known.
        leader: Option<ReplicaId>,
        /// Members of the group, and when they were heard.
        members: Vec<MemberContact>,
    },
    /// Contact with a quorum is proven again, or for the first time.
    QuorumRegained {
        /// Time since the event that it was lost, or since the start.
        after: Duration,
        /// Requests refused since the last event that counts them.
        refused: u64,
        /// Term of this replica.
        term: Term,
        /// Leader of the term, if known.
        leader: Option<ReplicaId>,
    },
    /// The disk is full: nothing is stored, acknowledged or voted for until it has space.
    DiskFull {
        /// The operation that failed, with its file.
        error: String,
        /// Time since the first failed attempt.
        since: Duration,
        /// Failed attempts since then.
        attempts: u64,
    },
    /// The disk has space again, and everything is synced.
    DiskHasSpace {
        /// Time since the first failed attempt.
        after: Duration,
        /// Attempts that failed.
        attempts: u64,
    },
    /// The sums of the requests admitted for tenants lack contributions.
    UsageIncomplete {
        /// Some of those that are missing.
        missing: Vec<MissingUsage>,
        /// How many are missing.
        count: usize,
    },
    /// These sums lack nothing any more.
    UsageComplete {
        /// Time since the event that they were incomplete.
        after: Duration,
    },
    /// Reads or changes were refused because there was no quorum.
    RequestsRefused {
        /// How many since the last event that counts them.
        refused: u64,
        /// Term of this replica.
        term: Term,
        /// Leader of the term, if known.
        leader: Option<ReplicaId>,
        /// Members of the group, and when they were heard.
        members: Vec<MemberContact>,
    },
}

/// How a member changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// It became a learner.
    LearnerAdded,
    /// It became a voter.
    VoterAdded,
    /// It is no longer a member.
    Removed,
}

/// Why a leader replaces or adds a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplacementReason {
    /// The machine of a voter returned without its disk.
    VoterReset,
    /// The group has too few voters.
    VoterMissing,
    /// A voter was silent for too long.
    VoterSilent,
    /// The machine of the new replica of the replacement in progress returned without its data.
    NewReplicaReset,
    /// The new replica of the replacement in progress was silent for too long.
    NewReplicaSilent,
    /// The new replica was silent for too long, and the voter to be removed answers again.
    LostReplicaReturned,
}

/// Why a replacement waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// A membership change is not committed yet.
    MembershipChangePending,
    /// The new replica has not synced enough of the log.
    NotCaughtUp {
        /// Last entry that it has synced.
        synced: LogIndex,
        /// Last entry that is committed.
        committed: LogIndex,
    },
    /// The leader is to be removed and no other voter can take over.
    NoSuccessor,
    /// The new replica has not synced its promotion.
    PromotionNotSynced,
}

/// Why an offer is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IgnoredOffer {
    /// It was made to another group.
    OtherGroup,
    /// It was made before the latest change of the members or of the replacement in progress, or before a
    /// later offer from the same address. The spare may have lost its data since.
    Outdated {
        /// Last entry that the offer includes.
        includes: LogIndex,
        /// Entry that it must include.
        required: LogIndex,
    },
    /// The member at the spare's address answers.
    MemberAnswers(ReplicaId),
}

impl fmt::Display for MemberChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::LearnerAdded => "learner_added",
            Self::VoterAdded => "voter_added",
            Self::Removed => "removed",
        })
    }
}

impl fmt::Display for ReplacementReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::VoterReset => "voter_reset",
            Self::VoterMissing => "voter_missing",
            Self::VoterSilent => "voter_silent",
            Self::NewReplicaReset => "new_replica_reset",
            Self::NewReplicaSilent => "new_replica_silent",
            Self::LostReplicaReturned => "lost_replica_returned",
        })
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MembershipChangePending => formatter.write_str("membership_change_pending"),
            Self::NotCaughtUp { synced, committed } => {
                let (synced, committed) = (synced.0, committed.0);
                write!(formatter, "not_caught_up:{synced}_of_{committed}")
            }
            Self::NoSuccessor => formatter.write_str("no_successor"),
            Self::PromotionNotSynced => formatter.write_str("promotion_not_synced"),
        }
    }
}

impl fmt::Display for IgnoredOffer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OtherGroup => formatter.write_str("other_group"),
            Self::Outdated { includes, required } => {
                write!(formatter, "outdated:{}_of_{}", includes.0, required.0)
            }
            Self::MemberAnswers(member) => write!(formatter, "member_answers:{:016x}", member.0),
        }
    }
}
