//! Loading of a settings file: read, overridden by the command line, validated.

use super::{SettingsError, SettingsSource, read};
use serde::de::DeserializeOwned;
use std::path::Path;

/// Settings that a program reads from a file; values from the command line take precedence.
pub trait SettingsFile: DeserializeOwned {
    /// Values from the command line.
    type Overrides;

    /// Replaces values of the file by those from the command line.
    fn apply(&mut self, overrides: Self::Overrides);

    /// The first fault that deserialization doesn't detect: key and reason.
    fn fault(&self) -> Option<(&'static str, String)>;

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] with the file, line and key at fault.
    fn load(file: &Path, overrides: Self::Overrides) -> Result<Self, SettingsError> {
        Self::parse(file, &read(file)?, overrides)
    }

    /// Parses and validates the text of a settings file; `file` is used in errors only.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] with the line and key at fault.
    fn parse(file: &Path, text: &str, overrides: Self::Overrides) -> Result<Self, SettingsError> {
        let source = SettingsSource::new(file, text);
        let mut settings: Self = source.deserialize()?;
        settings.apply(overrides);
        match settings.fault() {
            Some((key, reason)) => Err(source.fault(key, &reason)),
            None => Ok(settings),
        }
    }
}
