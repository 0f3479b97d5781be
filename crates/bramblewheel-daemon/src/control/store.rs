//! The bundle in force, kept in the data folder across restarts.

use crate::control::verify::{self, RefusedBundle};
use bramblewheel_bundle::Bundle;
use bramblewheel_protocol::codec::{self, CodecError, MAX_CONTROL_FRAME};
use bramblewheel_protocol::control::SignedBundle;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// File that holds the bundle in force, as one frame of the control protocol.
const FILE: &str = "bundle.cbor";
/// File under which a new one is written before it takes the other's name.
const TEMPORARY_FILE: &str = "bundle.cbor.new";

/// The data folder can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The operating system refuses.
    #[error("{path}: {error}")]
    Io {
        /// File or folder.
        path: PathBuf,
        /// What it says.
        error: io::Error,
    },
    /// The file is damaged. It isn't skipped, since without it the daemon could go back to an
    /// older bundle; to start afresh, an operator removes it.
    #[error("{path} is damaged ({reason}); remove it to fetch the bundle in force anew")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// How it shows.
        reason: String,
    },
}

/// The bundle in force in a data folder.
#[derive(Clone, Debug)]
pub struct BundleStore {
    folder: PathBuf,
}

impl BundleStore {
    /// Opens a data folder, and makes it if it is not there.
    ///
    /// # Errors
    /// [`StoreError::Io`] when it can't be made.
    pub fn open(folder: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(folder).map_err(|error| io_error(folder, error))?;
        Ok(Self {
            folder: folder.to_owned(),
        })
    }

    /// Reads the bundle that was in force at the last stop; `None` if there never was one.
    ///
    /// # Errors
    /// [`StoreError`] when it can't be read or is damaged.
    pub fn load(&self) -> Result<Option<Bundle>, StoreError> {
        let path = self.folder.join(FILE);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(io_error(&path, error)),
        };
        let damaged = |reason: String| StoreError::Damaged {
            path: path.clone(),
            reason,
        };
        let signed = decode_frame(&bytes).map_err(|error| damaged(error.to_string()))?;
        let bundle = verify::decode(&signed);
        bundle
            .map(Some)
            .map_err(|error: RefusedBundle| damaged(error.to_string()))
    }

    /// Writes the bundle so that it outlives a crash or power cut at any moment; when this
    /// returns, it is on disk.
    ///
    /// # Errors
    /// [`StoreError::Io`] when any step fails; then the older file is still in place.
    pub fn save(&self, signed: &SignedBundle) -> Result<(), StoreError> {
        let temporary = self.folder.join(TEMPORARY_FILE);
        let path = self.folder.join(FILE);
        let frame = codec::encode(signed, MAX_CONTROL_FRAME)
            .map_err(|error| io_error(&path, io::Error::other(error)))?;
        write_synced(&temporary, &frame).map_err(|error| io_error(&temporary, error))?;
        fs::rename(&temporary, &path).map_err(|error| io_error(&path, error))?;
        File::open(&self.folder)
            .and_then(|folder| folder.sync_all())
            .map_err(|error| io_error(&self.folder, error))
    }
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn decode_frame(bytes: &[u8]) -> Result<SignedBundle, CodecError> {
    let cut_short = || CodecError::Malformed("cut short".to_owned());
    let (prefix, rest) = bytes.split_first_chunk::<4>().ok_or_else(cut_short)?;
    if u32::from_be_bytes(*prefix) as usize != rest.len() {
        return Err(cut_short());
    }
    codec::decode(rest)
}

fn io_error(path: &Path, error: io::Error) -> StoreError {
    StoreError::Io {
        path: path.to_owned(),
        error,
    }
}
