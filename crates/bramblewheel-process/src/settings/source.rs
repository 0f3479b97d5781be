//! The text of a settings file, to say where a fault is.

use super::SettingsError;
use serde::de::DeserializeOwned;
use std::fs;
use std::path::Path;

/// Reads the text of a settings file.
///
/// # Errors
/// [`SettingsError::Unreadable`] with what the operating system says.
pub fn read(file: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(file).map_err(|error| SettingsError::Unreadable {
        file: file.to_owned(),
        error,
    })
}

/// The text being checked, with the name of its file.
#[derive(Clone, Copy, Debug)]
pub struct SettingsSource<'a> {
    file: &'a Path,
    text: &'a str,
}

impl<'a> SettingsSource<'a> {
    /// A text; `file` is only named in errors.
    pub fn new(file: &'a Path, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Reads the text as TOML of a shape.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] with the line and key at fault.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, SettingsError> {
        toml::from_str(self.text).map_err(|error| self.syntax(&error))
    }

    /// An error about a key of the file; the first line if the key is on none.
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
        // A missing key stands on no line; the message names it.
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
