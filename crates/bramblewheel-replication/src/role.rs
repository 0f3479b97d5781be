//! Roles of a replica and the change to follower.
//!
//! Owns what a replica holds only in its role. A higher term, a lost quorum and a lost election all
//! lead to a follower; the changes to the other roles stand in `candidate`.

use crate::leadership::Leadership;
use crate::output::{ProposalResult, ReadResult};
use crate::replica::Replica;
use crate::types::{HardState, ReplicaId, Term};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;

/// What a replica does in its term, for status pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the log.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Orders the log.
    Leader,
}

/// Role with its state.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Box<Leadership>),
}

impl Replica {
    /// Follows in `term`, if it is a higher one, and under `leader` as far as one is known.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
        }
        let old = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(leadership) = old {
            self.give_up(*leadership);
        }
        self.leader = leader;
        self.reset_election_timer();
    }

    /// Reports what a leader had accepted and can't complete.
    fn give_up(&mut self, leadership: Leadership) {
        let proposals = leadership.proposals.into_values();
        self.proposal_results
            .extend(proposals.map(|id| (id, ProposalResult::Undecided)));
        let reads = leadership.reads.into_pending();
        self.read_results
            .extend(reads.map(|id| (id, ReadResult::LeadershipLost)));
    }

    /// Draws the next election timeout: from one to two times the setting.
    pub(crate) fn reset_election_timer(&mut self) {
        let shortest = self.config.election_timeout;
        let micros = u64::try_from(shortest.as_micros()).unwrap_or(u64::MAX);
        let jitter = self.random.random_range(0..=micros);
        self.election_due = self.now + shortest + Duration::from_micros(jitter);
    }
}
