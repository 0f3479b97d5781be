//! Stand-in endpoints of a deployment.

use crate::error::CommandError;
use gumdrop::Options;

/// Arguments of `endpoint`.
#[derive(Debug, Options)]
pub struct EndpointOptions {
    /// print help
    pub help: bool,
}

/// Runs the command.
///
/// # Errors
/// [`CommandError`] when a check fails or the run breaks.
pub fn run(_options: EndpointOptions) -> Result<(), CommandError> {
    Err(CommandError::NotThere("endpoint"))
}
