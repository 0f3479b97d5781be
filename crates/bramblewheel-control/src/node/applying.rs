//! Committed entries, snapshots and the results of proposals.
//!
//! Owns nothing; brings the state forward, answers the clients whose proposals are decided and cuts the
//! log.

use super::ControlNode;
use super::output::ClientRequestId;
use super::proposals::Purpose;
use crate::state::{Changes, ControlState, Outcome};
use bramblewheel_protocol::control::{LogPosition, OperationReply, ReplyBody, Unavailable};
use bramblewheel_replication::{Entry, LogIndex, Payload, ProposalId, ProposalResult, Snapshot};

/// Bytes of commands after which the log is cut by a snapshot, however few entries they are: a
/// bundle or route table may be an entry of hundreds of kilobytes, and a replica may have only
/// 256 MB of memory. Chosen, not measured.
const MAX_LOG_BYTES: usize = 16 * 1024 * 1024;

impl ControlNode {
    /// Replaces the state by the leader's snapshot.
    pub(super) fn install(&mut self, snapshot: Option<Snapshot>) {
        let Some(snapshot) = snapshot else {
            return;
        };
        self.state = ControlState::decode(&snapshot.data)
            .expect("a snapshot of the group holds a state of this version of the program");
        // Anything may have changed since the replaced state.
        for id in self.polls.all() {
            self.answer_held(id);
        }
        self.answer_watches();
    }

    /// Applies entries in order; returns what they changed for daemons.
    pub(super) fn apply(&mut self, entries: Vec<Entry>) -> Changes {
        let mut all = Changes::default();
        for entry in entries {
            let position = LogPosition {
                index: entry.index.0,
                term: entry.term.0,
            };
            let Payload::Command(command) = entry.payload else {
                self.state.skip(position);
                continue;
            };
            let applied = self
                .state
                .apply(position, &command)
                .expect("a committed entry holds a command of this version of the program");
            all.merge(applied.changes);
            if !self.proposals.is_empty() {
                self.outcomes.insert(position.index, applied.outcome);
            }
        }
        all
    }

    /// Answers the clients whose proposals are decided.
    pub(super) fn settle(&mut self, results: Vec<(ProposalId, ProposalResult)>) {
        for (id, result) in results {
            let Some(purpose) = self.proposals.decided(id) else {
                continue;
            };
            match result {
                ProposalResult::Committed { index, .. } => self.committed(purpose, index),
                ProposalResult::Undecided => self.undecided(purpose),
            }
        }
        // Entries and the results of their proposals come in one output.
        self.outcomes.clear();
    }

    fn committed(&mut self, purpose: Purpose, index: LogIndex) {
        match (purpose, self.outcomes.remove(&index.0)) {
            (Purpose::Publish(id), Some(Outcome::Publish(reply))) => {
                self.reply(id, ReplyBody::Publish(reply));
            }
            (Purpose::Operations(parts), Some(Outcome::Operations(replies))) => {
                self.counters.operations_decided += replies.len() as u64;
                let mut replies = replies.into_iter();
                for (id, count) in parts {
                    let own = replies.by_ref().take(count).collect();
                    self.reply(id, ReplyBody::Operations(own));
                }
            }
            (Purpose::Table(id), Some(Outcome::Table(reply))) => {
                self.reply(id, ReplyBody::TableReplaced(reply));
            }
            (Purpose::Endpoints(ids), Some(Outcome::Endpoints(states))) => {
                for (id, state) in ids.into_iter().zip(states) {
                    self.reply(id, ReplyBody::EndpointRegistered(state));
                }
            }
            (Purpose::Contents(ids), _) => {
                for id in ids {
                    self.reply(id, ReplyBody::Done);
                }
            }
            (
                Purpose::Publish(_)
                | Purpose::Operations(_)
                | Purpose::Table(_)
                | Purpose::Endpoints(_),
                outcome,
            ) => {
                unreachable!("entry {} came to {outcome:?}", index.0)
            }
            (
                Purpose::Directory
                | Purpose::Address(_)
                | Purpose::Membership
                | Purpose::Replacement,
                _,
            ) => {}
        }
    }

    fn undecided(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::Publish(id) | Purpose::Table(id) => {
                self.unavailable(id, Unavailable::Undecided);
            }
            Purpose::Endpoints(ids) | Purpose::Contents(ids) => {
                for id in ids {
                    self.unavailable(id, Unavailable::Undecided);
                }
            }
            Purpose::Operations(parts) => {
                for (id, count) in parts {
                    self.all_undecided(id, count);
                }
            }
            Purpose::Directory | Purpose::Address(_) | Purpose::Membership => {}
            Purpose::Replacement => self.replacement_undecided(),
        }
    }

    pub(super) fn all_undecided(&mut self, id: ClientRequestId, count: usize) {
        let replies = vec![OperationReply::Undecided; count];
        self.reply(id, ReplyBody::Operations(replies));
    }

    /// Cuts the log by a snapshot when enough entries have come.
    pub(super) fn compact_if_due(&mut self) {
        let applied = LogIndex(self.state.position().index);
        let last = self.replica.snapshot_index().0;
        let has_many_entries = applied.0 >= last + self.config.snapshot_interval;
        let has_many_bytes = applied.0 > last && self.replica.log_bytes() >= MAX_LOG_BYTES;
        if self.own_snapshot.is_some() || !(has_many_entries || has_many_bytes) {
            return;
        }
        let data = self.state.encode();
        // Refused while the entry is not synced here: tried again after the next sync.
        if let Ok(snapshot) = self.replica.compact(self.now.monotonic, applied, data) {
            self.own_snapshot = Some(snapshot);
        }
    }

    /// The group, if it is not noted in the identity yet.
    pub(super) fn newly_joined(&mut self) -> Option<u64> {
        let group = self.state.group();
        if group == self.noted_group {
            return None;
        }
        self.noted_group = group;
        group
    }
}
