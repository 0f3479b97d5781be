//! Command-line interface of the deterministic simulator.

use crate::commands::record::{self, RecordOptions};
use crate::error::CommandError;
use crate::sim::{self, SeedRange, Summary};
use bramblewheel_sim::scenario::{BUILT_IN, Scenario, built_in, parse};
use gumdrop::Options;
use std::path::{Path, PathBuf};

/// Arguments of `sim`.
#[derive(Debug, Options)]
pub struct SimOptions {
    /// print help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<SimCommand>,
}

/// Commands of `sim`.
#[derive(Debug, Options)]
pub enum SimCommand {
    /// list the scenarios that come with the program
    List(SimListOptions),
    /// run a scenario on many seeds
    Run(SimRunOptions),
    /// run a plan and record it as a trace to be replayed
    Record(RecordOptions),
}

/// Arguments of `sim list`.
#[derive(Debug, Options)]
pub struct SimListOptions {
    /// print help
    pub help: bool,
}

/// Arguments of `sim run`.
#[derive(Debug, Options)]
pub struct SimRunOptions {
    /// print help
    pub help: bool,
    /// name of a scenario (see `sim list`) or a file (see docs/SCENARIOS.md)
    #[options(free, required)]
    pub scenario: String,
    /// seeds from A on, up to and without B
    #[options(meta = "A..B", default = "0..10")]
    pub seeds: SeedRange,
    /// seeds run at one time
    #[options(meta = "N", default = "4")]
    pub jobs: usize,
    /// write the outcome of all seeds to a JSON file
    #[options(meta = "FILE")]
    pub report: Option<PathBuf>,
}

/// Runs the command.
///
/// # Errors
/// [`CommandError::CheckFailed`] when an outcome does not hold on some seed, other variants when the scenario can't
/// be used.
pub fn run(options: SimOptions) -> Result<(), CommandError> {
    match options.command {
        Some(SimCommand::List(_)) => list(),
        Some(SimCommand::Run(options)) => run_scenario(&options),
        Some(SimCommand::Record(options)) => record::run(&options),
        None => Err(CommandError::BadInput(
            "no command given; see `sim --help`".to_owned(),
        )),
    }
}

fn list() -> Result<(), CommandError> {
    for built_in in BUILT_IN {
        let scenario = built_in.scenario();
        let scenario = scenario.map_err(|error| CommandError::RunFailed(error.to_string()))?;
        println!("{:28} {}", built_in.name, scenario.header.summary);
    }
    Ok(())
}

fn run_scenario(options: &SimRunOptions) -> Result<(), CommandError> {
    let scenario = load(&options.scenario)?;
    let mut summary = Summary::new(&scenario, options.seeds);
    sim::run_seeds(&scenario, options.seeds, options.jobs, |report| {
        println!("{report}");
        summary.add(&report);
    });
    println!("{summary}");
    if let Some(path) = &options.report {
        let text = summary.to_json();
        std::fs::write(path, text).map_err(|error| CommandError::file(path, error))?;
    }
    match summary.violated() {
        0 => Ok(()),
        count => Err(CommandError::CheckFailed(format!(
            "{}: outcomes did not hold on {count} of {} seeds",
            options.scenario,
            options.seeds.count()
        ))),
    }
}

fn load(name: &str) -> Result<Scenario, CommandError> {
    if let Some(built_in) = built_in(name) {
        let scenario = built_in.scenario();
        return scenario.map_err(|error| CommandError::RunFailed(error.to_string()));
    }
    let path = Path::new(name);
    if !path.exists() {
        let reason = "no such scenario (see `sim list`) and no such file";
        return Err(CommandError::file(path, reason));
    }
    let text = std::fs::read_to_string(path).map_err(|error| CommandError::file(path, error))?;
    parse(name, &text).map_err(|error| CommandError::BadInput(error.to_string()))
}
