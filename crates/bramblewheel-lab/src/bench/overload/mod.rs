//! Goodput and recovery under a surge.

use crate::error::CommandError;
use gumdrop::Options;

/// Arguments of `bench overload`.
#[derive(Debug, Options)]
pub struct OverloadOptions {
    /// print help
    pub help: bool,
}

/// Runs the command.
///
/// # Errors
/// [`CommandError`] when a check fails or the run breaks.
pub fn run(_options: OverloadOptions) -> Result<(), CommandError> {
    Err(CommandError::NotThere("bench overload"))
}
