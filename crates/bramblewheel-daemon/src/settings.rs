//! The settings file: TOML, checked as a whole before anything is opened.

use bramblewheel_types::{DaemonId, EndpointId, RegionName, ServiceName, ZoneName};
use serde::Deserialize;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

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

/// What a daemon is told at its start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Stable name of the daemon.
    pub name: DaemonId,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Region it runs in.
    pub region: RegionName,
    /// Folder for the bundle in force.
    pub data_folder: PathBuf,
    /// Service addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Services called from here.
    #[serde(default)]
    pub calls: Vec<ServiceName>,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The endpoint the daemon stands beside; none for a gateway.
    pub endpoint: Option<EndpointSettings>,
    /// Session tokens.
    pub sessions: Option<SessionSettings>,
    /// Log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on what peers may send.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Addresses to listen on; port 0 lets the system choose.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Calls from other daemons; absent on a gateway.
    pub inbound: Option<SocketAddr>,
    /// Calls from applications, or from outside callers at a gateway.
    pub outbound: SocketAddr,
    /// Health and metrics.
    pub admin: SocketAddr,
}

/// The endpoint that a daemon stands beside.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Its name.
    pub name: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
}

/// Session tokens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionSettings {
    /// File of lines `key-id hex-secret`; the first mints, all verify.
    pub key_file: PathBuf,
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

/// Limits on what peers may send and hold open.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Headers of one message.
    pub header_count: usize,
    /// Bytes of one message's head.
    pub header_bytes: usize,
    /// Bytes of a request body, and of an answer that is held until it is whole.
    pub body_bytes: usize,
    /// Connections open at one listener.
    pub connections: usize,
    /// Time for a message head to arrive, in milliseconds; also ends idle connections.
    pub header_timeout_ms: u64,
    /// Time for a request body to arrive, in milliseconds.
    pub body_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            header_count: 64,
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            connections: 4096,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
        }
    }
}

impl LimitSettings {
    /// Time for a message head to arrive.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Time for a request body to arrive.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }
}

/// Values from the command line that win over the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Replaces `data_folder`.
    pub data_folder: Option<PathBuf>,
    /// Replaces `listen.inbound`.
    pub listen_inbound: Option<SocketAddr>,
    /// Replaces `listen.outbound`.
    pub listen_outbound: Option<SocketAddr>,
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
        if overrides.listen_inbound.is_some() {
            self.listen.inbound = overrides.listen_inbound;
        }
        if let Some(address) = overrides.listen_outbound {
            self.listen.outbound = address;
        }
        if let Some(address) = overrides.listen_admin {
            self.listen.admin = address;
        }
    }

    /// The first fault that the types can't express: key and reason.
    fn fault(&self) -> Option<(&'static str, String)> {
        self.missing_fault()
            .or_else(|| self.address_fault())
            .or_else(|| self.limit_fault())
    }

    fn missing_fault(&self) -> Option<(&'static str, String)> {
        if self.control.is_empty() {
            let reason = "at least one control replica is needed";
            return Some(("control", reason.to_owned()));
        }
        if self.endpoint.is_some() && self.listen.inbound.is_none() {
            let reason = "missing key `inbound`: a daemon with an endpoint needs it";
            return Some(("[listen]", reason.to_owned()));
        }
        if self.endpoint.is_none() && self.listen.inbound.is_some() {
            let reason = "a gateway (no `[endpoint]`) has no inbound listener";
            return Some(("inbound", reason.to_owned()));
        }
        None
    }

    fn address_fault(&self) -> Option<(&'static str, String)> {
        let inbound = self.listen.inbound.map(|address| ("inbound", address));
        let endpoint = self.endpoint.as_ref().map(|e| ("address", e.address));
        let listeners = [
            ("outbound", self.listen.outbound),
            ("admin", self.listen.admin),
        ];
        let named: Vec<_> = inbound
            .into_iter()
            .chain(listeners)
            .chain(endpoint)
            .collect();
        for (index, &(key, address)) in named.iter().enumerate() {
            let clash = named[..index].iter().find(|(_, a)| clashes(*a, address));
            if let Some((other, _)) = clash {
                return Some((key, format!("{address} is already used by `{other}`")));
            }
        }
        if let Some(address) = self.listen.inbound.filter(|a| a.ip().is_unspecified()) {
            let reason = format!("{address} can't be given to other daemons: name one address");
            return Some(("inbound", reason));
        }
        let to_connect = self.control.iter().map(|address| ("control", *address));
        to_connect
            .chain(endpoint)
            .find(|(_, address)| address.port() == 0)
            .map(|(key, address)| (key, format!("{address} has no port to connect to")))
    }

    fn limit_fault(&self) -> Option<(&'static str, String)> {
        /// The HTTP library's smallest read buffer.
        const LEAST_HEADER_BYTES: usize = 8192;
        if self.limits.header_bytes < LEAST_HEADER_BYTES {
            let reason = format!("at least {LEAST_HEADER_BYTES} bytes are needed");
            return Some(("header_bytes", reason));
        }
        let positive = [
            ("header_count", self.limits.header_count as u64),
            ("body_bytes", self.limits.body_bytes as u64),
            ("connections", self.limits.connections as u64),
            ("header_timeout_ms", self.limits.header_timeout_ms),
            ("body_timeout_ms", self.limits.body_timeout_ms),
        ];
        positive
            .into_iter()
            .find(|(_, value)| *value == 0)
            .map(|(key, _)| (key, "must be above zero".to_owned()))
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
