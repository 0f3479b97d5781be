//! What frames hold, in CBOR.

use crate::error::StorageError;
use crate::frame;
use bramblewheel_replication::{Entry, HardState, LogIndex, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One synced group of changes of the log. Applied in field order.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LogRecord {
    pub(crate) truncate_from: Option<LogIndex>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) hard_state: Option<HardState>,
}

/// Content of a snapshot file.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SnapshotRecord {
    /// Sequence of the first log record after it.
    pub(crate) sequence: u64,
    /// Whether entries recorded before it are void: it came from the leader.
    pub(crate) replaces_log: bool,
    /// Term and vote when it was written, since segments with older ones are removed.
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Snapshot,
}

/// Encodes a record as a frame.
pub(crate) fn encode<T: Serialize>(sequence: u64, record: &T) -> Result<Vec<u8>, StorageError> {
    let mut payload = Vec::new();
    ciborium::into_writer(record, &mut payload).expect("records encode into memory");
    frame::encode(sequence, &payload)
}

/// Decodes the payload of the frame at `offset` of a file.
pub(crate) fn decode<T: DeserializeOwned>(
    payload: &[u8],
    path: &Path,
    offset: usize,
) -> Result<T, StorageError> {
    ciborium::from_reader(payload)
        .map_err(|error| StorageError::damaged(path, offset, error.to_string()))
}

/// Decodes a file that is exactly one frame.
pub(crate) fn decode_file<T: DeserializeOwned>(
    file: &[u8],
    path: &Path,
) -> Result<T, StorageError> {
    let frame = match frame::decode(file, 0) {
        Ok(Some(frame)) if frame.end == file.len() => frame,
        Ok(Some(frame)) => {
            return Err(StorageError::damaged(
                path,
                frame.end,
                "bytes follow the record",
            ));
        }
        Ok(None) => return Err(StorageError::damaged(path, 0, "empty")),
        // The file was synced before it got its name, so it can't be torn.
        Err(_) => return Err(StorageError::damaged(path, 0, "not a whole record")),
    };
    decode(frame.payload, path, 0)
}
