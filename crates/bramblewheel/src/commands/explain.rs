//! `explain` and `retry-bound`: the timeline of one request and the use of the bound on retries, from logs.

use crate::error::CommandError;
use crate::explain::{LogLine, Timeline, gather, retry_bound};
use crate::options::{ExplainRequest, RetryBoundLogs};
use crate::output::print;
use std::fs;
use std::path::PathBuf;

pub fn explain(options: &ExplainRequest) -> Result<(), CommandError> {
    let logs = read_logs(&options.logs)?;
    let named_logs = logs
        .iter()
        .map(|(name, text)| (name.as_str(), text.as_str()));
    let timeline = gather(&options.request, named_logs);
    print(&describe(&options.request, &timeline));
    if timeline.lines.is_empty() {
        let text = format!("no log line mentions request {}", options.request);
        return Err(CommandError::Refused(text));
    }
    Ok(())
}

/// Prints the use of the bound on retries, from the logs of the daemons.
pub fn retry_bound(options: &RetryBoundLogs) -> Result<(), CommandError> {
    let logs = read_logs(&options.logs)?;
    let parsed = logs.iter().flat_map(|(name, text)| {
        let lines = text.lines();
        lines.filter_map(|line| LogLine::parse(name, line))
    });
    let lines: Vec<LogLine> = parsed.collect();
    let peaks = retry_bound::peaks(&lines);
    if peaks.is_empty() {
        let text = "the logs have no `retry bound` lines".to_owned();
        return Err(CommandError::Refused(text));
    }
    let described = peaks.iter().map(|peak| format!("{peak}\n"));
    print(&described.collect::<String>());
    Ok(())
}

fn read_logs(paths: &[PathBuf]) -> Result<Vec<(String, String)>, CommandError> {
    paths.iter().map(read_log).collect()
}

fn read_log(path: &PathBuf) -> Result<(String, String), CommandError> {
    let text = fs::read_to_string(path).map_err(|error| CommandError::file(path, error))?;
    let name = path.file_stem().unwrap_or_default();
    Ok((name.to_string_lossy().into_owned(), text))
}

fn describe(request: &str, timeline: &Timeline) -> String {
    let first = timeline.lines.first().and_then(|line| line.at_millis());
    let mut text = String::new();
    for line in &timeline.lines {
        let times = line.at_millis().zip(first);
        let elapsed = times.map_or(String::new(), |(at, first)| {
            format!("+{} ms", at.saturating_sub(first))
        });
        let (process, event, details) = (&line.process, line.event(), line.details());
        text += &format!("{elapsed:>10}  {process}  {event}  {details}\n");
    }
    let (cause, omitted_lines) = (timeline.cause(), timeline.omitted_lines);
    text + &format!("request={request} cause=\"{cause}\" lines_left_out={omitted_lines}\n")
}
