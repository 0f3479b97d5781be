//! Messages between replicas.

use crate::types::{Entry, LogIndex, Snapshot, Term};
use bramblewheel_types::Timestamp;
use serde::{Deserialize, Serialize};

/// A message between two replicas of one group.
///
/// Messages may be lost, duplicated and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Current term of the sender.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// A time on the clock of the replica that created it, opaque to all others.
///
/// A follower sends one with each answer. The leader sends it back once a quorum has answered a round
/// that began after the token arrived. This proves to the follower that a leader had a quorum after that
/// time, even if the follower was frozen and then reads old messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactToken {
    /// Drawn at random at each start of the replica; tokens of an earlier start are ignored.
    pub session: u64,
    /// Time at which it was created.
    pub at: Timestamp,
}

/// Content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender; changes no state.
    PreVoteRequest {
        /// Term for which the sender would start an election.
        candidate_term: Term,
        /// Last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answers a `PreVoteRequest`.
    PreVoteResponse {
        /// Term of the request.
        candidate_term: Term,
        /// Whether the requesting replica would get the vote.
        granted: bool,
    },
    /// Asks for the vote in the sender's term.
    VoteRequest {
        /// Last entry of the sender's log.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: Term,
        /// Whether the leader asked the sender to take over; the vote is then granted despite contact with
        /// the leader.
        transfer: bool,
    },
    /// Answers a `VoteRequest` of the same term.
    VoteResponse {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries; a heartbeat if there are none.
    Append {
        /// Entry before the first one of `entries`.
        previous_index: LogIndex,
        /// Term of that entry.
        previous_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: LogIndex,
        /// Round of the leader that this message belongs to.
        round: u64,
        /// Latest token of the receiver after which a quorum answered the leader.
        echo: Option<ContactToken>,
    },
    /// Replaces the log of a follower that needs entries the leader no longer has.
    InstallSnapshot {
        /// The whole snapshot.
        snapshot: Snapshot,
        /// Round of the leader that this message belongs to.
        round: u64,
    },
    /// Answers `Append` and `InstallSnapshot`.
    AppendResponse {
        /// Round answered; 0 if the message answered was of an older term.
        round: u64,
        /// Result of the append.
        result: AppendResult,
        /// Token for the leader to send back.
        token: ContactToken,
    },
    /// Asks the receiver to start an election at once.
    TransferLeadership,
}

/// Result of an append at a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's synced log matches the leader's up to an entry.
    Matched {
        /// Last entry that matches.
        index: LogIndex,
    },
    /// The follower's log has no entry with the message's `previous_index` and `previous_term`.
    Conflict {
        /// `previous_index` of the refused message.
        previous_index: LogIndex,
        /// Highest entry of the follower that may match.
        hint_index: LogIndex,
        /// Term of that entry.
        hint_term: Term,
    },
}
