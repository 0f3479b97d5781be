//! The text of a trace, to find lines and fields for errors.

use super::error::TraceError;
use crate::source_text::{SourceText, key_of};
use serde::de::DeserializeOwned;

/// The text of a trace with the name of its file.
///
/// It adds to [`SourceText`] what only traces need. They have hundreds of tables of one kind, so a
/// field is looked for in its own table alone; and they hold whole files as texts, so an error may
/// lie some lines below a value, in lines whose equals sign need not follow a key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    text: SourceText<'a>,
}

impl<'a> Source<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> Self {
        let text = SourceText::new(file, text);
        Self { text }
    }

    /// Reads the text as TOML of a shape; the error names a missing field, which is on no line.
    pub(super) fn deserialize<T: DeserializeOwned>(&self) -> Result<T, TraceError> {
        self.text.deserialize().map_err(|error: TraceError| {
            let in_line = error.field.filter(|field| is_bare_key(field));
            let field = in_line.or_else(|| quoted(&error.message).map(str::to_owned));
            TraceError { field, ..error }
        })
    }

    /// An error about a field of the table that begins at byte `offset`; the line is that of the
    /// table if the field is not in it.
    pub(super) fn error(
        &self,
        offset: usize,
        field: &str,
        message: impl Into<String>,
    ) -> TraceError {
        let first = self.text.line_of_offset(offset);
        let lines = self.text.lines_from(first);
        let mut own = lines.take_while(|(number, line)| *number == first || !line.starts_with('['));
        let found = own.find(|(_, line)| key_of(line) == Some(field));
        let line = found.map_or(first, |(number, _)| number);
        self.text.error_in_line(line, Some(field), message)
    }

    /// An error at the value that begins at byte `offset`, some lines further down.
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
    let may_stand = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-' || c == '.';
    !text.is_empty() && text.chars().all(may_stand)
}

/// What a message sets in backquotes, such as the name of a missing field.
fn quoted(message: &str) -> Option<&str> {
    message.split('`').nth(1)
}
