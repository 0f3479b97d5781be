//! Finds the lines and fields of a trace for error messages.

use super::error::TraceError;
use crate::source_text::{SourceText, key_of};
use serde::de::DeserializeOwned;

/// The text of a trace with the name of its file.
///
/// Extends [`SourceText`] for traces. A trace has hundreds of tables of one kind, so a field is searched only in its
/// own table. A trace also embeds whole files as strings, so an error may lie several lines below the start of a
/// value, and text before an equals sign there need not be a key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    text: SourceText<'a>,
}

impl<'a> Source<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> Self {
        let text = SourceText::new(file, text);
        Self { text }
    }

    /// Parses the text as TOML. For a missing field, the error takes the name from the parser's message.
    pub(super) fn deserialize<T: DeserializeOwned>(&self) -> Result<T, TraceError> {
        self.text.deserialize().map_err(|error: TraceError| {
            let field_in_line = error.field.filter(|field| is_bare_key(field));
            let field = field_in_line.or_else(|| quoted(&error.message).map(str::to_owned));
            TraceError { field, ..error }
        })
    }

    /// An error about a field of the table that begins at byte `offset`; points to the start of the table if the
    /// field is missing.
    pub(super) fn error(
        &self,
        offset: usize,
        field: &str,
        message: impl Into<String>,
    ) -> TraceError {
        let first = self.text.line_of_offset(offset);
        let lines = self.text.lines_from(first);
        let mut table_lines =
            lines.take_while(|(number, line)| *number == first || !line.starts_with('['));
        let found = table_lines.find(|(_, line)| key_of(line) == Some(field));
        let line = found.map_or(first, |(number, _)| number);
        self.text.error_in_line(line, Some(field), message)
    }

    /// An error `lines_below` lines after the start of the value at byte `offset`.
    pub(super) fn error_at(
        &self,
        offset: usize,
        lines_below: usize,
        field: &str,
        message: impl Into<String>,
    ) -> TraceError {
        let line = self.text.line_of_offset(offset) + lines_below;
        self.text.error_in_line(line, Some(field), message)
    }
}

fn is_bare_key(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-' || c == '.';
    !text.is_empty() && text.chars().all(is_allowed)
}

/// The first text in backquotes in a message, such as the name of a missing field.
fn quoted(message: &str) -> Option<&str> {
    message.split('`').nth(1)
}
