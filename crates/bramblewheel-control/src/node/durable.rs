//! Persistence of a node for its driver, on any [`FileSystem`].

use super::output::NodeOutput;
use bramblewheel_replication::{ReplicaId, RestoredState};
use bramblewheel_storage::{FileSystem, Identity, Storage, StorageConfig, StorageError};

/// A node's data folder.
pub struct Durable<F: FileSystem> {
    storage: Storage<F>,
    identity: Identity,
}

impl<F: FileSystem> Durable<F> {
    /// Opens a data folder and restores the synced state. An empty folder gets the identity
    /// `new_identity`. A replica that lost its folder must not return under its earlier identity.
    ///
    /// # Errors
    /// [`StorageError`] if the folder can't be used; the replica must not start then.
    pub fn open(
        files: F,
        config: StorageConfig,
        name: &str,
        new_identity: ReplicaId,
    ) -> Result<(Self, RestoredState), StorageError> {
        let (mut storage, identity, restored) = Storage::open(files, config)?;
        let identity = match identity {
            Some(identity) => identity,
            None => {
                let identity = Identity {
                    replica: new_identity,
                    group: None,
                    name: name.to_owned(),
                };
                storage.create_identity(identity.clone())?;
                identity
            }
        };
        Ok((Self { storage, identity }, restored))
    }

    /// Identity of the replica.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Syncs the writes of an output.
    ///
    /// # Errors
    /// [`StorageError`] if a write fails. The replica must stop then, and nothing of the output may be sent.
    pub fn apply(&mut self, output: &NodeOutput) -> Result<(), StorageError> {
        self.storage.write(&output.write)?;
        if let Some(snapshot) = &output.snapshot {
            self.storage.compact(snapshot)?;
        }
        if output.joined_group.is_some() && output.joined_group != self.identity.group {
            self.identity.group = output.joined_group;
            self.storage.update_identity(self.identity.clone())?;
        }
        Ok(())
    }
}
