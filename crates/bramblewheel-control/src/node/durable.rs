//! The part of a driver that keeps a node on disk; works on any file layer.

use super::output::NodeOutput;
use bramblewheel_replication::{ReplicaId, RestoredState};
use bramblewheel_storage::{FileSystem, Identity, Storage, StorageConfig, StorageError};

/// A node's data folder.
pub struct Durable<F: FileSystem> {
    storage: Storage<F>,
    identity: Identity,
}

impl<F: FileSystem> Durable<F> {
    /// Opens a data folder and reads back what was synced. An empty folder gets the identity
    /// `fresh`, which must be random: a replica that lost its folder is not its old self.
    ///
    /// # Errors
    /// [`StorageError`]; the replica must not start.
    pub fn open(
        files: F,
        config: StorageConfig,
        name: &str,
        fresh: ReplicaId,
    ) -> Result<(Self, RestoredState), StorageError> {
        let (mut storage, identity, restored) = Storage::open(files, config)?;
        let identity = match identity {
            Some(identity) => identity,
            None => {
                let identity = Identity {
                    replica: fresh,
                    group: None,
                    name: name.to_owned(),
                };
                storage.create_identity(identity.clone())?;
                identity
            }
        };
        Ok((Self { storage, identity }, restored))
    }

    /// Who the replica is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Syncs what an output asks for.
    ///
    /// # Errors
    /// [`StorageError`]; the replica must stop, and nothing of the output may be sent.
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
