//! Settings of one replica.

use crate::types::{Membership, ReplicaId};
use std::time::Duration;

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// How often a leader starts a round of messages to all members.
    pub heartbeat_interval: Duration,
    /// Shortest silence of the leader after which a follower campaigns; the real wait is drawn
    /// from one to two times this. A leader without contact with a quorum for this long steps
    /// down.
    pub election_timeout: Duration,
    /// How recent the last proven contact with a quorum must be for
    /// [`has_quorum`](crate::Replica::has_quorum). Must be above three heartbeat intervals and
    /// two round trips: a follower's proof takes its own answer, a round of the quorum after it,
    /// and the message after that.
    pub lease: Duration,
    /// Most entries in one message.
    pub max_entries_per_message: usize,
    /// Seed of the election jitter. Must differ between replicas and between starts of one.
    pub seed: u64,
    /// First membership of a new group. Used only if nothing was restored; the same at every
    /// first voter.
    pub bootstrap: Option<Membership>,
}
