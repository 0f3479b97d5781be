//! Storage of the bundle in force in the data folder, across restarts.

use crate::control::verify::{self, RefusedBundle};
use bramblewheel_bundle::Bundle;
use bramblewheel_protocol::codec::{self, CodecError, MAX_CONTROL_FRAME};
use bramblewheel_protocol::control::SignedBundle;
use bramblewheel_storage::{DiskFileSystem, FileSystem, StorageError, write_whole_file};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// File with the bundle in force, as one frame of the control protocol.
const FILE: &str = "bundle.cbor";

/// The data folder can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file can't be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// Error of the file system.
        error: io::Error,
    },
    /// The file can't be written or synced.
    #[error(transparent)]
    Write(#[from] StorageError),
    /// The bundle can't be encoded, for example because it is too large.
    #[error(transparent)]
    Encode(#[from] CodecError),
    /// The file is damaged. It is not ignored, since the daemon could then go back to an older
    /// bundle; an operator may remove it.
    #[error("{path} is damaged ({reason}); remove it to fetch the bundle in force anew")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Description of the damage.
        reason: String,
    },
}

/// Storage of the bundle in force in a data folder.
#[derive(Clone, Debug)]
pub struct BundleStore<F = DiskFileSystem> {
    files: F,
    folder: PathBuf,
}

impl<F: FileSystem> BundleStore<F> {
    /// Opens a data folder and creates it if it does not exist.
    ///
    /// # Errors
    /// [`StoreError::Read`] when the folder can't be created.
    pub fn open(files: F, folder: &Path) -> Result<Self, StoreError> {
        let created = files.create_folder(folder);
        created.map_err(|error| read_error(folder, error))?;
        Ok(Self {
            files,
            folder: folder.to_owned(),
        })
    }

    /// Reads the bundle that was in force at the last stop; `None` if none was ever saved.
    ///
    /// # Errors
    /// [`StoreError`] when the file can't be read or is damaged.
    pub fn load(&self) -> Result<Option<Bundle>, StoreError> {
        let path = self.folder.join(FILE);
        let bytes = match self.files.read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(read_error(&path, error)),
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

    /// Writes the bundle atomically and durably: it is on disk when this returns, and a crash or
    /// power loss at any time leaves a complete file.
    ///
    /// # Errors
    /// [`StoreError`] when any step fails; either the old or the new bundle is then in place.
    pub fn save(&self, signed: &SignedBundle) -> Result<(), StoreError> {
        let frame = codec::encode(signed, MAX_CONTROL_FRAME)?;
        write_whole_file(&self.files, &self.folder, FILE, &frame)?;
        Ok(())
    }
}

fn decode_frame(bytes: &[u8]) -> Result<SignedBundle, CodecError> {
    let cut_short = || CodecError::Malformed("cut short".to_owned());
    let (prefix, rest) = bytes.split_first_chunk::<4>().ok_or_else(cut_short)?;
    if u32::from_be_bytes(*prefix) as usize != rest.len() {
        return Err(cut_short());
    }
    codec::decode(rest)
}

fn read_error(path: &Path, error: io::Error) -> StoreError {
    StoreError::Read {
        path: path.to_owned(),
        error,
    }
}
