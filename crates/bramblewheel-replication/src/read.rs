//! Linearizable reads that wait for a quorum to confirm the leader.

use crate::types::{LogIndex, ReadId};
use std::collections::VecDeque;

/// A read that waits for a quorum to answer its round.
#[derive(Debug)]
struct ConfirmingRead {
    id: ReadId,
    index: LogIndex,
    round: u64,
}

/// Unanswered reads of a leader.
///
/// A read is confirmed by a round that began after it arrived, never by the clock, so that a leader that
/// was frozen can't answer from outdated state.
#[derive(Debug, Default)]
pub(crate) struct ReadQueue {
    arrived: Vec<ReadId>,
    confirming: VecDeque<ConfirmingRead>,
    confirmed: VecDeque<(ReadId, LogIndex)>,
}

impl ReadQueue {
    pub(crate) fn push(&mut self, id: ReadId) {
        self.arrived.push(id);
    }

    /// Whether a read waits for a round to begin.
    pub(crate) fn needs_round(&self) -> bool {
        !self.arrived.is_empty()
    }

    /// Assigns all arrived reads to a round that begins at this commit index.
    pub(crate) fn begin_round(&mut self, round: u64, index: LogIndex) {
        let reads = self.arrived.drain(..);
        self.confirming
            .extend(reads.map(|id| ConfirmingRead { id, index, round }));
    }

    /// Confirms the reads of all rounds up to this one, which a quorum has answered.
    pub(crate) fn confirm(&mut self, round: u64) {
        while let Some(read) = self.confirming.pop_front_if(|read| read.round <= round) {
            self.confirmed.push_back((read.id, read.index));
        }
    }

    /// Takes the confirmed reads that can be answered once entries up to `applied` are applied.
    pub(crate) fn take_ready(&mut self, applied: LogIndex) -> Vec<(ReadId, LogIndex)> {
        let mut ready = Vec::new();
        while let Some(read) = self.confirmed.pop_front_if(|(_, index)| *index <= applied) {
            ready.push(read);
        }
        ready
    }

    /// Returns all unanswered reads, to report that they can't be completed.
    pub(crate) fn into_pending(self) -> impl Iterator<Item = ReadId> {
        let confirmed = self.confirmed.into_iter().map(|(id, _)| id);
        let confirming = self.confirming.into_iter().map(|read| read.id);
        confirmed.chain(confirming).chain(self.arrived)
    }
}
