//! Builds the timeline of one request from the logs of several processes and finds the cause of its outcome.

mod cause;
mod line;
pub mod retry_bound;

pub use line::LogLine;

/// Log lines of one request.
#[derive(Debug)]
pub struct Timeline {
    /// The request's lines, ordered by time.
    pub lines: Vec<LogLine>,
    /// Lines of any request that the processes omitted because of rate limits; this request's may be among them.
    pub omitted_lines: u64,
}

/// Collects the lines of the request `id` from `logs`, which are pairs of a log's name and text.
pub fn gather<'a>(id: &str, logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Timeline {
    let mut lines = Vec::new();
    let mut omitted_lines = 0;
    for (name, text) in logs {
        for line in text.lines().filter_map(|line| LogLine::parse(name, line)) {
            omitted_lines += line.omitted_lines();
            if line.value("id") == Some(id) {
                lines.push(line);
            }
        }
    }
    // The sort is stable: lines without a time sort first, in the order of their log.
    lines.sort_by_key(|line| line.at_millis().unwrap_or_default());
    Timeline {
        lines,
        omitted_lines,
    }
}
