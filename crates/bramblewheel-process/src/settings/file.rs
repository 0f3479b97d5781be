//! A settings file as a whole: read, changed by the command line, checked.

use super::{SettingsError, SettingsSource, read};
use serde::de::DeserializeOwned;
use std::path::Path;

/// Settings that a program reads from a file; values from the command line win over it.
pub trait SettingsFile: DeserializeOwned {
    /// Values from the command line.
    type Overrides;

    /// Puts the values from the command line in place of the file's.
    fn apply(&mut self, overrides: Self::Overrides);

    /// The first fault that the types can't express: key and reason.
    fn fault(&self) -> Option<(&'static str, String)>;

    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] with the file, line and key at fault.
    fn load(file: &Path, overrides: Self::Overrides) -> Result<Self, SettingsError> {
        Self::parse(file, &read(file)?, overrides)
    }

    /// Checks the text of a settings file; `file` is only named in errors.
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
