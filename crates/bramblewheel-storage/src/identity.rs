//! Identity of a replica, stored in its data folder.

use crate::atomic;
use crate::error::{IoContext, StorageError};
use crate::file_system::FileSystem;
use crate::records;
use bramblewheel_replication::ReplicaId;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Name of the identity file.
pub(crate) const IDENTITY: &str = "identity";

/// Identity of a replica. A replica that lost its folder has no identity and must get a new one, because
/// the votes and entries given under the old one are lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Drawn at random when the folder is created.
    pub replica: ReplicaId,
    /// Group the replica belongs to; `None` before it joins one.
    pub group: Option<u64>,
    /// Stable name from the settings.
    pub name: String,
}

impl Identity {
    pub(crate) fn write<F: FileSystem>(
        &self,
        files: &F,
        folder: &Path,
    ) -> Result<(), StorageError> {
        let bytes = records::encode(0, self)?;
        atomic::write(files, folder, IDENTITY, &bytes)
    }

    pub(crate) fn read<F: FileSystem>(files: &F, folder: &Path) -> Result<Self, StorageError> {
        let path = folder.join(IDENTITY);
        let bytes = files.read(&path).during("read", &path)?;
        records::decode_file(&bytes, &path)
    }
}
