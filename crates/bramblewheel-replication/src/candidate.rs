//! Elections: pre-votes, votes and leadership transfer.
//!
//! A replica asks for pre-votes before it increments its term, so that a replica that was partitioned
//! can't depose a healthy leader when it reconnects.

use crate::message::Body;
use crate::replica::Replica;
use crate::role::RoleState;
use crate::types::{HardState, LogIndex, ReplicaId, Term};
use std::collections::BTreeSet;

impl Replica {
    /// Whether this replica leads, or had contact with the leader within the election time-out; it then
    /// refuses votes to other replicas.
    pub(crate) fn has_leader_contact(&self) -> bool {
        if matches!(self.role, RoleState::Leader(_)) {
            return true;
        }
        let Some(contact) = self.leader_contact else {
            return false;
        };
        contact + self.config.election_timeout > self.now
    }

    /// Asks the other voters for pre-votes.
    pub(crate) fn start_pre_vote(&mut self) {
        self.leader = None;
        self.reset_election_timer();
        let granted = BTreeSet::from([self.config.id]);
        if self.is_quorum(&granted) {
            self.start_election(false);
            return;
        }
        self.role = RoleState::PreCandidate { granted };
        let body = Body::PreVoteRequest {
            candidate_term: Term(self.hard_state.term.0 + 1),
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&body);
    }

    fn start_election(&mut self, transfer: bool) {
        self.hard_state = HardState {
            term: Term(self.hard_state.term.0 + 1),
            voted_for: Some(self.config.id),
        };
        self.leader = None;
        self.reset_election_timer();
        let granted = BTreeSet::from([self.config.id]);
        if self.is_quorum(&granted) {
            self.become_leader();
            return;
        }
        self.role = RoleState::Candidate { granted };
        let body = Body::VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        self.send_to_voters(&body);
    }

    pub(crate) fn on_pre_vote_request(
        &mut self,
        from: ReplicaId,
        candidate_term: Term,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let granted = self.is_initialised()
            && candidate_term > self.hard_state.term
            && !self.has_leader_contact()
            && self.log.is_covered_by(last_index, last_term);
        let body = Body::PreVoteResponse {
            candidate_term,
            granted,
        };
        self.send(from, body);
    }

    pub(crate) fn on_pre_vote_response(
        &mut self,
        from: ReplicaId,
        candidate_term: Term,
        granted: bool,
    ) {
        let RoleState::PreCandidate { granted: votes } = &mut self.role else {
            return;
        };
        if !granted || candidate_term.0 != self.hard_state.term.0 + 1 {
            return;
        }
        votes.insert(from);
        let votes = votes.clone();
        if self.is_quorum(&votes) {
            self.start_election(false);
        }
    }

    pub(crate) fn on_vote_request(
        &mut self,
        from: ReplicaId,
        last_index: LogIndex,
        last_term: Term,
    ) {
        let vote_is_free = match self.hard_state.voted_for {
            Some(candidate) => candidate == from,
            None => matches!(
                self.role,
                RoleState::Follower | RoleState::PreCandidate { .. }
            ),
        };
        let granted =
            self.is_initialised() && vote_is_free && self.log.is_covered_by(last_index, last_term);
        if granted {
            self.hard_state.voted_for = Some(from);
            self.role = RoleState::Follower;
            self.reset_election_timer();
        }
        self.send(from, Body::VoteResponse { granted });
    }

    pub(crate) fn on_vote_response(&mut self, from: ReplicaId, granted: bool) {
        let RoleState::Candidate { granted: votes } = &mut self.role else {
            return;
        };
        if !granted {
            return;
        }
        votes.insert(from);
        let votes = votes.clone();
        if self.is_quorum(&votes) {
            self.become_leader();
        }
    }

    /// Starts an election at the request of this term's leader, which is stopping.
    pub(crate) fn on_transfer_leadership(&mut self, from: ReplicaId) {
        let is_voter = self.membership().voters.contains(&self.config.id);
        if self.leader == Some(from) && is_voter {
            self.start_election(true);
        }
    }

    fn is_quorum(&self, granted: &BTreeSet<ReplicaId>) -> bool {
        let voters = &self.membership().voters;
        voters.intersection(granted).count() > voters.len() / 2
    }

    fn send_to_voters(&mut self, body: &Body) {
        let voters = self.membership().voters.clone();
        for voter in voters {
            if voter != self.config.id {
                self.send(voter, body.clone());
            }
        }
    }
}
