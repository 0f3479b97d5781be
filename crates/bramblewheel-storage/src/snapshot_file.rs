//! Snapshot files, named by the sequence of the next log record and the last index they cover.

use crate::atomic;
use crate::error::{IoContext, StorageError};
use crate::file_system::FileSystem;
use crate::records::{self, SnapshotRecord};
use std::path::Path;

const PREFIX: &str = "snapshot-";

/// Whether a file name is that of a complete snapshot file.
pub(crate) fn is_snapshot(name: &str) -> bool {
    name.starts_with(PREFIX) && !name.ends_with(atomic::TEMPORARY)
}

/// Writes a snapshot file and returns its name. Names sort in the order of snapshots.
pub(crate) fn write<F: FileSystem>(
    files: &F,
    folder: &Path,
    record: &SnapshotRecord,
) -> Result<String, StorageError> {
    let (sequence, index) = (record.sequence, record.snapshot.index.0);
    let name = format!("{PREFIX}{sequence:020}-{index:020}");
    let bytes = records::encode(sequence, record)?;
    atomic::write(files, folder, &name, &bytes)?;
    Ok(name)
}

/// Reads a snapshot file.
pub(crate) fn read<F: FileSystem>(
    files: &F,
    folder: &Path,
    name: &str,
) -> Result<SnapshotRecord, StorageError> {
    let path = folder.join(name);
    let bytes = files.read(&path).during("read", &path)?;
    records::decode_file(&bytes, &path)
}
