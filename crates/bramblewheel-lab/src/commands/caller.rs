//! Callers that send a deployment's load to its gateways.

use crate::error::CommandError;
use gumdrop::Options;

/// Arguments of `caller`.
#[derive(Debug, Options)]
pub struct CallerOptions {
    /// print help
    pub help: bool,
}

/// Runs the command.
///
/// # Errors
/// [`CommandError`] when a check fails or the run breaks.
pub fn run(_options: CallerOptions) -> Result<(), CommandError> {
    Err(CommandError::NotThere("caller"))
}
