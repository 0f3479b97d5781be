//! Elections: pre-votes, votes and leadership transfer.
//!
//! A replica asks for pre-votes before it increments its term, so that a replica that was partitioned
//! can't depose a healthy leader when it reconnects.

use crate::events::{Ballot, RefusalReason, VoteAsked};
use crate::message::Body;
use crate::replica::Replica;
use crate::role::{RoleState, Votes};
use crate::types::{HardState, ReplicaId, Term};

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
        self.report_election_that_timed_out();
        self.leader = None;
        self.reset_election_timer();
        let votes = Votes::of(self.config.id);
        if self.is_quorum(&votes) {
            self.start_election(false);
            return;
        }
        self.role = RoleState::PreCandidate(votes);
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
        let votes = Votes::of(self.config.id);
        if self.is_quorum(&votes) {
            self.become_leader();
            return;
        }
        self.role = RoleState::Candidate(votes);
        let body = Body::VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer,
        };
        self.send_to_voters(&body);
    }

    /// Reports the election in progress, if there is one, when its time is over.
    fn report_election_that_timed_out(&mut self) {
        let (ballot, term, votes) = match &self.role {
            RoleState::PreCandidate(votes) => {
                let term = Term(self.hard_state.term.0 + 1);
                (Ballot::PreVote, term, votes.clone())
            }
            RoleState::Candidate(votes) => (Ballot::Vote, self.hard_state.term, votes.clone()),
            RoleState::Follower | RoleState::Leader(_) => return,
        };
        self.report_failed_election(ballot, term, &votes);
    }

    /// Grants or refuses a vote or pre-vote.
    pub(crate) fn on_vote_asked(&mut self, asked: VoteAsked) {
        let refusal = match asked.ballot {
            Ballot::PreVote => self.reason_against_pre_vote(&asked),
            Ballot::Vote => self.reason_against_vote(&asked),
        };
        if let Some(reason) = refusal {
            self.report_refusal(asked, reason);
        }
        let granted = refusal.is_none();
        let body = match asked.ballot {
            Ballot::PreVote => Body::PreVoteResponse {
                candidate_term: asked.term,
                granted,
            },
            Ballot::Vote => Body::VoteResponse { granted },
        };
        if granted && asked.ballot == Ballot::Vote {
            self.hard_state.voted_for = Some(asked.candidate);
            self.role = RoleState::Follower;
            self.reset_election_timer();
        }
        self.send(asked.candidate, body);
    }

    fn reason_against_pre_vote(&self, asked: &VoteAsked) -> Option<RefusalReason> {
        if !self.is_initialised() {
            return Some(RefusalReason::NoMembership);
        }
        if asked.term <= self.hard_state.term {
            return Some(RefusalReason::OlderTerm);
        }
        if self.has_leader_contact() {
            return Some(RefusalReason::LeaderContact {
                leader: self.leader,
            });
        }
        self.reason_against_log(asked)
    }

    fn reason_against_vote(&self, asked: &VoteAsked) -> Option<RefusalReason> {
        if !self.is_initialised() {
            return Some(RefusalReason::NoMembership);
        }
        if let Some(candidate) = self.vote_of_term()
            && candidate != asked.candidate
        {
            return Some(RefusalReason::AlreadyVoted { candidate });
        }
        self.reason_against_log(asked)
    }

    /// The replica that this replica votes for in its term, if it is decided.
    fn vote_of_term(&self) -> Option<ReplicaId> {
        let is_free = matches!(self.role, RoleState::Follower | RoleState::PreCandidate(_));
        let own = (!is_free).then_some(self.config.id);
        self.hard_state.voted_for.or(own)
    }

    fn reason_against_log(&self, asked: &VoteAsked) -> Option<RefusalReason> {
        let is_covered = self.log.is_covered_by(asked.last.index, asked.last.term);
        (!is_covered).then_some(RefusalReason::LogBehind)
    }

    pub(crate) fn on_pre_vote_response(
        &mut self,
        from: ReplicaId,
        candidate_term: Term,
        granted: bool,
    ) {
        let RoleState::PreCandidate(votes) = &mut self.role else {
            return;
        };
        if candidate_term.0 != self.hard_state.term.0 + 1 {
            return;
        }
        votes.count(from, granted);
        let votes = votes.clone();
        if granted && self.is_quorum(&votes) {
            self.start_election(false);
        }
    }

    pub(crate) fn on_vote_response(&mut self, from: ReplicaId, granted: bool) {
        let RoleState::Candidate(votes) = &mut self.role else {
            return;
        };
        votes.count(from, granted);
        let votes = votes.clone();
        if granted && self.is_quorum(&votes) {
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

    fn is_quorum(&self, votes: &Votes) -> bool {
        let voters = &self.membership().voters;
        voters.intersection(&votes.granted).count() > voters.len() / 2
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
