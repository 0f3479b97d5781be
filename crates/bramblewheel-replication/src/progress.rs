//! What a leader knows of one other replica.

use crate::message::ContactToken;
use crate::types::LogIndex;
use bramblewheel_types::Timestamp;
use std::collections::VecDeque;

/// Most messages with entries sent to one follower and not answered; chosen, not measured.
const MAX_IN_FLIGHT: usize = 16;
/// Rounds that a follower may answer without having a snapshot before it is taken for lost.
/// Chosen, not measured.
const SNAPSHOT_PATIENCE: u64 = 10;

/// How entries are sent to a follower.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Flow {
    /// Where the logs agree is not known: one message, then wait for its answer or the next round.
    Probe {
        /// A message is on its way.
        waiting: bool,
    },
    /// Messages are sent ahead of their answers.
    Replicate {
        /// Last entry of each message on its way.
        in_flight: VecDeque<LogIndex>,
    },
    /// A snapshot is on its way.
    Snapshot {
        /// Its index.
        index: LogIndex,
        /// Round it was sent in.
        round: u64,
    },
}

/// What a leader knows of one other replica.
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
    /// Last round the follower answered.
    pub(crate) acked_round: u64,
    /// When that round began: the follower was there at this time or later.
    pub(crate) last_contact: Option<Timestamp>,
    /// Last round sent to it.
    pub(crate) sent_round: u64,
    /// Commit index last sent to it.
    pub(crate) sent_commit: LogIndex,
    /// A token of it and when it came, until a quorum answered a round begun after that.
    waiting_token: Option<(ContactToken, Timestamp)>,
    /// Its last token after which a quorum answered; sent back to it.
    pub(crate) proven_token: Option<ContactToken>,
    /// Last entry of the leader when the latest round began.
    pub(crate) catch_up_target: LogIndex,
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
            catch_up_target: last_index,
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

    /// A message with entries up to `last` was sent.
    pub(crate) fn sent_entries(&mut self, last: LogIndex) {
        match &mut self.flow {
            Flow::Probe { waiting } => *waiting = true,
            Flow::Replicate { in_flight } => {
                in_flight.push_back(last);
                self.next_index = LogIndex(last.0 + 1);
            }
            Flow::Snapshot { .. } => {}
        }
    }

    /// A snapshot was sent.
    pub(crate) fn sent_snapshot(&mut self, index: LogIndex, round: u64) {
        self.flow = Flow::Snapshot { index, round };
        self.next_index = LogIndex(index.0 + 1);
    }

    /// A new round begins: a probe that may be lost is sent again.
    pub(crate) fn new_round(&mut self, last_index: LogIndex) {
        self.catch_up_target = last_index;
        if let Flow::Probe { waiting } = &mut self.flow {
            *waiting = false;
        }
    }

    /// The follower's log agrees up to `index`.
    pub(crate) fn matched(&mut self, index: LogIndex) {
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

    /// The follower lacks the entry `previous_index`; the logs agree at most up to `possible`.
    pub(crate) fn conflicted(&mut self, round: u64, previous_index: LogIndex, possible: LogIndex) {
        if previous_index <= self.match_index {
            return;
        }
        match &self.flow {
            Flow::Snapshot { round: sent, .. } if round < sent + SNAPSHOT_PATIENCE => return,
            Flow::Probe { .. } if previous_index.0 + 1 != self.next_index.0 => return,
            _ => {}
        }
        let next = possible.0.min(previous_index.0 - 1).max(self.match_index.0) + 1;
        self.flow = Flow::Probe { waiting: false };
        self.next_index = LogIndex(next);
    }

    /// The follower answered at `now` a round that began earlier.
    pub(crate) fn answered(
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

    /// A quorum answered a round that began at `contact`: what came before is proven.
    pub(crate) fn prove_token(&mut self, contact: Timestamp) {
        let proven = self.waiting_token.take_if(|(_, came)| *came <= contact);
        if let Some((token, _)) = proven {
            self.proven_token = Some(token);
        }
    }
}
