//! Errors of commands and the exit statuses that report them to scripts.

use std::path::Path;
use std::process::ExitCode;
use thiserror::Error;

/// Exit statuses; part of the program's interface, see `bramblewheel-lab --help`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded and every check passed.
    Success = 0,
    /// A check failed, or the run could not be carried out.
    Failed = 1,
    /// The command line or an input file is invalid.
    BadInput = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Error of a command, with a message for people and an exit status for scripts.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A check failed.
    #[error("{0}")]
    CheckFailed(String),
    /// The run could not be carried out, which says nothing about the system under test.
    #[error("{0}")]
    RunFailed(String),
    /// The command line or an input file is invalid.
    #[error("{0}")]
    BadInput(String),
}

impl CommandError {
    /// The exit status for this error.
    pub const fn status(&self) -> ExitStatus {
        match self {
            Self::CheckFailed(_) | Self::RunFailed(_) => ExitStatus::Failed,
            Self::BadInput(_) => ExitStatus::BadInput,
        }
    }

    /// Error for an input or output file that can't be used.
    pub fn file(path: &Path, error: impl std::fmt::Display) -> Self {
        Self::BadInput(format!("{}: {error}", path.display()))
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        Self::RunFailed(error.to_string())
    }
}
