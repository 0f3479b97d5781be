//! Why a replica can't start or has ended.

use crate::state::MalformedState;
use bramblewheel_storage::StorageError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// A replica can't start; the text is one line.
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
        /// Why it can't be had.
        reason: String,
    },
    /// The data folder can't be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The snapshot is of another version of the program.
    #[error(transparent)]
    State(#[from] MalformedState),
    /// The node's thread can't be started.
    #[error("thread: {0}")]
    Thread(io::Error),
    /// The operating system gives no random numbers.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
}

impl From<getrandom::Error> for StartError {
    fn from(error: getrandom::Error) -> Self {
        Self::Random(error)
    }
}

/// A running replica ended otherwise than by a planned stop.
#[derive(Debug, Error)]
pub enum RunError {
    /// The disk failed: what it holds is known only after a new start.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The node's thread ended by a panic, which it has reported.
    #[error("the node's thread has ended")]
    Ended,
}
