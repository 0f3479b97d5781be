//! Payloads of frames, encoded in CBOR.

use crate::error::StorageError;
use crate::frame;
use bramblewheel_replication::{Entry, HardState, LogIndex, Snapshot};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A group of log changes that is synced at once. Applied in field order.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct LogRecord {
    pub(crate) truncate_from: Option<LogIndex>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) hard_state: Option<HardState>,
}

/// Content of a snapshot file.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct SnapshotRecord {
    /// Sequence of the first log record after the snapshot.
    pub(crate) sequence: u64,
    /// Whether the snapshot came from the leader and invalidates all earlier log records.
    pub(crate) replaces_log: bool,
    /// Term and vote when the snapshot was written, because the segments that contain them may be removed.
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

/// Decodes a file that consists of exactly one frame.
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
        // The file was synced before it was renamed, so it can't be torn.
        Err(_) => return Err(StorageError::damaged(path, 0, "not a whole record")),
    };
    decode(frame.payload, path, 0)
}
