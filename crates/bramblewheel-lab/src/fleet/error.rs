//! Errors that end the run of a fleet.

use super::group::GroupError;
use super::process_status::WaitError;
use crate::error::CommandError;
use crate::journal::JournalError;
use crate::process::ProcessError;
use thiserror::Error;

/// Error that ends the run of a fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A process can't be started or sent a command.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A process did not reach an awaited status in time.
    #[error(transparent)]
    Wait(#[from] WaitError),
    /// A request to the control group failed.
    #[error(transparent)]
    Group(#[from] GroupError),
    /// A journal can't be read.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// A file can't be used.
    #[error("{0}")]
    File(#[from] std::io::Error),
    /// A step of the script can't be carried out.
    #[error("{0}")]
    Step(String),
    /// The run was interrupted.
    #[error("interrupted")]
    Interrupted,
}

impl From<FleetError> for CommandError {
    fn from(error: FleetError) -> Self {
        Self::RunFailed(error.to_string())
    }
}
