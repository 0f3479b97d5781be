//! Text of a settings file, used to locate faults.

use super::SettingsError;
use serde::de::DeserializeOwned;
use std::fs;
use std::path::Path;

/// Reads the text of a settings file.
///
/// # Errors
/// [`SettingsError::Unreadable`] with the error of the operating system.
pub fn read(file: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(file).map_err(|error| SettingsError::Unreadable {
        file: file.to_owned(),
        error,
    })
}

/// Text of a settings file, with the name of the file.
#[derive(Clone, Copy, Debug)]
pub struct SettingsSource<'a> {
    file: &'a Path,
    text: &'a str,
}

impl<'a> SettingsSource<'a> {
    /// Creates a source from a text; `file` is used in errors only.
    pub fn new(file: &'a Path, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Deserializes the text from TOML.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] with the line and key at fault.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, SettingsError> {
        toml::from_str(self.text).map_err(|error| self.syntax(&error))
    }

    /// Creates an error about a key of the file, with the key's line or, if it is missing, the first line.
    pub fn fault(&self, key: &str, reason: &str) -> SettingsError {
        let names_key = |line: &str| line.split('=').next().unwrap_or_default().trim() == key;
        let line = self.text.lines().position(names_key).unwrap_or(0);
        self.invalid(line + 1, key, reason)
    }

    fn syntax(&self, error: &toml::de::Error) -> SettingsError {
        let at = error.span().map_or(0, |span| span.start);
        let line = 1 + self.text[..at].matches('\n').count();
        let content = self.text.lines().nth(line - 1).unwrap_or_default();
        let key = content.split('=').next().unwrap_or_default().trim();
        // A missing key has no line of its own; the message contains its name.
        let message = error.message();
        let missing = message.strip_prefix("missing field `");
        let key = missing.map_or(key, |rest| rest.trim_end_matches('`'));
        self.invalid(line, key, message)
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
