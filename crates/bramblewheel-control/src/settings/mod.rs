//! The settings file, in TOML. It is checked as a whole before any file or socket is opened.

mod check;
mod sections;

pub use bramblewheel_process::settings::{LogLevel, LogSettings, SettingsError};
pub use sections::{
    AdminSettings, FormationSettings, ListenSettings, ServiceSettings, SpareSettings,
    StorageSettings, TimingSettings,
};

use bramblewheel_process::settings::SettingsFile;
use bramblewheel_types::{RegionName, ZoneName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of a control replica.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Stable name of the replica.
    pub name: ReplicaName,
    /// Zone that the replica runs in.
    pub zone: ZoneName,
    /// Region that the replica runs in.
    pub region: RegionName,
    /// Folder for the log, the snapshots and the identity; not shared with other replicas.
    pub data_folder: PathBuf,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Timing of the group; must be the same at all replicas.
    #[serde(default)]
    pub timing: TimingSettings,
    /// Storage of the log and snapshots.
    #[serde(default)]
    pub storage: StorageSettings,
    /// Formation of the group.
    #[serde(default)]
    pub formation: FormationSettings,
    /// Spare replicas.
    #[serde(default)]
    pub spare: SpareSettings,
    /// Connections of daemons and operators.
    #[serde(default)]
    pub service: ServiceSettings,
    /// Limits of the admin listener.
    #[serde(default)]
    pub admin: AdminSettings,
    /// Event log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Stable name of a replica, such as `control-1`; follows the rules for names.
pub type ReplicaName = bramblewheel_types::DaemonId;

/// Values from the command line that override the file.
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

impl SettingsFile for Settings {
    type Overrides = Overrides;

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

    fn fault(&self) -> Option<(&'static str, String)> {
        self.first_fault()
    }
}
