//! Sections of the settings file.

use crate::node::SparePolicy;
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Addresses to listen on; port 0 lets the system choose.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Messages of the other replicas.
    pub peer: SocketAddr,
    /// Daemons and operators.
    pub service: SocketAddr,
    /// Health and metrics.
    pub admin: SocketAddr,
    /// Address that the listeners bind instead, at the same ports, where the one that others know is
    /// translated on the way.
    #[serde(default)]
    pub bind: Option<IpAddr>,
}

impl ListenSettings {
    /// What a listener binds so that others reach it at `known`.
    pub fn bound(&self, known: SocketAddr) -> SocketAddr {
        SocketAddr::new(self.bind.unwrap_or(known.ip()), known.port())
    }

    /// What others know a listener by that was bound at `bound`.
    pub fn known(&self, listed: SocketAddr, bound: SocketAddr) -> SocketAddr {
        match self.bind {
            Some(_) => SocketAddr::new(listed.ip(), bound.port()),
            None => bound,
        }
    }
}

/// Times of the group.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimingSettings {
    /// How often the leader sends to all, in milliseconds.
    pub heartbeat_ms: u64,
    /// Shortest silence of the leader before an election, and how old the last proof of a quorum
    /// may be for an answer, in milliseconds.
    pub election_ms: u64,
    /// Silence after which a daemon is taken out of the directory, in milliseconds.
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
    /// How often the leader sends to all.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Shortest silence of the leader before an election.
    pub fn election(&self) -> Duration {
        Duration::from_millis(self.election_ms)
    }

    /// Silence after which a daemon is taken out of the directory.
    pub fn daemon_lease(&self) -> Duration {
        Duration::from_millis(self.daemon_lease_ms)
    }
}

/// Log and snapshots on disk.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StorageSettings {
    /// Entries after which the log is cut by a snapshot.
    pub snapshot_interval: u64,
}

impl Default for StorageSettings {
    fn default() -> Self {
        Self {
            snapshot_interval: 10_000,
        }
    }
}

/// How the group begins.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FormationSettings {
    /// Peer addresses of the first voters, the same at all of them. A replica among them that
    /// starts for the first time founds the group with the others, without an operator.
    pub founders: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time. A replica that lost its disk is
    /// started with `false`: it may not vote as the founder it was.
    pub first_start: bool,
    /// Whether this group's configuration are route tables without signatures. Stated here because
    /// whoever reaches the operator's interface may then change it.
    pub unsigned_tables: bool,
}

/// Spare replicas.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SpareSettings {
    /// Service addresses of members of a group. A replica without a group offers itself to them;
    /// empty when it is no spare.
    pub offer_to: Vec<SocketAddr>,
    /// Silence after which the leader replaces a voter by a spare, in milliseconds; 0 for never.
    pub replace_after_ms: u64,
    /// Least time from the begin of any replacement to the next one by a spare, in milliseconds.
    pub period_ms: u64,
    /// Time between offers, in milliseconds.
    pub offer_interval_ms: u64,
    /// Silence after which the leader replaces a voter by a spare where lost machines must be made
    /// up for within seconds, in milliseconds; 0 for never. In place of `replace_after_ms` and
    /// `period_ms`: a machine that only restarts may then lose its vote to the spare.
    pub fast_repair_ms: u64,
    /// Voters that the group should have: spares are made voters until it has them. It bears the
    /// loss of fewer than half of them at once. 0 leaves the group as it is.
    pub voters: usize,
}

impl Default for SpareSettings {
    /// Off. Four hours are beyond the longest cut between regions that is planned for.
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
    /// When the leader replaces a silent voter by a spare, if at all.
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

/// Limits of the admin listener.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdminSettings {
    /// Connections open at one time; further ones are closed at once.
    pub connections: usize,
    /// Time for a message head to arrive, in milliseconds; also ends idle connections.
    pub header_timeout_ms: u64,
}

impl Default for AdminSettings {
    /// Room for every prober and collector of a site; the time is the daemon's.
    fn default() -> Self {
        Self {
            connections: 256,
            header_timeout_ms: 10_000,
        }
    }
}

impl AdminSettings {
    /// Time for a message head to arrive.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }
}
