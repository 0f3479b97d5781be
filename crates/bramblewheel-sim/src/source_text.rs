//! Source text of an input file; finds the lines and keys for error messages.

use serde::de::DeserializeOwned;
use std::fmt;
use thiserror::Error;

/// An error in an input file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {}{message}", FieldPrefix(.field))]
pub struct SourceError {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// Field that the error is about, if known.
    pub field: Option<String>,
    /// What is wrong.
    pub message: String,
}

struct FieldPrefix<'a>(&'a Option<String>);

impl fmt::Display for FieldPrefix<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(field) => write!(formatter, "{field}: "),
            None => Ok(()),
        }
    }
}

/// Text of a file with its name.
#[derive(Clone, Copy, Debug)]
pub struct SourceText<'a> {
    file: &'a str,
    text: &'a str,
}

impl<'a> SourceText<'a> {
    /// Creates a source text; `file` is the name used in errors.
    pub fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Parses the text.
    ///
    /// # Errors
    /// [`SourceError`] when the text is not TOML or does not match `T`.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, SourceError> {
        toml::from_str(self.text).map_err(|error| {
            let start = error.span().map_or(0, |span| span.start);
            let line = self.line_of_offset(start);
            let field = self.text.lines().nth(line - 1).and_then(key_of);
            self.error_in_line(line, field, error.message())
        })
    }

    /// An error about a key in the table that begins at byte `offset`; points to the start of the table if the key is
    /// missing.
    pub fn error_at(&self, offset: usize, key: &str, message: impl Into<String>) -> SourceError {
        let first = self.line_of_offset(offset);
        let last_part = key.rsplit('.').next().unwrap_or(key);
        let mut lines = self.lines_from(first);
        let found = lines.find(|(_, line)| key_of(line) == Some(last_part));
        let line = found.map_or(first, |(number, _)| number);
        self.error_in_line(line, Some(key), message)
    }

    /// An error about a key in a top-level table, such as `topology.replicas`.
    pub fn error(&self, key: &str, message: impl Into<String>) -> SourceError {
        let table = key.rsplit_once('.').map_or("", |(table, _)| table);
        let header = format!("[{table}]");
        let offset = self.text.find(&header).unwrap_or(0);
        self.error_at(offset, key, message)
    }

    /// An error in the line with the given number, from 1.
    pub(crate) fn error_in_line(
        &self,
        line: usize,
        field: Option<&str>,
        message: impl Into<String>,
    ) -> SourceError {
        SourceError {
            file: self.file.to_owned(),
            line,
            field: field.map(str::to_owned),
            message: message.into(),
        }
    }

    /// Number of the line, from 1, that contains byte `offset`.
    pub(crate) fn line_of_offset(&self, offset: usize) -> usize {
        let before = self.text.bytes().take(offset);
        1 + before.filter(|&byte| byte == b'\n').count()
    }

    /// Lines from number `first` on, with their numbers.
    pub(crate) fn lines_from(&self, first: usize) -> impl Iterator<Item = (usize, &'a str)> {
        let numbered = (1..).zip(self.text.lines());
        numbered.skip(first - 1)
    }
}

/// The key of a `key = value` line.
pub(crate) fn key_of(line: &str) -> Option<&str> {
    let (key, _) = line.split_once('=')?;
    Some(key.trim())
}
