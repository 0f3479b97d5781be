//! Records a simulated run as a trace; see `docs/TRACES.md`.

use crate::error::CommandError;
use bramblewheel_sim::trace::{parse_plan, record, replay, to_toml};
use gumdrop::Options;
use std::fs;
use std::path::{Path, PathBuf};

/// Arguments of `sim record`.
#[derive(Debug, Options)]
#[options(help = "\
Runs a plan in the simulator and records it: what was sent, what endpoints drew, and how each send
ended. The trace is replayed at once, and written only if its replay brings the same outcomes.
Replay it with `bramblewheel replay`.")]
pub struct RecordOptions {
    /// print help
    pub help: bool,
    /// plan to run, see docs/TRACES.md
    #[options(free, required)]
    pub plan: PathBuf,
    /// trace to write
    #[options(required, meta = "FILE")]
    pub out: PathBuf,
}

/// Runs the command.
///
/// # Errors
/// [`CommandError::BadInput`] when the plan can't be used, [`CommandError::CheckFailed`] when the run does not
/// yield what the plan states or the replay yields other outcomes than the run.
pub fn run(options: &RecordOptions) -> Result<(), CommandError> {
    let path = &options.plan;
    let text = fs::read_to_string(path).map_err(|error| CommandError::file(path, error))?;
    let folder = path.parent().unwrap_or(Path::new(""));
    let files =
        |name: &str| fs::read_to_string(folder.join(name)).map_err(|error| error.to_string());
    let plan = parse_plan(&path.display().to_string(), &text, &files);
    let plan = plan.map_err(|error| CommandError::BadInput(error.to_string()))?;
    let trace = record(&plan).map_err(|error| CommandError::CheckFailed(error.to_string()))?;
    let out = &options.out;
    fs::write(out, to_toml(&trace)).map_err(|error| CommandError::file(out, error))?;
    let verdict = replay(&trace);
    println!(
        "trace={} requests={} sends={} stated={} completed={} runs={} digest={}",
        out.display(),
        verdict.requests,
        verdict.sends,
        verdict.stated,
        verdict.completed,
        verdict.runs,
        verdict.digest,
    );
    Ok(())
}
