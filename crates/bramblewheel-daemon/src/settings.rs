//! The settings file: TOML, checked as a whole before anything is opened.

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
