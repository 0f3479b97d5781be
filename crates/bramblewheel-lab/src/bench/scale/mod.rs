//! Work of daemons and replicas at the size to come.

use crate::error::CommandError;
use gumdrop::Options;

/// Arguments of `bench scale`.
#[derive(Debug, Options)]
pub struct ScaleOptions {
    /// print help
    pub help: bool,
}

/// Runs the command.
///
/// # Errors
/// [`CommandError`] when a check fails or the run breaks.
pub fn run(_options: ScaleOptions) -> Result<(), CommandError> {
    Err(CommandError::NotThere("bench scale"))
}
