//! Sections of the settings file.

use crate::node::SparePolicy;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Addresses to listen on. Port 0 lets the operating system choose a port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For messages of other replicas.
    pub peer: SocketAddr,
    /// For daemons and operators.
    pub service: SocketAddr,
    /// For health checks and metrics.
    pub admin: SocketAddr,
    /// IP address that the listeners bind instead, at the same ports. For networks that translate the
    /// addresses above.
    #[serde(default)]
    pub bind: Option<IpAddr>,
}

impl ListenSettings {
    /// Address that a listener binds so that others reach it at `advertised`.
    pub fn bind_address(&self, advertised: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.bind.unwrap_or(advertised.ip()), advertised.port())
    }

    /// Address at which others reach a listener that is listed as `listed` and was bound at `bound`.
    pub fn advertised_address(&self, listed: SocketAddr, bound: SocketAddr) -> SocketAddr {
        match self.bind {
            Some(_) => SocketAddr::new(listed.ip(), bound.port()),
            None => bound,
        }
    }
}

/// Timing of the group.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// Interval between the leader's heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Least silence of the leader before an election, and greatest age of the last proof of a quorum
    /// at which a replica may still answer from its state, in milliseconds.
    pub election_ms: u64,
    /// Silence after which a daemon is removed from the directory, in milliseconds.
    pub daemon_lease_ms: u64,
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            election_ms: 600,
            daemon_lease_ms: 6_000,
        }
    }
}

impl TimingSettings {
    /// Interval between the leader's heartbeats.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Least silence of the leader before an election.
    pub fn election(&self) -> Duration {
        Duration::from_millis(self.election_ms)
    }

    /// Silence after which a daemon is removed from the directory.
    pub fn daemon_lease(&self) -> Duration {
        Duration::from_millis(self.daemon_lease_ms)
    }
}

/// Storage of the log and snapshots.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StorageSettings {
    /// Number of entries after which the log is compacted into a snapshot.
    pub snapshot_interval: u64,
}

impl Default for StorageSettings {
    fn default() -> Self {
        Self {
            snapshot_interval: 10_000,
        }
    }
}

/// Formation of the group.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FormationSettings {
    /// Peer addresses of the first voters; must be the same at all of them. A replica among them that
    /// starts for the first time founds the group with the others, without an operator.
    pub founders: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time. Must be `false` for a replica that lost
    /// its disk, since it must not vote under its earlier identity as a founder.
    pub first_start: bool,
    /// Whether the group is configured by route tables without signatures. Must be enabled explicitly,
    /// because anyone who can reach the operators' interface may then change the configuration.
    pub unsigned_tables: bool,
}

/// Spare replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpareSettings {
    /// Service addresses of members of a group, to which a replica without a group offers itself as a
    /// spare. Empty if the replica is not a spare.
    pub offer_to: Vec<SocketAddr>,
    /// Silence after which the leader replaces a voter by a spare, in milliseconds; 0 for never.
    pub replace_after_ms: u64,
    /// Least time from the beginning of any replacement to the next automatic one, in milliseconds.
    pub period_ms: u64,
    /// Time between offers, in milliseconds.
    pub offer_interval_ms: u64,
    /// Silence after which the leader replaces a voter by a spare, for deployments that must replace lost
    /// machines within seconds; in milliseconds, 0 for never. Overrides `replace_after_ms` and `period_ms`.
    /// A voter that merely restarts may then be replaced by a spare.
    pub fast_repair_ms: u64,
    /// Number of voters that the group should have; spares are added until it is reached. The group
    /// tolerates the simultaneous loss of fewer than half of them. 0 leaves the number unchanged.
    pub voters: usize,
}

impl Default for SpareSettings {
    /// Automatic replacement is off. The period of four hours exceeds the longest network partition between
    /// regions that is planned for.
    fn default() -> Self {
        Self {
            offer_to: Vec::new(),
            replace_after_ms: 0,
            period_ms: 14_400_000,
            offer_interval_ms: 5_000,
            fast_repair_ms: 0,
            voters: 0,
        }
    }
}

impl SpareSettings {
    /// Policy by which the leader replaces a silent voter by a spare; `None` if it never does.
    pub fn policy(&self) -> Option<SparePolicy> {
        if self.fast_repair_ms > 0 {
            return Some(SparePolicy {
                silence: Duration::from_millis(self.fast_repair_ms),
                period: Duration::ZERO,
                voters: self.voters,
            });
        }
        let policy = SparePolicy {
            silence: Duration::from_millis(self.replace_after_ms),
            period: Duration::from_millis(self.period_ms),
            voters: self.voters,
        };
        (self.replace_after_ms > 0).then_some(policy)
    }
}

/// Connections of daemons and operators.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Time without a request, answered or not, after which a connection is closed, in milliseconds. Clients open another
    /// one for the next request.
    pub idle_timeout_ms: u64,
}

impl Default for ServiceSettings {
    /// Longer than clients keep an idle connection ([`bramblewheel_protocol::MAX_IDLE`]).
    fn default() -> Self {
        Self {
            idle_timeout_ms: 60_000,
        }
    }
}

impl ServiceSettings {
    /// Time without a request after which a connection is closed.
    pub fn idle_timeout(&self) -> Duration {
        Duration::from_millis(self.idle_timeout_ms)
    }
}

/// Limits of the admin listener.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdminSettings {
    /// Connections open at one time; further ones are closed immediately.
    pub connections: usize,
    /// Time-out for a message head, in milliseconds; also closes idle connections.
    pub header_timeout_ms: u64,
}

impl Default for AdminSettings {
    /// Enough connections for all health probes and metrics collectors of a site. The time-out is the same
    /// as in the daemon.
    fn default() -> Self {
        Self {
            connections: 256,
            header_timeout_ms: 10_000,
        }
    }
}

impl AdminSettings {
    /// Time-out for a message head.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }
}
