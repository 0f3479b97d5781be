//! State that a replica holds only while it leads.

use crate::progress::Progress;
use crate::read::ReadQueue;
use crate::types::{LogIndex, ProposalId, ReplicaId};
use bramblewheel_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};

/// Rounds whose start times are kept; answers to older rounds don't count as contact.
const KEPT_ROUND_STARTS: usize = 4096;

/// A leadership transfer in progress.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// Replica that takes over.
    pub(crate) target: ReplicaId,
    /// Time at which the transfer is abandoned and the leader accepts proposals again.
    pub(crate) deadline: Timestamp,
    /// Whether the target was asked to start an election.
    pub(crate) is_prompted: bool,
}

/// A replica removed from the membership that may not have received its removal yet.
#[derive(Debug)]
pub(crate) struct RemovedReplica {
    /// The replica.
    pub(crate) replica: ReplicaId,
    /// Index of the entry with the membership without it.
    pub(crate) index: LogIndex,
    /// Time at which the leader stops sending to it in any case.
    pub(crate) deadline: Timestamp,
}

/// Start of a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundStart {
    /// Number of the round.
    round: u64,
    /// Time of the start.
    pub(crate) at: Timestamp,
    /// Last entry of the leader's log at that time.
    pub(crate) last_index: LogIndex,
}

/// State that a replica holds only while it leads.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// Time of the election.
    pub(crate) elected_at: Timestamp,
    /// First entry of this term.
    pub(crate) first_index: LogIndex,
    /// The other members.
    pub(crate) peers: BTreeMap<ReplicaId, Progress>,
    /// Current round; each message carries it and each answer returns it.
    pub(crate) round: u64,
    /// Starts of rounds, oldest first.
    round_starts: VecDeque<RoundStart>,
    /// Time at which the next round begins at the latest.
    pub(crate) heartbeat_due: Timestamp,
    /// Reads not answered yet.
    pub(crate) reads: ReadQueue,
    /// Proposals not committed yet.
    pub(crate) proposals: BTreeMap<LogIndex, ProposalId>,
    /// Leadership transfer in progress.
    pub(crate) transfer: Option<Transfer>,
    /// Replica removed last, until it has received its removal.
    pub(crate) removed: Option<RemovedReplica>,
}

impl Leadership {
    pub(crate) fn new(now: Timestamp, first_index: LogIndex) -> Self {
        Self {
            elected_at: now,
            first_index,
            peers: BTreeMap::new(),
            round: 0,
            round_starts: VecDeque::new(),
            heartbeat_due: now,
            reads: ReadQueue::default(),
            proposals: BTreeMap::new(),
            transfer: None,
            removed: None,
        }
    }

    /// Starts the next round.
    pub(crate) fn begin_round(&mut self, now: Timestamp, last_index: LogIndex) {
        self.round += 1;
        self.round_starts.push_back(RoundStart {
            round: self.round,
            at: now,
            last_index,
        });
        if self.round_starts.len() > KEPT_ROUND_STARTS {
            self.round_starts.pop_front();
        }
    }

    /// Start of a round; `None` if it is no longer kept.
    pub(crate) fn round_start(&self, round: u64) -> Option<RoundStart> {
        let first = self.round_starts.front()?.round;
        let offset = usize::try_from(round.checked_sub(first)?).ok()?;
        self.round_starts.get(offset).copied()
    }
}
