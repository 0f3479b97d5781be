//! What a replica asks its driver to do.

use crate::message::Message;
use crate::types::{Entry, LogIndex, ProposalId, ReadId, ReplicaId, Snapshot, Term, Write};

/// What the driver must do, in this order: sync `write`, call
/// [`persisted`](crate::Replica::persisted), send `messages`, install the snapshot, apply
/// `committed`, then report `proposals` and answer `reads`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// To be synced before anything else here is done.
    pub write: Write,
    /// To be sent once `write` is synced; may be lost.
    pub messages: Vec<(ReplicaId, Message)>,
    /// Entries that are committed now, in order and without gaps.
    pub committed: Vec<Entry>,
    /// A snapshot from the leader that replaces the state machine, before `committed`.
    pub installed_snapshot: Option<Snapshot>,
    /// Fates of proposals.
    pub proposals: Vec<(ProposalId, ProposalResult)>,
    /// Fates of reads; a ready one is answered from the state after `committed` is applied.
    pub reads: Vec<(ReadId, ReadResult)>,
}

impl Output {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Fate of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// Durable at a quorum.
    Committed {
        /// Its position.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
    },
    /// The replica lost leadership first; the entry may be committed by another or be lost.
    Undecided,
}

/// Fate of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// A quorum confirmed the leader after the read arrived.
    Ready {
        /// The state to read from includes this entry.
        index: LogIndex,
    },
    /// The replica lost leadership first; ask the new leader.
    LeadershipLost,
}
