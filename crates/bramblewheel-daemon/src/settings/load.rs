//! Reading the settings file, and what the command line puts over it.

use crate::settings::Settings;
use bramblewheel_process::settings::{SettingsError, SettingsSource, read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

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
        Self::parse(file, &read(file)?, overrides)
    }

    /// Checks the text of a settings file; `file` is only named in errors.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] with the line and key at fault.
    pub fn parse(file: &Path, text: &str, overrides: Overrides) -> Result<Self, SettingsError> {
        let source = SettingsSource::new(file, text);
        let mut settings: Self = source.deserialize()?;
        settings.apply(overrides);
        match settings.fault() {
            Some((key, reason)) => Err(source.fault(key, &reason)),
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
}
