//! A whole deployment on loopback: start, load, check, stop.

use crate::error::CommandError;
use gumdrop::Options;

/// Arguments of `fleet`.
#[derive(Debug, Options)]
pub struct FleetOptions {
    /// print help
    pub help: bool,
}

/// Runs the command.
///
/// # Errors
/// [`CommandError`] when a check fails or the run breaks.
pub fn run(_options: FleetOptions) -> Result<(), CommandError> {
    Err(CommandError::NotThere("fleet"))
}
