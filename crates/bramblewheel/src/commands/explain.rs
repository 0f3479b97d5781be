//! `explain` and `retry-bound`: what logs say of one request, and of the bound on repeats.

use crate::error::CommandError;
use crate::explain::{LogLine, Timeline, gather, retry_bound};
use crate::options::{ExplainRequest, RetryBoundLogs};
use crate::output::print;
use std::fs;
use std::path::PathBuf;

pub fn explain(options: &ExplainRequest) -> Result<(), CommandError> {
    let logs = read_all(&options.logs)?;
    let named = logs
        .iter()
        .map(|(name, text)| (name.as_str(), text.as_str()));
    let timeline = gather(&options.request, named);
    print(&describe(&options.request, &timeline));
    if timeline.lines.is_empty() {
        let text = format!("no line speaks of request {}", options.request);
        return Err(CommandError::Refused(text));
    }
    Ok(())
}

/// How much of the bound on repeats was used, from the logs of the daemons.
pub fn retry_bound(options: &RetryBoundLogs) -> Result<(), CommandError> {
    let logs = read_all(&options.logs)?;
    let parsed = logs.iter().flat_map(|(name, text)| {
        let lines = text.lines();
        lines.filter_map(|line| LogLine::parse(name, line))
    });
    let lines: Vec<LogLine> = parsed.collect();
    let peaks = retry_bound::peaks(&lines);
    if peaks.is_empty() {
        let text = "no line tells of a repeat".to_owned();
        return Err(CommandError::Refused(text));
    }
    let described = peaks.iter().map(|peak| format!("{peak}\n"));
    print(&described.collect::<String>());
    Ok(())
}

fn read_all(paths: &[PathBuf]) -> Result<Vec<(String, String)>, CommandError> {
    paths.iter().map(read).collect()
}

fn read(path: &PathBuf) -> Result<(String, String), CommandError> {
    let text = fs::read_to_string(path).map_err(|error| CommandError::file(path, error))?;
    let name = path.file_stem().unwrap_or_default();
    Ok((name.to_string_lossy().into_owned(), text))
}

fn describe(request: &str, timeline: &Timeline) -> String {
    let first = timeline.lines.first().and_then(|line| line.at_millis());
    let mut text = String::new();
    for line in &timeline.lines {
        let since = line.at_millis().zip(first);
        let since = since.map_or(String::new(), |(at, first)| {
            format!("+{} ms", at.saturating_sub(first))
        });
        let (process, event, details) = (&line.process, line.event(), line.details());
        text += &format!("{since:>10}  {process}  {event}  {details}\n");
    }
    let (cause, left_out) = (timeline.cause(), timeline.left_out);
    text + &format!("request={request} cause=\"{cause}\" lines_left_out={left_out}\n")
}
