//! The text of a trace, to find lines and fields for errors.

use super::error::TraceError;
use serde::de::DeserializeOwned;

/// The text of a trace with the name of its file.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl<'a> Source<'a> {
    pub(super) fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text }
    }

    /// Reads the text as TOML of a shape.
    pub(super) fn deserialize<T: DeserializeOwned>(&self) -> Result<T, TraceError> {
        toml::from_str(self.text).map_err(|error| {
            let start = error.span().map_or(0, |span| span.start);
            let line = self.line_of(start);
            let message = error.message().to_owned();
            let in_line = self.text.lines().nth(line - 1).and_then(key_of);
            let field = in_line.or_else(|| quoted(&message));
            self.error_in_line(line, field, message.clone())
        })
    }

    fn error_in_line(&self, line: usize, field: Option<&str>, message: String) -> TraceError {
        TraceError {
            file: self.file.to_owned(),
            line,
            field: field.map(str::to_owned),
            message,
        }
    }

    /// An error about a field of the table that begins at byte `offset`; the line is that of the
    /// table if the field is not in it.
    pub(super) fn error(
        &self,
        offset: usize,
        field: &str,
        message: impl Into<String>,
    ) -> TraceError {
        let first = self.line_of(offset);
        let mut lines = self.text.lines().enumerate().skip(first - 1);
        let header = lines.next().map_or("", |(_, line)| line.trim_start());
        let own = lines.take_while(|(_, line)| !line.starts_with('['));
        let found = match key_of(header) == Some(field) {
            true => Some(first),
            false => own
                .filter(|(_, line)| key_of(line) == Some(field))
                .map(|(index, _)| index + 1)
                .next(),
        };
        self.error_in_line(found.unwrap_or(first), Some(field), message.into())
    }

    /// An error at the value that begins at byte `offset`, some lines further down.
    pub(super) fn error_at(
        &self,
        offset: usize,
        lines_below: usize,
        field: &str,
        message: impl Into<String>,
    ) -> TraceError {
        let line = self.line_of(offset) + lines_below;
        self.error_in_line(line, Some(field), message.into())
    }

    fn line_of(&self, offset: usize) -> usize {
        let before = self.text.bytes().take(offset);
        1 + before.filter(|&byte| byte == b'\n').count()
    }
}

fn key_of(line: &str) -> Option<&str> {
    let (key, _) = line.split_once('=')?;
    let key = key.trim();
    let is_key = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-' || c == '.';
    (!key.is_empty() && key.chars().all(is_key)).then_some(key)
}

/// What a message sets in backquotes, such as the name of a missing field.
fn quoted(message: &str) -> Option<&str> {
    message.split('`').nth(1)
}
