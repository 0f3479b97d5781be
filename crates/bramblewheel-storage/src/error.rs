//! Errors of storage.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error of storage. Only one that [`is_retriable`](Self::is_retriable) can be retried within the process.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The file system refused an operation.
    #[error("{operation} {}: {source}", path.display())]
    Io {
        /// Operation that failed.
        operation: &'static str,
        /// File or folder.
        path: PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// A file has content that was never written to it; the operators must replace the replica.
    #[error("{} is damaged at byte {offset}: {reason}", path.display())]
    Damaged {
        /// File.
        path: PathBuf,
        /// First byte of the damaged part.
        offset: u64,
        /// What is wrong.
        reason: String,
    },
    /// A required file is missing; the operators must replace the replica.
    #[error("{} is missing: {reason}", path.display())]
    Missing {
        /// File or folder.
        path: PathBuf,
        /// Why it is required.
        reason: &'static str,
    },
    /// An earlier write or sync failed, so the content of the disk is not known any more.
    #[error("an earlier write or sync failed; restart the process to recover from disk")]
    Poisoned,
    /// The folder has an identity already.
    #[error("the folder has an identity already")]
    IdentityExists,
    /// The folder has no identity yet.
    #[error("the folder has no identity yet")]
    IdentityAbsent,
    /// A record is too large for a frame.
    #[error("a record of {length} bytes is too large for a frame")]
    TooLarge {
        /// Its length.
        length: usize,
    },
}

/// Name of the operation of a sync in [`StorageError::Io`].
pub(crate) const SYNC: &str = "sync";

impl StorageError {
    /// Whether there was no space left on the disk.
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Self::Io { source, .. } if source.kind() == io::ErrorKind::StorageFull)
    }

    /// Whether the failed operation can be repeated on the same [`Storage`](crate::Storage).
    ///
    /// True if there was no space left, except for a sync: after a failed sync it is unknown which bytes
    /// are durable, whatever the reason, so only opening the folder again gives a known state.
    pub fn is_retriable(&self) -> bool {
        let is_sync = matches!(self, Self::Io { operation, .. } if *operation == SYNC);
        self.is_disk_full() && !is_sync
    }

    pub(crate) fn damaged(path: &Path, offset: usize, reason: impl Into<String>) -> Self {
        Self::Damaged {
            path: path.to_owned(),
            offset: offset as u64,
            reason: reason.into(),
        }
    }
}

/// Adds the operation and the file to an error of the file system.
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
