//! Sections of the settings file.

use serde::Deserialize;
use std::net::SocketAddr;
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

/// Log settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least level written: error, warning, info, debug or trace.
    pub level: LogLevel,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
        }
    }
}

/// Least level written.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum LogLevel {
    Error,
    Warning,
    Info,
    Debug,
    Trace,
}

impl From<LogLevel> for slog::Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warning => Self::Warning,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
            LogLevel::Trace => Self::Trace,
        }
    }
}
