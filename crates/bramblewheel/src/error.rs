//! Command errors and exit statuses.

use bramblewheel_bundle::BundleError;
use bramblewheel_protocol::RequestError;
use std::path::Path;
use std::process::ExitCode;
use thiserror::Error;

/// Exit statuses; they are part of the program's interface, see `bramblewheel --help`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command was refused, or a check failed.
    Refused = 1,
    /// The command line or an input file is invalid.
    BadInput = 2,
    /// No control replica could answer; nothing was changed.
    Unreachable = 3,
    /// The change may have been made; the same command can be repeated.
    Undecided = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// Error of a command: the text is for operators, the exit status for scripts.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command was refused, or a check failed.
    #[error("{0}")]
    Refused(String),
    /// The command line or an input file is invalid.
    #[error("{0}")]
    BadInput(String),
    /// A bundle's text is invalid.
    #[error(transparent)]
    Bundle(#[from] BundleError),
    /// No control replica could answer; nothing was changed.
    #[error("{0}")]
    Unreachable(String),
    /// The change may have been made.
    #[error("{0}; give the same command again")]
    Undecided(String),
}

impl CommandError {
    /// Exit status for this error.
    pub const fn status(&self) -> ExitStatus {
        match self {
            Self::Refused(_) => ExitStatus::Refused,
            Self::BadInput(_) | Self::Bundle(_) => ExitStatus::BadInput,
            Self::Unreachable(_) => ExitStatus::Unreachable,
            Self::Undecided(_) => ExitStatus::Undecided,
        }
    }

    /// Error for an input or output file that can't be used.
    pub fn file(path: &Path, error: impl std::fmt::Display) -> Self {
        Self::BadInput(format!("{}: {error}", path.display()))
    }
}

impl From<RequestError> for CommandError {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::NotDone { .. } => Self::Unreachable(error.to_string()),
            RequestError::Undecided { .. } => Self::Undecided(error.to_string()),
        }
    }
}
