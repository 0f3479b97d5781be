//! Why storage can't go on.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Storage can't go on. None of these is to be retried within the process.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The file system refused an operation.
    #[error("{operation} {}: {source}", path.display())]
    Io {
        /// What was tried.
        operation: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Answer of the file system.
        source: io::Error,
    },
    /// A file holds bytes that were never written so; operators must replace the replica.
    #[error("{} is damaged at byte {offset}: {reason}", path.display())]
    Damaged {
        /// File.
        path: PathBuf,
        /// First byte of the damaged part.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// A file that must be there is gone; operators must replace the replica.
    #[error("{} is missing: {reason}", path.display())]
    Missing {
        /// File or folder.
        path: PathBuf,
        /// Why it must be there.
        reason: &'static str,
    },
    /// A write or sync failed before, so what is on the disk is not known any more.
    #[error("an earlier write or sync failed; restart the process to read back what is on disk")]
    Poisoned,
    /// The folder has an identity already.
    #[error("the folder has an identity already")]
    IdentityExists,
    /// The folder has no identity yet.
    #[error("the folder has no identity yet")]
    IdentityAbsent,
    /// One write is too large for a frame.
    #[error("a write of {length} bytes is too large")]
    TooLarge {
        /// Its length.
        length: usize,
    },
}

impl StorageError {
    pub(crate) fn damaged(path: &Path, offset: usize, reason: impl Into<String>) -> Self {
        Self::Damaged {
            path: path.to_owned(),
            offset: offset as u64,
            reason: reason.into(),
        }
    }
}

/// Names the operation and the file in an error of the file system.
pub(crate) trait IoContext<T> {
    fn during(self, operation: &'static str, path: &Path) -> Result<T, StorageError>;
}

impl<T> IoContext<T> for io::Result<T> {
    fn during(self, operation: &'static str, path: &Path) -> Result<T, StorageError> {
        self.map_err(|source| StorageError::Io {
            operation,
            path: path.to_owned(),
            source,
        })
    }
}
