//! Errors of starting and running a replica.

use crate::state::MalformedState;
use bramblewheel_storage::StorageError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Reason for which a replica can't start. The message is one line.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener can't be opened.
    #[error("listener {listener} at {address}: {error}")]
    Bind {
        /// Which listener.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// Another process uses the data folder, or it can't be locked.
    #[error("{path}: {reason}")]
    Locked {
        /// The lock file.
        path: PathBuf,
        /// Reason for which it can't be locked.
        reason: String,
    },
    /// The data folder can't be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The snapshot can't be decoded, for instance because another program version wrote it.
    #[error(transparent)]
    State(#[from] MalformedState),
    /// The node's thread can't be started.
    #[error("can't start the node's thread: {0}")]
    Thread(io::Error),
    /// The operating system provides no random numbers.
    #[error("no random numbers from the operating system: {0}")]
    Random(getrandom::Error),
}

impl From<getrandom::Error> for StartError {
    fn from(error: getrandom::Error) -> Self {
        Self::Random(error)
    }
}

/// Reason for which a running replica ended other than by a planned stop.
#[derive(Debug, Error)]
pub enum RunError {
    /// The disk failed. Which writes it holds is known only after a restart.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The node's thread panicked. The panic has been reported.
    #[error("the node's thread panicked")]
    Ended,
}
