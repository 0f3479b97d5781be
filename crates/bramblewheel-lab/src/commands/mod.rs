//! The commands, one module each.

pub mod caller;
pub mod endpoint;
pub mod fleet;
pub mod hidden;
pub mod record;
pub mod sim;

use crate::bench;
use crate::error::CommandError;
use crate::options::{Arguments, BenchCommand, Command};

/// Runs the command given.
///
/// # Errors
/// [`CommandError`] of the command, or of the command line when it names none.
pub fn run(arguments: Arguments) -> Result<(), CommandError> {
    let incomplete = || CommandError::BadInput("no command given; see `--help`".to_owned());
    match arguments.command.ok_or_else(incomplete)? {
        Command::Endpoint(options) => endpoint::run(options),
        Command::Caller(options) => caller::run(options),
        Command::Fleet(options) => fleet::run(options),
        Command::Sim(options) => sim::run(options),
        Command::Bench(options) => match options.command.ok_or_else(incomplete)? {
            BenchCommand::Latency(options) => bench::latency::run(options),
        },
        Command::RunDaemon(options) => hidden::run_daemon(options),
        Command::RunControl(options) => hidden::run_control(options),
    }
}
