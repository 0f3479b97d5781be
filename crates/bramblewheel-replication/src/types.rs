//! Values of the replicated log and the inputs and outputs of a [`Replica`](crate::Replica).

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Identity of one replica, drawn at random when its data folder is created.
///
/// A replica that lost its folder restarts under a new identity, so that a vote or an entry it lost
/// is never counted for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

/// Election term; each has at most one leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// Position of an entry in the log; the first entry has index 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Index in the log.
    pub index: LogIndex,
    /// Content.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content; a new leader commits an empty entry to determine the commit index.
    Empty,
    /// A command of the replicated state machine.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A new membership, in force from the moment it is appended.
    Membership(Membership),
}

/// Voters and learners of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas whose votes and acknowledgements make a quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log and don't count for a quorum.
    pub learners: BTreeSet<ReplicaId>,
    /// Description of each member (addresses), opaque to this crate.
    pub descriptions: BTreeMap<ReplicaId, serde_bytes::ByteBuf>,
}

/// Term and vote; synced before any message that depends on them is sent, as the log is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Candidate voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// State of the state machine at one index; replaces the entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry covered.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that entry.
    pub membership: Membership,
    /// Encoded state of the replicated state machine.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// State that a replica had synced when it stopped; read by the storage crate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// Identifies a proposal, to report its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// Identifies a read, to report its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// Changes that must be synced to disk before the messages of the same [`Output`] are sent.
///
/// Applied in field order. `Storage::write` of the storage crate takes this type.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Snapshot received from the leader; replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Index from which entries are removed before appending.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// Term and vote, if changed.
    pub hard_state: Option<HardState>,
}

impl Write {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl RestoredState {
    /// Initial state of a first voter of a new group: the membership as a snapshot at index 1.
    pub fn bootstrap(membership: Membership) -> Self {
        let term = Term(1);
        let snapshot = Snapshot {
            index: LogIndex(1),
            term,
            membership,
            data: Vec::new(),
        };
        let hard_state = HardState {
            term,
            voted_for: None,
        };
        Self {
            hard_state,
            snapshot: Some(snapshot),
            entries: Vec::new(),
        }
    }
}
