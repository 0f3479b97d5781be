//! The deterministic simulator from the command line.

use crate::commands::record::{self, RecordOptions};
use crate::error::CommandError;
use gumdrop::Options;

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
    /// list the scenarios
    List(SimListOptions),
    /// run a scenario
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
    /// scenario to run
    #[options(free)]
    pub scenario: Option<String>,
}

/// Runs the command.
///
/// # Errors
/// [`CommandError`] when a check fails or the run breaks.
pub fn run(options: SimOptions) -> Result<(), CommandError> {
    match options.command {
        Some(SimCommand::List(_)) => Err(CommandError::NotThere("sim list")),
        Some(SimCommand::Run(_)) => Err(CommandError::NotThere("sim run")),
        Some(SimCommand::Record(options)) => record::run(&options),
        None => Err(CommandError::BadInput(
            "no command given; see `sim --help`".to_owned(),
        )),
    }
}
