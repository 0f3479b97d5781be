//! How a command can fail, and the exit status that says so to a script.

use bramblewheel_bundle::BundleError;
use bramblewheel_protocol::RequestError;
use std::path::Path;
use std::process::ExitCode;
use thiserror::Error;

/// Exit statuses; part of the program's interface, see `bramblewheel --help`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// Refused, or a check failed.
    Refused = 1,
    /// The command line or an input file is wrong.
    BadInput = 2,
    /// No control replica could answer; nothing was changed.
    Unreachable = 3,
    /// Whether the change was made is not known; the same command may be given again.
    Undecided = 4,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

/// A command failed; the text is for people, the status for scripts.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Refused, or a check failed.
    #[error("{0}")]
    Refused(String),
    /// The command line or an input file is wrong.
    #[error("{0}")]
    BadInput(String),
    /// A bundle's text is wrong.
    #[error(transparent)]
    Bundle(#[from] BundleError),
    /// No control replica could answer; nothing was changed.
    #[error("{0}")]
    Unreachable(String),
    /// Whether the change was made is not known.
    #[error("{0}; give the same command again")]
    Undecided(String),
}

impl CommandError {
    /// The exit status for this error.
    pub const fn status(&self) -> ExitStatus {
        match self {
            Self::Refused(_) => ExitStatus::Refused,
            Self::BadInput(_) | Self::Bundle(_) => ExitStatus::BadInput,
            Self::Unreachable(_) => ExitStatus::Unreachable,
            Self::Undecided(_) => ExitStatus::Undecided,
        }
    }

    /// An input or output file can't be used.
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
