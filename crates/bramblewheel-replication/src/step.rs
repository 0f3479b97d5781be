//! Processing of messages and of time.
//!
//! Applies the rules on terms, which hold for every message, and passes the message on to the handler in
//! the module of the role.

use crate::events::{Ballot, LastEntry, RefusalReason, VoteAsked};
use crate::message::{Body, Message};
use crate::replica::Replica;
use crate::role::RoleState;
use crate::types::ReplicaId;
use bramblewheel_types::Timestamp;

impl Replica {
    /// Advances the clock and runs what is due; to be called at [`next_wakeup`](Self::next_wakeup) or more often.
    pub fn tick(&mut self, now: Timestamp) {
        self.advance_clock(now);
        if matches!(self.role, RoleState::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_due && self.can_campaign() {
            self.start_pre_vote();
        }
    }

    /// Processes a message from another replica.
    pub fn receive(&mut self, now: Timestamp, from: ReplicaId, message: Message) {
        self.advance_clock(now);
        if from == self.config.id {
            return;
        }
        self.note_heard(from);
        if message.term > self.hard_state.term && !self.accept_term(from, &message) {
            return;
        }
        // A replica with an older term may still grant a pre-vote for the next term.
        let is_pre_vote = matches!(message.body, Body::PreVoteResponse { .. });
        if message.term < self.hard_state.term && !is_pre_vote {
            self.refuse_old_term(from, message);
            return;
        }
        self.dispatch(from, message);
    }

    fn dispatch(&mut self, from: ReplicaId, message: Message) {
        if let Some(asked) = vote_asked(from, &message) {
            return self.on_vote_asked(asked);
        }
        match message.body {
            // Handled above.
            Body::PreVoteRequest { .. } | Body::VoteRequest { .. } => {}
            Body::PreVoteResponse {
                candidate_term,
                granted,
            } => self.on_pre_vote_response(from, candidate_term, granted),
            Body::VoteResponse { granted } => self.on_vote_response(from, granted),
            Body::Append { .. } => self.on_append(from, message.body),
            Body::InstallSnapshot { snapshot, round } => {
                self.on_install_snapshot(from, snapshot, round);
            }
            Body::AppendResponse {
                round,
                result,
                token,
            } => self.on_append_response(from, round, result, token),
            Body::TransferLeadership => self.on_transfer_leadership(from),
        }
    }

    /// Records the time of a member's message. Former members are forgotten.
    fn note_heard(&mut self, from: ReplicaId) {
        let membership = self.log.membership().1;
        self.last_heard
            .retain(|replica, _| membership.contains(*replica));
        if membership.contains(from) {
            self.last_heard.insert(from, self.now);
        }
    }

    /// Advances the clock. A leader that has lost its quorum in the meantime steps down before it does
    /// anything else, also after the process was frozen.
    pub(crate) fn advance_clock(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        if self.leader_lost_quorum() {
            self.become_follower(self.hard_state.term, None);
        }
    }

    /// Adopts the higher term of a message; `false` if the message must be ignored.
    fn accept_term(&mut self, from: ReplicaId, message: &Message) -> bool {
        if let Some(reason) = self.reason_to_ignore(message) {
            if let Some(asked) = vote_asked(from, message) {
                self.report_refusal(asked, reason);
            }
            return false;
        }
        // A replica that loses a pre-vote must not raise the term of others.
        if !matches!(message.body, Body::PreVoteRequest { .. }) {
            self.become_follower(message.term, None);
        }
        true
    }

    /// Why a vote request of a higher term is ignored, so that it doesn't raise this replica's term.
    fn reason_to_ignore(&self, message: &Message) -> Option<RefusalReason> {
        let Body::VoteRequest { transfer, .. } = message.body else {
            return None;
        };
        if !self.is_initialised() {
            return Some(RefusalReason::NoMembership);
        }
        let has_contact = !transfer && self.has_leader_contact();
        has_contact.then_some(RefusalReason::LeaderContact {
            leader: self.leader,
        })
    }

    /// Refuses a message of an older term, so that its sender learns the current term.
    fn refuse_old_term(&mut self, from: ReplicaId, message: Message) {
        if let Some(asked) = vote_asked(from, &message) {
            self.report_refusal(asked, RefusalReason::OlderTerm);
        }
        match message.body {
            Body::PreVoteRequest { candidate_term, .. } => {
                let granted = false;
                let body = Body::PreVoteResponse {
                    candidate_term,
                    granted,
                };
                self.send(from, body);
            }
            Body::VoteRequest { .. } => self.send(from, Body::VoteResponse { granted: false }),
            Body::Append { previous_index, .. } => self.refuse_append(from, 0, previous_index),
            Body::InstallSnapshot { snapshot, .. } => self.refuse_append(from, 0, snapshot.index),
            _ => {}
        }
    }

    /// Time at which [`tick`](Self::tick) is due at the latest.
    pub fn next_wakeup(&self) -> Timestamp {
        match &self.role {
            RoleState::Leader(leadership) => leadership.heartbeat_due,
            _ if self.can_campaign() => self.election_due,
            _ => Timestamp::NEVER,
        }
    }
}

/// The vote or pre-vote that a message asks for, if it does.
fn vote_asked(from: ReplicaId, message: &Message) -> Option<VoteAsked> {
    let (ballot, term, last_term, last_index) = match message.body {
        Body::PreVoteRequest {
            candidate_term,
            last_index,
            last_term,
        } => (Ballot::PreVote, candidate_term, last_term, last_index),
        Body::VoteRequest {
            last_index,
            last_term,
            transfer: _,
        } => (Ballot::Vote, message.term, last_term, last_index),
        _ => return None,
    };
    Some(VoteAsked {
        candidate: from,
        ballot,
        term,
        last: LastEntry {
            term: last_term,
            index: last_index,
        },
    })
}
