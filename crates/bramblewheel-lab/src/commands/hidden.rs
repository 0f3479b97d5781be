//! Hidden commands with which the lab starts its own executable as a daemon or a control replica.
//!
//! The processes abort when their standard input ends, so that none outlives the fleet runner.

use crate::error::CommandError;
use crate::stdin_commands::exit_with_parent;
use bramblewheel_process::invariants::abort_on_panic;
use bramblewheel_process::settings::SettingsFile;
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};

/// Threads of a control replica, as in the `bramblewheel-control` program.
const WORKER_THREADS: usize = 2;

/// Arguments of `run-daemon` and `run-control`.
#[derive(Debug, Options)]
#[options(help = "Used by the lab itself. Ends with its standard input.")]
pub struct SettingsOptions {
    /// print help
    pub help: bool,
    /// settings file
    #[options(no_short, required, meta = "FILE")]
    pub settings: PathBuf,
}

/// Runs one daemon until it is asked to stop.
///
/// # Errors
/// [`CommandError`] when the daemon can't start.
pub fn run_daemon(options: SettingsOptions) -> Result<(), CommandError> {
    exit_with_parent();
    let overrides = bramblewheel_daemon::settings::Overrides::default();
    let settings = bramblewheel_daemon::Settings::load(&options.settings, overrides)
        .map_err(|error| CommandError::BadInput(error.to_string()))?;
    bramblewheel_daemon::process::run(settings)
        .map_err(|error| CommandError::RunFailed(error.to_string()))
}

/// Runs one control replica until it is asked to stop.
///
/// # Errors
/// [`CommandError`] when the replica can't start or does not stop with success.
pub fn run_control(options: SettingsOptions) -> Result<(), CommandError> {
    exit_with_parent();
    abort_on_panic();
    let overrides = bramblewheel_control::settings::Overrides::default();
    let settings = bramblewheel_control::Settings::load(&options.settings, overrides)
        .map_err(|error| CommandError::BadInput(error.to_string()))?;
    let code = build_runtime()?.block_on(bramblewheel_control::run(settings));
    if code == ExitCode::SUCCESS {
        return Ok(());
    }
    Err(CommandError::RunFailed(
        "the control replica exited with a failure status".to_owned(),
    ))
}

fn build_runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
}
