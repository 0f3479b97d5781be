//! How a command can fail, and the exit status that says so to a script.

use std::path::Path;
use std::process::ExitCode;
use thiserror::Error;

/// Exit statuses; part of the program's interface, see `bramblewheel-lab --help`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done, and every check passed.
    Success = 0,
    /// A check failed, or the run itself broke.
    Failed = 1,
    /// The command line or an input file is wrong.
    BadInput = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// A command failed; the text is for people, the status for scripts.
#[derive(Debug, Error)]
pub enum CommandError {
    /// A check failed.
    #[error("{0}")]
    CheckFailed(String),
    /// The run itself broke, which says nothing about the system under test.
    #[error("{0}")]
    Broken(String),
    /// The command line or an input file is wrong.
    #[error("{0}")]
    BadInput(String),
}

impl CommandError {
    /// The exit status for this error.
    pub const fn status(&self) -> ExitStatus {
        match self {
            Self::CheckFailed(_) | Self::Broken(_) => ExitStatus::Failed,
            Self::BadInput(_) => ExitStatus::BadInput,
        }
    }

    /// An input or output file can't be used.
    pub fn file(path: &Path, error: impl std::fmt::Display) -> Self {
        Self::BadInput(format!("{}: {error}", path.display()))
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        Self::Broken(error.to_string())
    }
}
