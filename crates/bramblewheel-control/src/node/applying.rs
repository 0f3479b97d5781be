//! Applies committed entries and snapshots to the state, replies to clients whose proposals are decided, and
//! compacts the log.

use super::ControlNode;
use super::output::ClientRequestId;
use super::peer_addresses::EntryPosition;
use super::proposals::Purpose;
use crate::state::{Changes, ControlState, Outcome};
use bramblewheel_protocol::control::{LogPosition, OperationReply, ReplyBody, Unavailable};
use bramblewheel_replication::{Entry, LogIndex, Payload, ProposalId, ProposalResult, Snapshot};

/// Size of the commands in the log, in bytes, after which it is compacted into a snapshot regardless of
/// the number of entries. An entry with a bundle or route table may take hundreds of kilobytes, and a
/// replica may have only 256 MB of memory.
const MAX_LOG_BYTES: usize = 16 * 1024 * 1024;

impl ControlNode {
    /// Replaces the state by a snapshot of the leader.
    pub(super) fn install_snapshot(&mut self, snapshot: Option<Snapshot>) {
        let Some(snapshot) = snapshot else {
            return;
        };
        self.state = ControlState::decode(&snapshot.data)
            .expect("the leader's snapshot must hold a state that this program version can decode");
        let position = EntryPosition {
            term: snapshot.term,
            index: snapshot.index,
        };
        let state = &self.state;
        self.peer_addresses
            .replace_by_log(position, |replica| state.address(replica).is_some());
        self.report_membership(snapshot.term, snapshot.index, snapshot.membership);
        // Anything may have changed between the old and the new state.
        for id in self.polls.all() {
            self.answer_held(id);
        }
        self.answer_watches();
    }

    /// Applies entries in order. Returns the changes for daemons.
    pub(super) fn apply(&mut self, entries: Vec<Entry>) -> Changes {
        let mut changes = Changes::default();
        for entry in entries {
            let entry_position = EntryPosition::of(&entry);
            let position = LogPosition {
                index: entry.index.0,
                term: entry.term.0,
            };
            let command = match entry.payload {
                Payload::Command(command) => command,
                Payload::Empty => {
                    self.state.skip(position);
                    continue;
                }
                Payload::Membership(membership) => {
                    self.state.skip(position);
                    self.report_membership(entry.term, entry.index, membership);
                    continue;
                }
            };
            let replacement = self.state.replacement().cloned();
            let applied = self.state.apply(position, &command).expect(
                "a committed entry must hold a command that this program version can decode",
            );
            changes.merge(applied.changes);
            if let Some(changed) = applied.changed_address {
                self.peer_addresses
                    .replace_by_log(entry_position, |replica| replica == changed);
            }
            self.report_replacement(replacement.as_ref(), entry.index);
            if !self.proposals.is_empty() {
                self.outcomes.insert(position.index, applied.outcome);
            }
        }
        changes
    }

    /// Replies to the clients whose proposals are decided.
    pub(super) fn reply_to_proposals(&mut self, results: Vec<(ProposalId, ProposalResult)>) {
        for (id, result) in results {
            let Some(purpose) = self.proposals.take_decided(id) else {
                continue;
            };
            match result {
                ProposalResult::Committed { index, .. } => self.reply_committed(purpose, index),
                ProposalResult::Undecided => self.reply_undecided(purpose),
            }
        }
        // Entries and the results of their proposals arrive in the same output.
        self.outcomes.clear();
    }

    fn reply_committed(&mut self, purpose: Purpose, index: LogIndex) {
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
                unreachable!(
                    "outcome of entry {} does not match its purpose: {outcome:?}",
                    index.0
                )
            }
            // The next step follows immediately, as the group has a voter less until the last one.
            (Purpose::Membership | Purpose::Replacement, _) => self.advance_replacement(),
            (Purpose::Directory | Purpose::Address(_), _) => {}
        }
    }

    fn reply_undecided(&mut self, purpose: Purpose) {
        match purpose {
            Purpose::Publish(id) | Purpose::Table(id) => {
                self.reply_unavailable(id, Unavailable::Undecided);
            }
            Purpose::Endpoints(ids) | Purpose::Contents(ids) => {
                for id in ids {
                    self.reply_unavailable(id, Unavailable::Undecided);
                }
            }
            Purpose::Operations(parts) => {
                for (id, count) in parts {
                    self.reply_all_undecided(id, count);
                }
            }
            Purpose::Directory | Purpose::Address(_) | Purpose::Membership => {}
            Purpose::Replacement => self.replacement_undecided(),
        }
    }

    pub(super) fn reply_all_undecided(&mut self, id: ClientRequestId, count: usize) {
        let replies = vec![OperationReply::Undecided; count];
        self.reply(id, ReplyBody::Operations(replies));
    }

    /// Compacts the log into a snapshot once it holds enough entries or bytes.
    pub(super) fn compact_if_due(&mut self) {
        let applied = LogIndex(self.state.position().index);
        let last = self.replica.snapshot_index().0;
        let has_many_entries = applied.0 >= last + self.config.snapshot_interval;
        let has_many_bytes = applied.0 > last && self.replica.log_bytes() >= MAX_LOG_BYTES;
        if self.own_snapshot.is_some() || !(has_many_entries || has_many_bytes) {
            return;
        }
        let data = self.state.encode();
        // Refused while the entry is not synced on this replica; retried after the next sync.
        if let Ok(snapshot) = self.replica.compact(self.now.monotonic, applied, data) {
            self.own_snapshot = Some(snapshot);
        }
    }

    /// Returns the group once, when it is not recorded in the identity yet.
    pub(super) fn take_joined_group(&mut self) -> Option<u64> {
        let group = self.state.group();
        if group == self.recorded_group {
            return None;
        }
        self.recorded_group = group;
        group
    }
}
