//! `replay`: replays a recorded trace and compares the outcomes with the stated ones.

use crate::error::CommandError;
use crate::options::ReplayTrace;
use crate::output::{Line, print};
use bramblewheel_sim::trace::{self, Trace, Verdict};
use std::fs;
use std::path::Path;

pub fn replay(options: &ReplayTrace) -> Result<(), CommandError> {
    let trace = load(&options.trace)?;
    let verdict = trace::replay(&trace);
    let text = describe(&options.trace, &verdict);
    print(&text);
    if let Some(file) = &options.report {
        fs::write(file, &text).map_err(|error| CommandError::file(file, error))?;
    }
    match verdict.differences.len() {
        0 => Ok(()),
        count => {
            let name = options.trace.display();
            let text = format!("{name}: {count} stated outcomes differ in the replay");
            Err(CommandError::Refused(text))
        }
    }
}

/// Reads a trace; the paths of files named in it are relative to its folder.
fn load(path: &Path) -> Result<Trace, CommandError> {
    let text = fs::read_to_string(path).map_err(|error| CommandError::file(path, error))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let files =
        |name: &str| fs::read_to_string(folder.join(name)).map_err(|error| error.to_string());
    trace::parse(&path.display().to_string(), &text, &files)
        .map_err(|error| CommandError::BadInput(error.to_string()))
}

fn describe(path: &Path, verdict: &Verdict) -> String {
    let mut text = String::new();
    for difference in &verdict.differences {
        text += &format!("difference: {difference}\n");
    }
    let line = Line::default()
        .field("trace", path.display())
        .field("verdict", if verdict.passed() { "pass" } else { "fail" })
        .field("requests", verdict.requests)
        .field("sends", verdict.sends)
        .field("stated", verdict.stated)
        .field("completed", verdict.completed)
        .field("runs", verdict.runs)
        .field("differences", verdict.differences.len())
        .field("digest", verdict.digest);
    text + &line.into_text()
}
