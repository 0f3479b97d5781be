//! Atomic writing of files.

use crate::error::{IoContext, SYNC, StorageError};
use crate::file_system::{AppendFile, FileSystem};
use std::path::Path;

/// Suffix of the names of files that are still being written.
pub(crate) const TEMPORARY: &str = ".tmp";

/// Writes a file atomically: writes and syncs a temporary file, renames it and syncs the folder.
///
/// # Errors
/// [`StorageError::Io`] when any step fails; the file then has either its old or its new content.
pub fn write<F: FileSystem>(
    files: &F,
    folder: &Path,
    name: &str,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}{TEMPORARY}"));
    let mut file = files.create(&temporary).during("create", &temporary)?;
    if let Err(error) = file.append(bytes).during("append to", &temporary) {
        if error.is_disk_full() {
            // The incomplete file would hold the last free space. It is also removed at the next opening.
            let _ = files.remove(&temporary);
        }
        return Err(error);
    }
    file.sync().during(SYNC, &temporary)?;
    files.rename(&temporary, &path).during("rename to", &path)?;
    files.sync_folder(folder).during(SYNC, folder)
}
