//! Follower behaviour: appending entries and installing snapshots.

use crate::message::{AppendResult, Body, ContactToken};
use crate::replica::Replica;
use crate::role::RoleState;
use crate::types::{Entry, LogIndex, ReplicaId, Snapshot, Term};

impl Replica {
    /// Accepts the sender as the leader of the current term.
    fn follow(&mut self, leader: ReplicaId) {
        if !matches!(self.role, RoleState::Follower) {
            self.become_follower(self.hard_state.term, Some(leader));
        }
        self.leader = Some(leader);
        self.leader_contact = Some(self.now);
        self.reset_election_timer();
    }

    pub(crate) fn on_append(&mut self, from: ReplicaId, body: Body) {
        let Body::Append {
            previous_index,
            previous_term,
            entries,
            commit,
            round,
            echo,
        } = body
        else {
            return;
        };
        if matches!(self.role, RoleState::Leader(_)) || !follows(previous_index, &entries) {
            return;
        }
        self.follow(from);
        self.record_echo(echo);
        if previous_index >= self.commit && self.log.term_at(previous_index) != Some(previous_term)
        {
            let (hint_index, hint_term) = self.log.possible_match(previous_index, previous_term);
            self.answer_conflict(from, round, previous_index, hint_index, hint_term);
            return;
        }
        let last = LogIndex(previous_index.0 + entries.len() as u64);
        self.append_missing(entries);
        self.commit = self.commit.max(commit.min(last));
        let index = last.max(self.commit);
        self.answer_matched(from, round, index);
    }

    /// Appends the entries that are missing, and truncates the log where it conflicts with them.
    fn append_missing(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            // Committed entries match already, and may be compacted.
            if entry.index <= self.commit {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.log.truncate_from(entry.index);
                    self.persistence.on_truncate(entry.index);
                }
                None => {}
            }
            self.log.append(entry);
        }
    }

    pub(crate) fn on_install_snapshot(&mut self, from: ReplicaId, snapshot: Snapshot, round: u64) {
        if matches!(self.role, RoleState::Leader(_)) {
            return;
        }
        self.follow(from);
        if snapshot.index > self.commit {
            if self.log.term_at(snapshot.index) == Some(snapshot.term) {
                self.commit = snapshot.index;
            } else {
                self.install(snapshot);
            }
        }
        self.answer_matched(from, round, self.commit);
    }

    fn install(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.index;
        self.delivered = snapshot.index;
        self.log.install(snapshot.clone());
        self.persistence.on_install(snapshot.clone());
        self.installed_snapshot = Some(snapshot);
    }

    /// Records a token that the leader sent back, which proves that it had a quorum after the token's time.
    fn record_echo(&mut self, echo: Option<ContactToken>) {
        let Some(token) = echo else {
            return;
        };
        if token.session == self.session && token.at <= self.now {
            self.quorum_contact = self.quorum_contact.max(Some(token.at));
        }
    }

    fn answer_matched(&mut self, to: ReplicaId, round: u64, index: LogIndex) {
        let body = Body::AppendResponse {
            round,
            result: AppendResult::Matched { index },
            token: self.token(),
        };
        self.send(to, body);
    }

    fn answer_conflict(
        &mut self,
        to: ReplicaId,
        round: u64,
        previous_index: LogIndex,
        hint_index: LogIndex,
        hint_term: Term,
    ) {
        let body = Body::AppendResponse {
            round,
            result: AppendResult::Conflict {
                previous_index,
                hint_index,
                hint_term,
            },
            token: self.token(),
        };
        self.send(to, body);
    }

    /// Refuses entries of an older term, so that their sender learns the current term.
    pub(crate) fn refuse_append(&mut self, to: ReplicaId, round: u64, previous_index: LogIndex) {
        self.answer_conflict(to, round, previous_index, LogIndex(0), Term(0));
    }
}

/// Whether the entries follow `previous_index` directly and without gaps.
fn follows(previous_index: LogIndex, entries: &[Entry]) -> bool {
    let expected = previous_index.0 + 1..;
    entries
        .iter()
        .zip(expected)
        .all(|(entry, index)| entry.index.0 == index)
}
