//! The settings file (TOML), checked completely before any file or listener is opened.

mod check;
mod load;

pub use bramblewheel_process::settings::{LogLevel, LogSettings, SettingsError};
pub use load::Overrides;

use bramblewheel_types::{DaemonId, EndpointId, RegionName, ServiceName, ZoneName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Settings of a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Stable name of the daemon.
    pub name: DaemonId,
    /// Zone of the daemon.
    pub zone: ZoneName,
    /// Region of the daemon.
    pub region: RegionName,
    /// Folder for the bundle in force.
    pub data_folder: PathBuf,
    /// Service addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Services called through this daemon.
    #[serde(default)]
    pub calls: Vec<ServiceName>,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The endpoint served by the daemon; absent for a gateway.
    pub endpoint: Option<EndpointSettings>,
    /// Session tokens.
    pub sessions: Option<SessionSettings>,
    /// Log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on messages and connections of peers.
    #[serde(default)]
    pub limits: LimitSettings,
}

/// Addresses to listen on; with port 0 the system chooses a free port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Calls from other daemons; absent on a gateway.
    pub inbound: Option<SocketAddr>,
    /// Calls from applications, or from external callers at a gateway.
    pub outbound: SocketAddr,
    /// Health and metrics.
    pub admin: SocketAddr,
}

/// The endpoint served by a daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSettings {
    /// Name of the endpoint.
    pub name: EndpointId,
    /// Service of the endpoint.
    pub service: ServiceName,
    /// Address of the endpoint.
    pub address: SocketAddr,
}

/// Session tokens.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionSettings {
    /// File with lines `key-id hex-secret`; tokens are minted with the first key and verified with
    /// all.
    pub key_file: PathBuf,
}

/// Limits on messages and connections of peers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum number of headers of one message.
    pub header_count: usize,
    /// Maximum size of the head of one message, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, and of an answer that is buffered until it is complete, in
    /// bytes.
    pub body_bytes: usize,
    /// Maximum number of open connections at one listener.
    pub connections: usize,
    /// Time-out for receiving a message head, in milliseconds; also closes idle connections.
    pub header_timeout_ms: u64,
    /// Time-out for receiving a request body, in milliseconds.
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
    /// Time-out for receiving a message head.
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Time-out for receiving a request body.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }
}
