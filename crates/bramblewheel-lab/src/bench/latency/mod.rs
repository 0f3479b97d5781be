//! Latency that the daemons add to a call.

use crate::error::CommandError;
use gumdrop::Options;

/// Arguments of `bench latency`.
#[derive(Debug, Options)]
pub struct LatencyOptions {
    /// print help
    pub help: bool,
}

/// Runs the command.
///
/// # Errors
/// [`CommandError`] when a check fails or the run breaks.
pub fn run(_options: LatencyOptions) -> Result<(), CommandError> {
    Err(CommandError::NotThere("bench latency"))
}
