//! Settings of one replica.

use crate::types::{Membership, ReplicaId};
use std::time::Duration;

/// Settings of one replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// Interval at which a leader starts a round of messages to all members.
    pub heartbeat_interval: Duration,
    /// Minimum time without a message from the leader after which a follower starts an election; the actual
    /// time-out is drawn from one to two times this. A leader without contact with a quorum for this long
    /// steps down.
    pub election_timeout: Duration,
    /// Maximum age of the last proven contact with a quorum for
    /// [`has_quorum`](crate::Replica::has_quorum). Must be above three heartbeat intervals and two round
    /// trips: a follower's proof requires its own answer, a later round answered by a quorum, and the
    /// leader's next message.
    pub lease: Duration,
    /// Maximum number of entries in one message.
    pub max_entries_per_message: usize,
    /// Seed of the election jitter. Must differ between replicas and between starts of one.
    pub seed: u64,
    /// First membership of a new group; must be the same at every first voter. Used only if no state was
    /// restored.
    pub bootstrap: Option<Membership>,
}
