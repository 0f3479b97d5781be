//! Settings of one node, and the time that the driver passes to it.

use bramblewheel_protocol::control::ReplicaAddress;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// The time as read by the driver just before each call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock, used for all waits and leases. It must continue to run while the process is paused
    /// or its machine is suspended.
    pub monotonic: Timestamp,
    /// Wall clock, in milliseconds since the Unix epoch. A leader stamps its proposals with the time that
    /// the wall clocks of a majority have reached.
    pub unix_millis: u64,
}

/// Settings of one node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Id and addresses of this replica.
    pub address: ReplicaAddress,
    /// Interval at which a leader sends heartbeats.
    pub heartbeat: Duration,
    /// Least silence of the leader after which a follower starts an election. Also the longest time
    /// since the last proven contact with a quorum at which the replica may still answer from its
    /// state.
    pub election: Duration,
    /// Silence after which a daemon is removed from the directory.
    pub daemon_lease: Duration,
    /// Number of entries after which the log is compacted into a snapshot.
    pub snapshot_interval: u64,
    /// Seed of the election jitter; must differ between replicas and between starts of one replica.
    pub seed: u64,
}
