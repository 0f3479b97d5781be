//! Roles of a replica and the transition to follower.
//!
//! A replica becomes a follower on a higher term, a lost quorum or a lost election; the transitions to
//! the other roles are in `candidate`.

use crate::leadership::Leadership;
use crate::output::{ProposalResult, ReadResult};
use crate::replica::Replica;
use crate::types::{HardState, ReplicaId, Term};
use rand::RngExt;
use std::collections::BTreeSet;
use std::time::Duration;

/// Role of a replica in its term, for status pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the log from the leader.
    Follower,
    /// Asks the voters for pre-votes.
    PreCandidate,
    /// Asks the voters for votes.
    Candidate,
    /// Appends entries to the log and replicates them.
    Leader,
}

/// Role with its state, which is dropped when the role changes.
#[derive(Debug)]
pub(crate) enum RoleState {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leadership>),
}

/// Answers to the candidate of an election.
#[derive(Clone, Debug)]
pub(crate) struct Votes {
    pub(crate) granted: BTreeSet<ReplicaId>,
    pub(crate) refused: BTreeSet<ReplicaId>,
}

impl Votes {
    /// Begins an election with the candidate's own vote.
    pub(crate) fn of(candidate: ReplicaId) -> Self {
        Self {
            granted: BTreeSet::from([candidate]),
            refused: BTreeSet::new(),
        }
    }

    /// Counts an answer; a granted vote is never taken back.
    pub(crate) fn count(&mut self, voter: ReplicaId, is_granted: bool) {
        if is_granted {
            self.refused.remove(&voter);
            self.granted.insert(voter);
        } else if !self.granted.contains(&voter) {
            self.refused.insert(voter);
        }
    }
}

impl Replica {
    /// Becomes a follower of `leader`, if known, and adopts `term` if it is higher.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if term > self.hard_state.term {
            self.hard_state = HardState {
                term,
                voted_for: None,
            };
        }
        let old = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(leadership) = old {
            self.abandon_pending(*leadership);
        }
        self.leader = leader;
        self.reset_election_timer();
    }

    /// Reports the proposals and reads that a former leader had accepted and can't complete.
    fn abandon_pending(&mut self, leadership: Leadership) {
        let proposals = leadership.proposals.into_values();
        self.proposal_results
            .extend(proposals.map(|id| (id, ProposalResult::Undecided)));
        let reads = leadership.reads.into_pending();
        self.read_results
            .extend(reads.map(|id| (id, ReadResult::LeadershipLost)));
    }

    /// Draws the next election time-out, from one to two times the configured one.
    pub(crate) fn reset_election_timer(&mut self) {
        let shortest = self.config.election_timeout;
        let micros = u64::try_from(shortest.as_micros()).unwrap_or(u64::MAX);
        let jitter = self.random.random_range(0..=micros);
        self.election_due = self.now + shortest + Duration::from_micros(jitter);
    }
}
