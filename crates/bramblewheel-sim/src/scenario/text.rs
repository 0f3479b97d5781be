//! The text of a scenario file, to find lines and keys for errors.

use super::error::ScenarioError;
use serde::de::DeserializeOwned;

/// The text of a scenario file with its name.
#[derive(Clone, Copy, Debug)]
pub struct SourceText<'a> {
    file: &'a str,
    text: &'a str,
}

impl<'a> SourceText<'a> {
    /// A text; `file` is the name used in errors.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Reads the text.
    ///
    /// # Errors
    /// [`ScenarioError`] when it is not TOML of the right shape.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, ScenarioError> {
        toml::from_str(self.text).map_err(|error| {
            let start = error.span().map_or(0, |span| span.start);
            let line = self.line_of_offset(start);
            ScenarioError {
                file: self.file.to_owned(),
                line,
                key: self.key_in_line(line),
                message: error.message().to_owned(),
            }
        })
    }

    /// An error about a key that stands in the table beginning at byte `offset`; if the key is
    /// not there, the line is that of the table.
    pub fn error_at(&self, offset: usize, key: &str, message: impl Into<String>) -> ScenarioError {
        let first = self.line_of_offset(offset);
        let last_part = key.rsplit('.').next().unwrap_or(key);
        let mut lines = self.text.lines().enumerate().skip(first - 1);
        let found = lines.find(|(_, line)| key_of(line) == Some(last_part));
        ScenarioError {
            file: self.file.to_owned(),
            line: found.map_or(first, |(index, _)| index + 1),
            key: Some(key.to_owned()),
            message: message.into(),
        }
    }

    /// An error about a key in a table of the file's own, such as `topology.replicas`.
    pub fn error(&self, key: &str, message: impl Into<String>) -> ScenarioError {
        let table = key.rsplit_once('.').map_or("", |(table, _)| table);
        let header = format!("[{table}]");
        let offset = self.text.find(&header).unwrap_or(0);
        self.error_at(offset, key, message)
    }

    fn line_of_offset(&self, offset: usize) -> usize {
        let before = self.text.bytes().take(offset);
        1 + before.filter(|&byte| byte == b'\n').count()
    }

    fn key_in_line(&self, line: usize) -> Option<String> {
        let text = self.text.lines().nth(line - 1)?;
        key_of(text).map(str::to_owned)
    }
}

fn key_of(line: &str) -> Option<&str> {
    let (key, _) = line.split_once('=')?;
    Some(key.trim())
}
