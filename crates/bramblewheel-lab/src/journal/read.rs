//! Reads journals.

use super::Record;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Error while reading a journal.
#[derive(Debug, Error)]
pub enum JournalError {
    /// A file or folder can't be read.
    #[error("{}: {error}", file.display())]
    Unreadable {
        /// The file or folder.
        file: PathBuf,
        /// The operating system's error.
        error: io::Error,
    },
    /// A line can't be parsed as a record.
    #[error("{}:{line}: {error}", file.display())]
    Malformed {
        /// The file.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The parser's error.
        error: serde_json::Error,
    },
}

/// Reads all journals of a folder and sorts the records by time.
///
/// # Errors
/// [`JournalError`] for the first file or line that can't be read.
pub fn read_folder(folder: &Path) -> Result<Vec<Record>, JournalError> {
    let unreadable = |error| JournalError::Unreadable {
        file: folder.to_owned(),
        error,
    };
    let mut records = Vec::new();
    for entry in fs::read_dir(folder).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "jsonl")
        {
            read_file(&path, &mut records)?;
        }
    }
    records.sort_by_key(|record| record.at_us);
    Ok(records)
}

fn read_file(file: &Path, records: &mut Vec<Record>) -> Result<(), JournalError> {
    let text = fs::read_to_string(file).map_err(|error| JournalError::Unreadable {
        file: file.to_owned(),
        error,
    })?;
    for (index, line) in text.lines().enumerate() {
        let record = serde_json::from_str(line).map_err(|error| JournalError::Malformed {
            file: file.to_owned(),
            line: index + 1,
            error,
        })?;
        records.push(record);
    }
    Ok(())
}
