//! Command-line tool for operators.

mod commands;
mod error;
mod explain;
mod files;
mod help;
mod options;
mod output;
mod values;

use error::{CommandError, ExitStatus};
use gumdrop::{Options, ParsingStyle};
use options::Arguments;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitStatus::Success.into(),
        Err(error) => {
            eprintln!("{error}");
            error.status().into()
        }
    }
}

fn run(arguments: &[String]) -> Result<(), CommandError> {
    if let Some(path) = help::requested_path(arguments) {
        return help::print(&path);
    }
    let parsed = Arguments::parse_args(arguments, ParsingStyle::AllOptions)
        .map_err(|error| help::usage_error(&error.to_string(), arguments))?;
    if parsed.help_requested() {
        return help::print(&help::command_path(arguments));
    }
    if parsed.version {
        output::print(concat!("bramblewheel ", env!("CARGO_PKG_VERSION"), "\n"));
        return Ok(());
    }
    commands::run(parsed, arguments)
}
