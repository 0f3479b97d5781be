//! Values of the replicated log and the inputs and outputs of a [`Replica`](crate::Replica).

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Identity of one replica, drawn at random when its data folder is made.
///
/// A replica that lost its folder comes back under a new identity, so a lost vote or a lost
/// entry can never be counted twice.
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
    /// Term of the leader that made it.
    pub term: Term,
    /// Position.
    pub index: LogIndex,
    /// Content.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader commits one to learn what is committed.
    Empty,
    /// A command of the state machine above.
    Command(#[serde(with = "serde_bytes")] Vec<u8>),
    /// A new membership, in force from the moment it is appended.
    Membership(Membership),
}

/// Who votes and who only receives the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas whose votes and acknowledgements make a quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log and are not counted.
    pub learners: BTreeSet<ReplicaId>,
    /// Opaque description of each member (addresses), for the shell.
    pub descriptions: BTreeMap<ReplicaId, serde_bytes::ByteBuf>,
}

/// What must be synced besides the log before any message that depends on it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Current term.
    pub term: Term,
    /// Candidate voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// State of the state machine at one index, in place of the entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry covered.
    pub index: LogIndex,
    /// Its term.
    pub term: Term,
    /// Membership at that entry.
    pub membership: Membership,
    /// State of the state machine above.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// What a replica had synced when it stopped; read back by the storage crate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

/// Names a proposal so that its fate can be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// Names a read so that its answer can be matched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// What must be on disk, synced, before the messages of the same [`Output`] are sent.
///
/// Apply in field order. `Storage::write` of the storage crate takes one of these.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Snapshot received from the leader: replaces the whole log.
    pub snapshot: Option<Snapshot>,
    /// Remove entries from this index on before appending.
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
    /// State of a first voter of a new group: the membership as a snapshot at index 1.
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
