//! What a replica observed in elections, for its driver to log.

use crate::replica::Replica;
use crate::role::Votes;
use crate::types::{LogIndex, ReplicaId, Term};
use std::fmt;

/// An observation of a replica that the driver may log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This replica refused its vote to another one.
    VoteRefused(VoteRefusal),
    /// An election of this replica timed out without the votes of a quorum.
    ElectionWithoutQuorum(FailedElection),
}

/// A vote or pre-vote that this replica refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoteRefusal {
    /// The replica that asked.
    pub candidate: ReplicaId,
    /// What it asked for.
    pub ballot: Ballot,
    /// Term that the candidate wants to lead.
    pub candidate_term: Term,
    /// Last entry of the candidate's log.
    pub candidate_last: LastEntry,
    /// Term of this replica.
    pub own_term: Term,
    /// Last entry of this replica's log.
    pub own_last: LastEntry,
    /// Why it was refused.
    pub reason: RefusalReason,
}

/// An election that ended without a leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedElection {
    /// What the voters were asked for.
    pub ballot: Ballot,
    /// Term that this replica wanted to lead.
    pub term: Term,
    /// Replicas that granted their vote, with this one.
    pub granted: Vec<ReplicaId>,
    /// Replicas that refused their vote.
    pub refused: Vec<ReplicaId>,
    /// Voters that did not answer.
    pub silent: Vec<ReplicaId>,
}

/// What a candidate asks the voters for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ballot {
    /// Whether they would vote for it.
    PreVote,
    /// Their vote.
    Vote,
}

/// Position of the last entry of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastEntry {
    /// Its term.
    pub term: Term,
    /// Its index.
    pub index: LogIndex,
}

/// Why a vote was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// This replica has no membership that contains it.
    NoMembership,
    /// The term is over: it is below this replica's or, for a pre-vote, not above it.
    OlderTerm,
    /// This replica has voted in the term already.
    AlreadyVoted {
        /// The replica that has the vote.
        candidate: ReplicaId,
    },
    /// This replica leads, or heard a leader within the election time-out.
    LeaderContact {
        /// The leader; `None` if it led an earlier term.
        leader: Option<ReplicaId>,
    },
    /// The candidate's log lacks entries that this replica has.
    LogBehind,
}

impl fmt::Display for Ballot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::PreVote => "pre_vote",
            Self::Vote => "vote",
        })
    }
}

impl fmt::Display for LastEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.index.0, self.term.0)
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoMembership => formatter.write_str("no_membership"),
            Self::OlderTerm => formatter.write_str("older_term"),
            Self::AlreadyVoted { candidate } => {
                write!(formatter, "already_voted:{:016x}", candidate.0)
            }
            Self::LeaderContact { leader: None } => formatter.write_str("leader_contact"),
            Self::LeaderContact {
                leader: Some(leader),
            } => write!(formatter, "leader_contact:{:016x}", leader.0),
            Self::LogBehind => formatter.write_str("log_behind"),
        }
    }
}

/// A request for a vote or pre-vote.
#[derive(Clone, Copy)]
pub(crate) struct VoteAsked {
    pub(crate) candidate: ReplicaId,
    pub(crate) ballot: Ballot,
    pub(crate) term: Term,
    pub(crate) last: LastEntry,
}

impl Replica {
    /// Reports that a vote is refused.
    pub(crate) fn report_refusal(&mut self, asked: VoteAsked, reason: RefusalReason) {
        let refusal = VoteRefusal {
            candidate: asked.candidate,
            ballot: asked.ballot,
            candidate_term: asked.term,
            candidate_last: asked.last,
            own_term: self.hard_state.term,
            own_last: LastEntry {
                term: self.log.last_term(),
                index: self.log.last_index(),
            },
            reason,
        };
        self.events.push(Event::VoteRefused(refusal));
    }

    /// Reports that an election ended without the votes of a quorum.
    pub(crate) fn report_failed_election(&mut self, ballot: Ballot, term: Term, votes: &Votes) {
        let voters = self.membership().voters.iter().copied();
        let is_silent =
            |voter: &ReplicaId| !votes.granted.contains(voter) && !votes.refused.contains(voter);
        let election = FailedElection {
            ballot,
            term,
            granted: votes.granted.iter().copied().collect(),
            refused: votes.refused.iter().copied().collect(),
            silent: voters.filter(is_silent).collect(),
        };
        self.events.push(Event::ElectionWithoutQuorum(election));
    }
}
