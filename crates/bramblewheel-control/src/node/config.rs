//! Settings of one node, and the time it is given.

use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// The time, as the driver reads it just before each call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock; all waits and leases go by it. It must go on while the process is paused or its
    /// machine suspended.
    pub monotonic: Timestamp,
    /// Wall clock, in milliseconds since the Unix epoch; a leader stamps its proposals with what the
    /// clocks of a majority show.
    pub unix_millis: u64,
}

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Identity of this replica and where it is reached.
    pub address: ReplicaAddress,
    /// How often a leader starts a round of messages.
    pub heartbeat: Duration,
    /// Shortest silence of the leader after which a follower campaigns; also how recent the last
    /// proven contact with a quorum must be for an answer.
    pub election: Duration,
    /// Silence after which a daemon is taken out of the directory.
    pub daemon_lease: Duration,
    /// Entries after which the log is cut by a snapshot.
    pub snapshot_interval: u64,
    /// Seed of the election jitter; must differ between replicas and between starts of one.
    pub seed: u64,
}
