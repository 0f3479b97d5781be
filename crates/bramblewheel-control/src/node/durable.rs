//! Persistence of a node for its driver, on any [`FileSystem`].

use super::output::NodeOutput;
use bramblewheel_replication::{ReplicaId, RestoredState, Write};
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

    /// Syncs the writes of an output, and removes from the output what is synced.
    ///
    /// # Errors
    /// [`StorageError`] if a write fails; nothing of the output may be sent. If the error
    /// [`is_retriable`](StorageError::is_retriable), the rest of the output may be passed again, after
    /// [`ControlNode::disk_full`](super::ControlNode::disk_full); otherwise the replica must stop.
    pub fn apply(&mut self, output: &mut NodeOutput) -> Result<(), StorageError> {
        self.storage.write(&output.write)?;
        output.write = Write::default();
        if let Some(snapshot) = &output.snapshot {
            self.storage.compact(snapshot)?;
            output.snapshot = None;
        }
        if output.joined_group.is_some() && output.joined_group != self.identity.group {
            let identity = Identity {
                group: output.joined_group,
                ..self.identity.clone()
            };
            self.storage.update_identity(identity.clone())?;
            self.identity = identity;
        }
        Ok(())
    }
}
