//! Command-line overrides of the settings file.

use crate::settings::Settings;
use bramblewheel_process::settings::SettingsFile;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Values from the command line that override the file.
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

impl SettingsFile for Settings {
    type Overrides = Overrides;

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

    fn fault(&self) -> Option<(&'static str, String)> {
        self.first_fault()
    }
}
