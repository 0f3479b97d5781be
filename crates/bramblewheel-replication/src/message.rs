//! Messages between replicas.

use crate::types::{Entry, LogIndex, Snapshot, Term};
use bramblewheel_types::Timestamp;
use serde::{Deserialize, Serialize};

/// A message between two replicas of one group.
///
/// Loss, duplication and reordering are all allowed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Current term of the sender.
    pub term: Term,
    /// Content.
    pub body: Body,
}

/// A moment on the clock of the replica that made it, opaque to all others.
///
/// A follower sends one with each answer. The leader sends it back once a quorum has answered a
/// round begun after it came, which proves to the follower that there was a leader with a quorum
/// after that moment, even if the follower was frozen with old messages waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactToken {
    /// Drawn at each start of the replica; tokens of an earlier start prove nothing.
    pub session: u64,
    /// The moment.
    pub at: Timestamp,
}

/// Content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender; changes no state.
    PreVoteRequest {
        /// Term the sender would campaign in.
        candidate_term: Term,
        /// Last entry of the sender.
        last_index: LogIndex,
        /// Its term.
        last_term: Term,
    },
    /// Answers a `PreVoteRequest`.
    PreVoteResponse {
        /// Term of the request.
        candidate_term: Term,
        /// Whether the receiver would get the vote.
        granted: bool,
    },
    /// Asks for the vote in the sender's term.
    VoteRequest {
        /// Last entry of the sender.
        last_index: LogIndex,
        /// Its term.
        last_term: Term,
        /// The leader asked the sender to take over, so contact with the leader is no obstacle.
        transfer: bool,
    },
    /// Answers a `VoteRequest` of the same term.
    VoteResponse {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Appends entries; a heartbeat if there are none.
    Append {
        /// Entry before the first one here.
        previous_index: LogIndex,
        /// Its term.
        previous_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: LogIndex,
        /// Round of the leader that this message belongs to.
        round: u64,
        /// A token of the receiver after which a quorum answered the leader.
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
        /// What became of the entries.
        result: AppendResult,
        /// For the leader to send back.
        token: ContactToken,
    },
    /// Asks the receiver to campaign at once.
    TransferLeadership,
}

/// What became of appended entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's synced log agrees with the leader's up to here.
    Matched {
        /// Last entry that agrees.
        index: LogIndex,
    },
    /// The follower has no such entry before the first one.
    Conflict {
        /// `previous_index` of the refused message.
        previous_index: LogIndex,
        /// Highest entry of the follower that may agree.
        hint_index: LogIndex,
        /// Its term.
        hint_term: Term,
    },
}
