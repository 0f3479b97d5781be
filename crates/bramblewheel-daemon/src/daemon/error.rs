//! Errors at the start of a daemon.

use crate::control::store::StoreError;
use crate::sessions::SessionKeyError;
use bramblewheel_process::listener::BindError;
use thiserror::Error;

/// A daemon can't start; the message is one line.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener can't be opened.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The data folder can't be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The session keys can't be used.
    #[error(transparent)]
    SessionKeys(#[from] SessionKeyError),
    /// The operating system provides no random numbers.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
}

impl From<getrandom::Error> for StartError {
    fn from(error: getrandom::Error) -> Self {
        Self::Random(error)
    }
}
