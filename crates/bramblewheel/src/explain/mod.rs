//! From the logs of several processes to one request's timeline and its cause.

mod cause;
mod line;
pub mod retry_bound;

pub use line::LogLine;

/// What the logs say of one request.
#[derive(Debug)]
pub struct Timeline {
    /// The request's lines, in the order of their times.
    pub lines: Vec<LogLine>,
    /// Lines that the processes left out for their rate; some of the request's may be among them.
    pub left_out: u64,
}

/// Gathers the lines of the request `id` from logs: name of the log, and its text.
pub fn gather<'a>(id: &str, logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Timeline {
    let mut lines = Vec::new();
    let mut left_out = 0;
    for (name, text) in logs {
        for line in text.lines().filter_map(|line| LogLine::parse(name, line)) {
            left_out += line.left_out();
            if line.value("id") == Some(id) {
                lines.push(line);
            }
        }
    }
    // Lines without a time stay in the order of their log.
    lines.sort_by_key(|line| line.at_millis().unwrap_or_default());
    Timeline { lines, left_out }
}
