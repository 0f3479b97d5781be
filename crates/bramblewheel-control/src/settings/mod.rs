//! The settings file: TOML, checked as a whole before anything is opened.

mod check;
mod sections;

pub use bramblewheel_process::settings::{LogLevel, LogSettings, SettingsError};
pub use sections::{
    AdminSettings, FormationSettings, ListenSettings, SpareSettings, StorageSettings,
    TimingSettings,
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
    /// How the group begins.
    #[serde(default)]
    pub formation: FormationSettings,
    /// Spare replicas.
    #[serde(default)]
    pub spare: SpareSettings,
    /// Limits of the admin listener.
    #[serde(default)]
    pub admin: AdminSettings,
    /// Log of events.
    #[serde(default)]
    pub log: LogSettings,
}

/// Stable name of a replica, such as `control-1`; follows the rules for names.
pub type ReplicaName = bramblewheel_types::DaemonId;

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
