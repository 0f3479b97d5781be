//! Parses log lines of key=value pairs.

/// Key of the first pair of a line. Text before it was added when the logs were collected.
const FIRST_KEY: &str = "level=";

/// A log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Process that wrote the line.
    pub process: String,
    pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; `None` if it is not a log line of bramblewheel. The process is the last word before the
    /// first key, if there is one, and the name of the log otherwise.
    pub fn parse(log: &str, line: &str) -> Option<Self> {
        let start = line.find(FIRST_KEY)?;
        let prefix = line[..start].split_whitespace().last();
        Some(Self {
            process: prefix.unwrap_or(log).to_owned(),
            pairs: pairs(&line[start..]),
        })
    }

    /// Value of a key.
    pub fn value(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(name, _)| name == key);
        pair.map(|(_, value)| value.as_str())
    }

    /// Message of the line.
    pub fn event(&self) -> &str {
        self.value("msg").unwrap_or_default()
    }

    /// Time of the line, in milliseconds since the Unix epoch.
    pub fn at_millis(&self) -> Option<u64> {
        self.value("at")?.parse().ok()
    }

    /// Number of lines that the process omitted, if this line reports it, otherwise 0.
    pub fn omitted_lines(&self) -> u64 {
        if self.event() != "lines left out" {
            return 0;
        }
        let count = self.value("lines").and_then(|text| text.parse().ok());
        count.unwrap_or_default()
    }

    /// All pairs except level, message, time and the request's id, in their order.
    pub fn details(&self) -> String {
        let shown =
            |(key, _): &&(String, String)| !matches!(key.as_str(), "level" | "msg" | "at" | "id");
        let details = self.pairs.iter().filter(shown);
        let details = details.map(|(key, value)| format!("{key}={value}"));
        details.collect::<Vec<_>>().join(" ")
    }
}

/// Splits a line into pairs; values may be quoted.
fn pairs(text: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let end = after.find(char::is_whitespace).unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        pairs.push((key.trim().to_owned(), value));
        rest = next.trim_start();
    }
    pairs
}

/// Reads up to the closing quote; returns the value and the remaining text.
fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            other => value.push(other),
        }
    }
    (value, "")
}
