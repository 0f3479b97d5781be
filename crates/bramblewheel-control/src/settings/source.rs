//! Says where in the text a fault is.

use super::SettingsError;
use std::path::Path;

/// The text being checked, to say where a fault is.
pub(super) struct Source<'a> {
    pub(super) file: &'a Path,
    pub(super) text: &'a str,
}

impl Source<'_> {
    pub(super) fn syntax(&self, error: &toml::de::Error) -> SettingsError {
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

    pub(super) fn fault(&self, key: &str, reason: String) -> SettingsError {
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
