//! Reading the settings file, and saying where a fault stands in it.

use crate::settings::Settings;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
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
