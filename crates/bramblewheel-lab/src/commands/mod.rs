//! The commands of the program, one module each.

pub mod caller;
pub mod endpoint;
pub mod fleet;
pub mod hidden;
pub mod record;
pub mod sim;

use crate::bench;
use crate::error::CommandError;
use crate::options::{Arguments, BenchCommand, Command};

/// Runs the command given on the command line.
///
/// # Errors
/// [`CommandError`] of the command, or [`CommandError::BadInput`] when none is given.
pub fn run(arguments: Arguments) -> Result<(), CommandError> {
    let no_command = || CommandError::BadInput("no command given; see `--help`".to_owned());
    match arguments.command.ok_or_else(no_command)? {
        Command::Endpoint(options) => endpoint::run(options),
        Command::Caller(options) => caller::run(options),
        Command::Fleet(options) => fleet::run(options),
        Command::Sim(options) => sim::run(options),
        Command::Bench(options) => match options.command.ok_or_else(no_command)? {
            BenchCommand::Latency(options) => bench::latency::run(options),
        },
        Command::RunDaemon(options) => hidden::run_daemon(options),
        Command::RunControl(options) => hidden::run_control(options),
    }
}
