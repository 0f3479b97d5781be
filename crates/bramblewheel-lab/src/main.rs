//! Entry point of the test tool.

use bramblewheel_lab::commands;
use bramblewheel_lab::error::ExitStatus;
use bramblewheel_lab::options::Arguments;
use gumdrop::{Options, ParsingStyle};
use std::process::ExitCode;

fn main() -> ExitCode {
    let raw_arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args(&raw_arguments, ParsingStyle::AllOptions) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("bramblewheel-lab: {error}; see `bramblewheel-lab --help`");
            return ExitStatus::BadInput.into();
        }
    };
    if arguments.help_requested() {
        println!("{}", arguments.help_text());
        return ExitStatus::Success.into();
    }
    match commands::run(arguments) {
        Ok(()) => ExitStatus::Success.into(),
        Err(error) => {
            eprintln!("bramblewheel-lab: {error}");
            error.status().into()
        }
    }
}
