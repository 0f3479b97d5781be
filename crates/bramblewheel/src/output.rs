//! Lines of `key=value` pairs, for people and for scripts.

use std::fmt::{self, Display, Write as _};
use std::io::{self, Write as _};

/// Writes text to standard output. A reader that has left, as `head` does, is no error.
pub fn print(text: &str) {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    if let Err(error) = written
        && error.kind() != io::ErrorKind::BrokenPipe
    {
        eprintln!("standard output: {error}");
    }
}

/// One line of output.
#[derive(Default)]
pub struct Line(String);

impl Line {
    /// Adds a pair. A value that is empty or holds a space, a quote, `=` or a control character is
    /// quoted.
    pub fn field(mut self, key: &str, value: impl Display) -> Self {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        let value = value.to_string();
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && !"\"=\\".contains(c);
        let written = if !value.is_empty() && value.chars().all(plain) {
            write!(self.0, "{key}={value}")
        } else {
            write!(self.0, "{key}={value:?}")
        };
        written.expect("a string takes every write");
        self
    }

    /// Adds a pair whose value may be absent; absent is `-`.
    pub fn optional(self, key: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.field(key, value),
            None => self.field(key, '-'),
        }
    }

    /// The line with its end.
    pub fn into_text(self) -> String {
        self.0 + "\n"
    }

    /// Writes the line to standard output.
    pub fn print(self) {
        print(&self.into_text());
    }
}

/// Values in one field, with commas between them; `-` if there are none.
pub fn list(values: impl IntoIterator<Item = impl Display>) -> String {
    let values: Vec<String> = values.into_iter().map(|value| value.to_string()).collect();
    if values.is_empty() {
        return "-".to_owned();
    }
    values.join(",")
}

/// A group, replica or incarnation number, as 16 hexadecimal digits.
pub struct HexNumber(pub u64);

impl Display for HexNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
