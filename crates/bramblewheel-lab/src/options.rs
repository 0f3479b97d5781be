//! Command-line arguments. Each command defines its own options in its module.

use crate::bench::latency::LatencyOptions;
use crate::commands::caller::CallerOptions;
use crate::commands::endpoint::EndpointOptions;
use crate::commands::fleet::FleetOptions;
use crate::commands::hidden::SettingsOptions;
use crate::commands::sim::SimOptions;
use gumdrop::Options;

/// Appended to every help text.
const EXIT_STATUS: &str = "\
Exit status:
  0  done, and every check passed
  1  a check failed, or the run itself broke
  2  the command line or an input file is wrong";

/// Arguments of the program.
#[derive(Debug, Options)]
#[options(
    help = "Runs, loads, breaks and measures bramblewheel. A test tool: never run it in production."
)]
pub struct Arguments {
    /// print help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// run stand-in endpoints of a deployment
    Endpoint(EndpointOptions),
    /// send a deployment's load to its gateways
    Caller(CallerOptions),
    /// start a whole deployment on loopback, load it, check it, stop it
    Fleet(FleetOptions),
    /// run the deterministic simulator
    Sim(SimOptions),
    /// measure latency
    Bench(BenchOptions),
    /// (used by the lab itself) run one daemon
    RunDaemon(SettingsOptions),
    /// (used by the lab itself) run one control replica
    RunControl(SettingsOptions),
}

/// Arguments of `bench`.
#[derive(Debug, Options)]
#[options(help = "Measures latency.")]
pub struct BenchOptions {
    /// print help
    pub help: bool,
    /// what to measure
    #[options(command)]
    pub command: Option<BenchCommand>,
}

/// The benchmarks.
#[derive(Debug, Options)]
pub enum BenchCommand {
    /// latency that the daemons add to a call
    Latency(LatencyOptions),
}

impl Arguments {
    /// Help for the command given, or for the program.
    pub fn help_text(&self) -> String {
        let mut words = vec!["bramblewheel-lab"];
        let mut innermost: &dyn Options = self;
        while let Some(command) = innermost.command() {
            words.extend(command.command_name());
            innermost = command;
        }
        let usage = innermost.self_usage();
        let mut text = format!("Usage: {} [OPTIONS]\n\n{usage}\n", words.join(" "));
        if let Some(commands) = innermost.self_command_list() {
            text += &format!("\nCommands:\n{commands}\n");
        }
        text + "\n" + EXIT_STATUS
    }
}
