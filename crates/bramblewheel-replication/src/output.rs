//! Output of a replica for its driver to carry out.

use crate::events::Event;
use crate::message::Message;
use crate::types::{Entry, LogIndex, ProposalId, ReadId, ReplicaId, Snapshot, Term, Write};

/// Actions for the driver, to be carried out in this order: sync `write`, call
/// [`persisted`](crate::Replica::persisted), send `messages`, install the snapshot, apply
/// `committed`, then report `proposals`, answer `reads` and log `events`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Changes to sync before any other action.
    pub write: Write,
    /// Messages to send once `write` is synced; may be lost.
    pub messages: Vec<(ReplicaId, Message)>,
    /// Newly committed entries, in order and without gaps.
    pub committed: Vec<Entry>,
    /// A snapshot from the leader that replaces the state machine's state before `committed` is applied.
    pub installed_snapshot: Option<Snapshot>,
    /// Results of proposals.
    pub proposals: Vec<(ProposalId, ProposalResult)>,
    /// Results of reads; a ready read is answered from the state after `committed` is applied.
    pub reads: Vec<(ReadId, ReadResult)>,
    /// Observations to log, oldest first.
    pub events: Vec<Event>,
}

impl Output {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Result of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalResult {
    /// Durable at a quorum.
    Committed {
        /// Index of the entry.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
    },
    /// The replica lost leadership first; a later leader may commit the entry or drop it.
    Undecided,
}

/// Result of a read.
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

/// Results of the proposals and reads that a replica can't complete after it resigned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Abandoned {
    /// Results of proposals.
    pub proposals: Vec<(ProposalId, ProposalResult)>,
    /// Results of reads.
    pub reads: Vec<(ReadId, ReadResult)>,
}
