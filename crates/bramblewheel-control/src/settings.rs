//! The settings file: TOML, checked as a whole before anything is opened.

use bramblewheel_types::{RegionName, ZoneName};
use serde::Deserialize;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Heartbeats that must fit into an election timeout: a follower's proof of a quorum takes three,
/// and one may be lost.
const LEAST_HEARTBEATS_PER_ELECTION: u64 = 4;

/// The settings can't be used; the text is one line.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the operating system says.
        error: std::io::Error,
    },
    /// A line of the file is wrong.
    #[error("{file}:{line}: {key}: {reason}")]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Line, counted from 1.
        line: usize,
        /// Key on that line.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

/// What a control replica is told at its start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Stable name of the replica.
    pub name: ReplicaName,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Region it runs in.
    pub region: RegionName,
    /// Folder for the log, the snapshots and the identity; belongs to this replica alone.
    pub data_folder: PathBuf,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Times of the group; the same at all replicas.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Log and snapshots on disk.
    #[serde(default)]
    pub storage: StorageSettings,
    /// Limits of the admin listener.
    #[serde(default)]
    pub admin: AdminSettings,
    /// Log of events.
    #[serde(default)]
    pub log: LogSettings,
}

/// Stable name of a replica, such as `control-1`; follows the rules for names.
pub type ReplicaName = bramblewheel_types::DaemonId;

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

/// Values from the command line that win over the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Replaces `data_folder`.
    pub data_folder: Option<PathBuf>,
    /// Replaces `listen.peer`.
    pub listen_peer: Option<SocketAddr>,
    /// Replaces `listen.service`.
    pub listen_service: Option<SocketAddr>,
    /// Replaces `listen.admin`.
    pub listen_admin: Option<SocketAddr>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] with the file, line and key at fault.
    pub fn load(file: &Path, overrides: Overrides) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(file).map_err(|error| SettingsError::Unreadable {
            file: file.to_owned(),
            error,
        })?;
        Self::parse(file, &text, overrides)
    }

    /// Checks the text of a settings file; `file` is only named in errors.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] with the line and key at fault.
    pub fn parse(file: &Path, text: &str, overrides: Overrides) -> Result<Self, SettingsError> {
        let source = Source { file, text };
        let mut settings: Self = toml::from_str(text).map_err(|error| source.syntax(&error))?;
        settings.apply(overrides);
        match settings.fault() {
            Some((key, reason)) => Err(source.fault(key, reason)),
            None => Ok(settings),
        }
    }

    fn apply(&mut self, overrides: Overrides) {
        if let Some(folder) = overrides.data_folder {
            self.data_folder = folder;
        }
        if let Some(address) = overrides.listen_peer {
            self.listen.peer = address;
        }
        if let Some(address) = overrides.listen_service {
            self.listen.service = address;
        }
        if let Some(address) = overrides.listen_admin {
            self.listen.admin = address;
        }
    }

    /// The first fault that the types can't express: key and reason.
    fn fault(&self) -> Option<(&'static str, String)> {
        self.address_fault()
            .or_else(|| self.timing_fault())
            .or_else(|| self.admin_fault())
    }

    fn address_fault(&self) -> Option<(&'static str, String)> {
        let named = [
            ("peer", self.listen.peer),
            ("service", self.listen.service),
            ("admin", self.listen.admin),
        ];
        for (index, &(key, address)) in named.iter().enumerate() {
            let clash = named[..index].iter().find(|(_, a)| clashes(*a, address));
            if let Some((other, _)) = clash {
                return Some((key, format!("{address} is already used by `{other}`")));
            }
        }
        let given_out = named[..2].iter().find(|(_, a)| a.ip().is_unspecified());
        given_out.map(|(key, address)| {
            let reason = format!("{address} can't be given to others: name one address");
            (*key, reason)
        })
    }

    fn admin_fault(&self) -> Option<(&'static str, String)> {
        let above_zero = [
            ("connections", self.admin.connections as u64),
            ("header_timeout_ms", self.admin.header_timeout_ms),
        ];
        let zero = above_zero.iter().find(|(_, value)| *value == 0);
        zero.map(|(key, _)| (*key, "must be above zero".to_owned()))
    }

    fn timing_fault(&self) -> Option<(&'static str, String)> {
        let TimingSettings {
            heartbeat_ms,
            election_ms,
            daemon_lease_ms,
        } = self.timing;
        if heartbeat_ms == 0 {
            return Some(("heartbeat_ms", "must be above zero".to_owned()));
        }
        if self.storage.snapshot_interval == 0 {
            return Some(("snapshot_interval", "must be above zero".to_owned()));
        }
        let least = heartbeat_ms.saturating_mul(LEAST_HEARTBEATS_PER_ELECTION);
        if election_ms < least {
            let reason = format!(
                "{election_ms} is below {LEAST_HEARTBEATS_PER_ELECTION} heartbeats ({least})"
            );
            return Some(("election_ms", reason));
        }
        // A leader must have lost its office before it could judge daemons by what it missed.
        let least = election_ms.saturating_mul(2);
        if daemon_lease_ms < least {
            let reason = format!("{daemon_lease_ms} is below two election timeouts ({least})");
            return Some(("daemon_lease_ms", reason));
        }
        None
    }
}

fn clashes(one: SocketAddr, other: SocketAddr) -> bool {
    let same_host =
        one.ip() == other.ip() || one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_host
}

/// The text being checked, to say where a fault is.
struct Source<'a> {
    file: &'a Path,
    text: &'a str,
}

impl Source<'_> {
    fn syntax(&self, error: &toml::de::Error) -> SettingsError {
        let at = error.span().map_or(0, |span| span.start);
        let line = 1 + self.text[..at].matches('\n').count();
        let content = self.text.lines().nth(line - 1).unwrap_or_default();
        let key = content.split('=').next().unwrap_or_default().trim();
        // A missing key stands on no line; the message names it.
        let message = error.message();
        let missing = message.strip_prefix("missing field `");
        let key = missing.map_or(key, |rest| rest.trim_end_matches('`'));
        self.invalid(line, key, message)
    }

    fn fault(&self, key: &str, reason: String) -> SettingsError {
        let names_key = |line: &str| line.split('=').next().unwrap_or_default().trim() == key;
        let line = self.text.lines().position(names_key).unwrap_or(0);
        self.invalid(line + 1, key, &reason)
    }

    fn invalid(&self, line: usize, key: &str, reason: &str) -> SettingsError {
        SettingsError::Invalid {
            file: self.file.to_owned(),
            line,
            key: key.to_owned(),
            reason: reason.replace('\n', " "),
        }
    }
}
