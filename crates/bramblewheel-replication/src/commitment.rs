//! Handling of followers' answers: committing entries and confirming reads.

use crate::message::{AppendResult, ContactToken};
use crate::output::{ProposalResult, ReadResult};
use crate::quorum::reached_by_quorum;
use crate::replica::Replica;
use crate::role::RoleState;
use crate::types::{LogIndex, ReplicaId};
use bramblewheel_types::Timestamp;

impl Replica {
    /// Last entry that another member is known to have synced; `None` if this replica is not the leader.
    pub fn match_index(&self, replica: ReplicaId) -> Option<LogIndex> {
        let progress = self.leadership()?.peers.get(&replica)?;
        Some(progress.match_index)
    }

    pub(crate) fn on_append_response(
        &mut self,
        from: ReplicaId,
        round: u64,
        result: AppendResult,
        token: ContactToken,
    ) {
        let now = self.now;
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let start = leadership.round_start(round);
        let Some(progress) = leadership.peers.get_mut(&from) else {
            return;
        };
        if let Some(start) = start {
            progress.on_answer(round, start.at, token, now);
        }
        match result {
            AppendResult::Matched { index } if index <= self.log.last_index() => {
                progress.on_match(index);
            }
            AppendResult::Matched { .. } => {}
            AppendResult::Conflict {
                previous_index,
                hint_index,
                hint_term,
            } => {
                let (possible, _) = self.log.possible_match(hint_index, hint_term);
                progress.on_conflict(round, previous_index, possible);
            }
        }
        if let Some(start) = start {
            progress.note_catch_up(start);
        }
        self.release_removed();
        self.prove_tokens();
        self.confirm_reads();
        self.advance_commit();
    }

    fn prove_tokens(&mut self) {
        let Some(contact) = self.leader_quorum_contact() else {
            return;
        };
        if let Some(leadership) = self.leadership_mut() {
            for progress in leadership.peers.values_mut() {
                progress.prove_token(contact);
            }
        }
    }

    /// Start of the latest round that a quorum answered; `None` if this replica is not the leader or no
    /// round was answered.
    pub(crate) fn leader_quorum_contact(&self) -> Option<Timestamp> {
        let leadership = self.leadership()?;
        let contact_with = |voter| match voter {
            own if own == self.config.id => Some(Timestamp::NEVER),
            other => leadership.peers.get(&other)?.last_contact,
        };
        reached_by_quorum(&self.membership().voters, contact_with).flatten()
    }

    fn confirm_reads(&mut self) {
        let own = self.config.id;
        let voters = &self.log.membership().1.voters;
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        let current = leadership.round;
        let peers = &leadership.peers;
        let confirmed = reached_by_quorum(voters, |voter| match voter {
            voter if voter == own => current,
            voter => peers.get(&voter).map_or(0, |progress| progress.acked_round),
        });
        if let Some(round) = confirmed {
            leadership.reads.confirm(round);
        }
    }

    pub(crate) fn collect_ready_reads(&mut self) {
        self.confirm_reads();
        let applied = self.delivered;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let ready = leadership.reads.take_ready(applied);
        let ready = ready.into_iter();
        self.read_results
            .extend(ready.map(|(id, index)| (id, ReadResult::Ready { index })));
    }

    pub(crate) fn has_committed_own_term(&self) -> bool {
        self.leadership()
            .is_some_and(|leadership| self.commit >= leadership.first_index)
    }

    /// Commits entries that a quorum has synced. Only entries of the leader's own term are counted; earlier
    /// ones are committed with them.
    pub(crate) fn advance_commit(&mut self) {
        let Some(leadership) = self.leadership() else {
            return;
        };
        let synced = self.persistence.synced();
        let reached = reached_by_quorum(&self.membership().voters, |voter| {
            if voter == self.config.id {
                return synced;
            }
            let progress = leadership.peers.get(&voter);
            progress.map_or(LogIndex(0), |progress| progress.match_index)
        });
        let Some(reached) = reached else {
            return;
        };
        if reached <= self.commit || self.log.term_at(reached) != Some(self.hard_state.term) {
            return;
        }
        self.commit = reached;
        self.report_committed();
        self.step_down_if_removed();
    }

    fn report_committed(&mut self) {
        let commit = self.commit;
        let term = self.hard_state.term;
        let RoleState::Leader(leadership) = &mut self.role else {
            return;
        };
        while let Some(first) = leadership.proposals.first_entry() {
            if *first.key() > commit {
                break;
            }
            let (index, id) = first.remove_entry();
            let result = ProposalResult::Committed { index, term };
            self.proposal_results.push((id, result));
        }
    }

    fn step_down_if_removed(&mut self) {
        let is_voter = self.membership().voters.contains(&self.config.id);
        if !is_voter && self.membership_is_committed() {
            self.become_follower(self.hard_state.term, None);
        }
    }
}
