//! Errors of settings files.

use std::path::PathBuf;
use thiserror::Error;

/// Why settings can't be used; displayed as one line.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// A line of the file is invalid.
    #[error("{file}:{line}: {key}: {reason}")]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Line number, starting at 1.
        line: usize,
        /// Key on that line.
        key: String,
        /// What is wrong.
        reason: String,
    },
}
