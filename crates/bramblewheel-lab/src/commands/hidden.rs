//! Commands that the lab starts itself with: one daemon, one control replica.

use crate::error::CommandError;
use gumdrop::Options;
use std::path::PathBuf;

/// Arguments of `run-daemon` and `run-control`.
#[derive(Debug, Options)]
pub struct SettingsOptions {
    /// print help
    pub help: bool,
    /// settings file
    #[options(no_short, required, meta = "FILE")]
    pub settings: PathBuf,
}

/// Runs one daemon until it is told to stop.
///
/// # Errors
/// [`CommandError`] when it can't start.
pub fn run_daemon(_options: SettingsOptions) -> Result<(), CommandError> {
    Err(CommandError::NotThere("run-daemon"))
}

/// Runs one control replica until it is told to stop.
///
/// # Errors
/// [`CommandError`] when it can't start.
pub fn run_control(_options: SettingsOptions) -> Result<(), CommandError> {
    Err(CommandError::NotThere("run-control"))
}
