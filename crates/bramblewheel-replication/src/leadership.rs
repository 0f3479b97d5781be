//! State that a replica holds only while it leads.

use crate::progress::Progress;
use crate::read::ReadQueue;
use crate::types::{LogIndex, ProposalId, ReplicaId};
use bramblewheel_types::Timestamp;
use std::collections::{BTreeMap, VecDeque};

/// Rounds whose start is remembered; answers to older rounds count as contact at no time.
/// Chosen, not measured.
const REMEMBERED_ROUNDS: usize = 4096;

/// Leadership being handed over.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// Replica that takes over.
    pub(crate) target: ReplicaId,
    /// When the leader goes on leading.
    pub(crate) deadline: Timestamp,
    /// Whether the target was sent the prompt to campaign.
    pub(crate) is_prompted: bool,
}

/// A replica removed from the membership that may not be informed of it.
#[derive(Debug)]
pub(crate) struct Departing {
    /// The replica.
    pub(crate) replica: ReplicaId,
    /// Index of the membership without it.
    pub(crate) index: LogIndex,
    /// When it is forgotten, informed or not.
    pub(crate) deadline: Timestamp,
}

/// State that a replica holds only while it leads.
#[derive(Debug)]
pub(crate) struct Leadership {
    /// When it began.
    pub(crate) elected_at: Timestamp,
    /// First entry of this term.
    pub(crate) first_index: LogIndex,
    /// The other members.
    pub(crate) peers: BTreeMap<ReplicaId, Progress>,
    /// Current round; each message names it and each answer returns it.
    pub(crate) round: u64,
    /// When the rounds began, oldest first.
    round_starts: VecDeque<(u64, Timestamp)>,
    /// When the next round begins at the latest.
    pub(crate) heartbeat_due: Timestamp,
    /// Reads not answered yet.
    pub(crate) reads: ReadQueue,
    /// Proposals not committed yet.
    pub(crate) proposals: BTreeMap<LogIndex, ProposalId>,
    /// Hand-over under way.
    pub(crate) transfer: Option<Transfer>,
    /// Replica just removed.
    pub(crate) departing: Option<Departing>,
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
            departing: None,
        }
    }

    /// Starts the next round.
    pub(crate) fn begin_round(&mut self, now: Timestamp) {
        self.round += 1;
        self.round_starts.push_back((self.round, now));
        if self.round_starts.len() > REMEMBERED_ROUNDS {
            self.round_starts.pop_front();
        }
    }

    /// When a round began; `None` for rounds long gone.
    pub(crate) fn round_start(&self, round: u64) -> Option<Timestamp> {
        let (first, _) = *self.round_starts.front()?;
        let offset = usize::try_from(round.checked_sub(first)?).ok()?;
        self.round_starts.get(offset).map(|(_, start)| *start)
    }
}
