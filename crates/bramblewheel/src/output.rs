//! Output in lines of `key=value` pairs, readable by operators and by scripts.

use std::fmt::{self, Display, Write as _};
use std::io::{self, Write as _};

/// Writes text to standard output. A closed pipe is not an error, since `head` closes it early.
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
    /// Adds a pair. The value is quoted if it is empty or contains white space, `"`, `=`, `\\` or a control
    /// character.
    pub fn field(mut self, key: &str, value: impl Display) -> Self {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        let value = value.to_string();
        let needs_no_quotes =
            |c: char| !c.is_whitespace() && !c.is_control() && !"\"=\\".contains(c);
        let written = if !value.is_empty() && value.chars().all(needs_no_quotes) {
            write!(self.0, "{key}={value}")
        } else {
            write!(self.0, "{key}={value:?}")
        };
        written.expect("writing to a string does not fail");
        self
    }

    /// Adds a pair with an optional value; `None` is written as `-`.
    pub fn optional(self, key: &str, value: Option<impl Display>) -> Self {
        match value {
            Some(value) => self.field(key, value),
            None => self.field(key, '-'),
        }
    }

    /// Text of the line with a line break.
    pub fn into_text(self) -> String {
        self.0 + "\n"
    }

    /// Writes the line to standard output.
    pub fn print(self) {
        print(&self.into_text());
    }
}

/// Joins the values of one field with commas; `-` if there are none.
pub fn list(values: impl IntoIterator<Item = impl Display>) -> String {
    let values: Vec<String> = values.into_iter().map(|value| value.to_string()).collect();
    if values.is_empty() {
        return "-".to_owned();
    }
    values.join(",")
}

/// A group, replica or incarnation number, written as 16 hexadecimal digits.
pub struct HexNumber(pub u64);

impl Display for HexNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
