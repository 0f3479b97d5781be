//! Why settings can't be used.

use std::path::PathBuf;
use thiserror::Error;

/// The settings can't be used; the text is one line.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {error}")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the operating system says.
        error: std::io::Error,
    },
    /// A line of the file is wrong.
    #[error("{file}:{line}: {key}: {reason}")]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Line, counted from 1.
        line: usize,
        /// Key on that line.
        key: String,
        /// What is wrong.
        reason: String,
    },
}
