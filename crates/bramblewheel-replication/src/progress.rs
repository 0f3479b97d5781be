//! Replication progress of one other replica, tracked by the leader.

use crate::leadership::RoundStart;
use crate::message::ContactToken;
use crate::types::LogIndex;
use bramblewheel_types::Timestamp;
use std::collections::VecDeque;

/// Maximum number of unanswered messages with entries per follower.
const MAX_IN_FLIGHT: usize = 16;
/// Rounds that a follower may answer without having installed a snapshot before the snapshot counts as lost.
const SNAPSHOT_TIMEOUT_ROUNDS: u64 = 10;

/// How entries are sent to a follower.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Flow {
    /// The last matching entry is not known: one message is sent, and the next after its answer or in the
    /// next round.
    Probe {
        /// Whether a message is in flight.
        waiting: bool,
    },
    /// Messages are pipelined without waiting for answers.
    Replicate {
        /// Last entry of each message in flight.
        in_flight: VecDeque<LogIndex>,
    },
    /// A snapshot is in flight.
    Snapshot {
        /// Its index.
        index: LogIndex,
        /// Round in which it was sent.
        round: u64,
    },
}

/// Replication progress of one other replica.
///
/// Invariant: `match_index < next_index`.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last entry the follower is known to have synced.
    pub(crate) match_index: LogIndex,
    /// Next entry to send.
    pub(crate) next_index: LogIndex,
    /// How entries are sent.
    pub(crate) flow: Flow,
    /// Last round that the follower answered.
    pub(crate) acked_round: u64,
    /// Start of that round; the follower was reachable at this time or later.
    pub(crate) last_contact: Option<Timestamp>,
    /// Last round sent to the follower.
    pub(crate) sent_round: u64,
    /// Commit index last sent to the follower.
    pub(crate) sent_commit: LogIndex,
    /// A token of the follower and its arrival time, until a quorum answers a round that began later.
    waiting_token: Option<(ContactToken, Timestamp)>,
    /// The follower's last token after which a quorum answered; sent back to it.
    pub(crate) proven_token: Option<ContactToken>,
    /// Start of the latest round of which the follower has synced all entries that the leader's log held then.
    pub(crate) caught_up_at: Option<Timestamp>,
}

impl Progress {
    pub(crate) fn new(last_index: LogIndex) -> Self {
        Self {
            match_index: LogIndex(0),
            next_index: LogIndex(last_index.0 + 1),
            flow: Flow::Probe { waiting: false },
            acked_round: 0,
            last_contact: None,
            sent_round: 0,
            sent_commit: LogIndex(0),
            waiting_token: None,
            proven_token: None,
            caught_up_at: None,
        }
    }

    /// Whether a message with entries may be sent now.
    pub(crate) fn may_send_entries(&self) -> bool {
        match &self.flow {
            Flow::Probe { waiting } => !waiting,
            Flow::Replicate { in_flight } => in_flight.len() < MAX_IN_FLIGHT,
            Flow::Snapshot { .. } => false,
        }
    }

    /// Records that a message with entries up to `last` was sent.
    pub(crate) fn on_entries_sent(&mut self, last: LogIndex) {
        match &mut self.flow {
            Flow::Probe { waiting } => *waiting = true,
            Flow::Replicate { in_flight } => {
                in_flight.push_back(last);
                self.next_index = LogIndex(last.0 + 1);
            }
            Flow::Snapshot { .. } => {}
        }
    }

    /// Records that a snapshot was sent.
    pub(crate) fn on_snapshot_sent(&mut self, index: LogIndex, round: u64) {
        self.flow = Flow::Snapshot { index, round };
        self.next_index = LogIndex(index.0 + 1);
    }

    /// Prepares a new round, in which a probe that may be lost is sent again.
    pub(crate) fn on_round_begun(&mut self) {
        if let Flow::Probe { waiting } = &mut self.flow {
            *waiting = false;
        }
    }

    /// Records that the follower's log matches up to `index`.
    pub(crate) fn on_match(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(LogIndex(self.match_index.0 + 1));
        match &mut self.flow {
            Flow::Replicate { in_flight } => in_flight.retain(|last| *last > index),
            Flow::Snapshot { index: wanted, .. } if *wanted > self.match_index => {}
            _ => {
                self.next_index = LogIndex(self.match_index.0 + 1);
                let in_flight = VecDeque::new();
                self.flow = Flow::Replicate { in_flight };
            }
        }
    }

    /// Records that the follower lacks the entry `previous_index`; the logs match at most up to `possible`.
    pub(crate) fn on_conflict(&mut self, round: u64, previous_index: LogIndex, possible: LogIndex) {
        if previous_index <= self.match_index {
            return;
        }
        match &self.flow {
            Flow::Snapshot { round: sent, .. } if round < sent + SNAPSHOT_TIMEOUT_ROUNDS => return,
            Flow::Probe { .. } if previous_index.0 + 1 != self.next_index.0 => return,
            _ => {}
        }
        let next = possible.0.min(previous_index.0 - 1).max(self.match_index.0) + 1;
        self.flow = Flow::Probe { waiting: false };
        self.next_index = LogIndex(next);
    }

    /// Records an answer at `now` to a round that began at `began`.
    pub(crate) fn on_answer(
        &mut self,
        round: u64,
        began: Timestamp,
        token: ContactToken,
        now: Timestamp,
    ) {
        self.waiting_token.get_or_insert((token, now));
        if round > self.acked_round {
            self.acked_round = round;
            self.last_contact = Some(began);
        }
    }

    /// Records whether the follower has synced all entries that the leader's log held at the start of a round
    /// that it answered.
    pub(crate) fn note_catch_up(&mut self, start: RoundStart) {
        if self.match_index >= start.last_index {
            self.caught_up_at = self.caught_up_at.max(Some(start.at));
        }
    }

    /// Marks the waiting token as proven if it arrived before `contact`, the start of a round that a quorum
    /// answered.
    pub(crate) fn prove_token(&mut self, contact: Timestamp) {
        let proven = self
            .waiting_token
            .take_if(|(_, arrived)| *arrived <= contact);
        if let Some((token, _)) = proven {
            self.proven_token = Some(token);
        }
    }
}
