//! Storage of one replica in one folder.

use crate::error::{IoContext, SYNC, StorageError};
use crate::file_system::FileSystem;
use crate::identity::{IDENTITY, Identity};
use crate::records::{self, LogRecord, SnapshotRecord};
use crate::recovery::{self, Recovered};
use crate::segment::{self, Segment, SegmentWriter};
use crate::snapshot_file;
use bramblewheel_replication::{HardState, LogIndex, RestoredState, Snapshot, Write};
use std::path::PathBuf;

/// Default size above which a segment is closed, in bytes.
const DEFAULT_SEGMENT_SIZE: u64 = 8 * 1024 * 1024;

/// Settings of storage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StorageConfig {
    /// Folder, used by this replica only.
    pub folder: PathBuf,
    /// Size above which a segment is closed, in bytes.
    pub segment_size: u64,
}

impl StorageConfig {
    /// Settings with the default segment size.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        Self {
            folder: folder.into(),
            segment_size: DEFAULT_SEGMENT_SIZE,
        }
    }
}

/// Storage of one replica in one folder.
///
/// Invariants:
/// - changes that [`write`](Self::write) or [`compact`](Self::compact) reported as done are restored by
///   the next [`open`](Self::open), whatever crash occurs in between;
/// - a write that was not reported as done is restored completely or not at all, except that its
///   snapshot may be restored without its entries;
/// - after a failed operation nothing is written any more, because the content of the disk is unknown
///   until a new start reads it. The exception is an error that
///   [`is_retriable`](StorageError::is_retriable): the same operation may be repeated, and what it left
///   incomplete is removed first.
#[derive(Debug)]
pub struct Storage<F: FileSystem> {
    files: F,
    config: StorageConfig,
    identity: Option<Identity>,
    hard_state: HardState,
    segments: Vec<Segment>,
    writer: Option<SegmentWriter<F::File>>,
    snapshot_name: Option<String>,
    next_sequence: u64,
    poisoned: bool,
}

impl<F: FileSystem> Storage<F> {
    /// Opens a folder, creating it if needed, and reads the synced state.
    ///
    /// A folder without an identity is new: call [`create_identity`](Self::create_identity)
    /// before the first write.
    ///
    /// # Errors
    /// [`StorageError::Damaged`] or [`StorageError::Missing`] when synced data is lost;
    /// [`StorageError::Io`] when an operation of the file system fails.
    pub fn open(
        files: F,
        config: StorageConfig,
    ) -> Result<(Self, Option<Identity>, RestoredState), StorageError> {
        let folder = config.folder.clone();
        files.create_folder(&folder).during("create", &folder)?;
        let names = files.list(&folder).during("list", &folder)?;
        let has_identity = names.iter().any(|name| name == IDENTITY);
        let recovered = recovery::recover(&files, &folder, &names)?;
        let identity = if has_identity {
            Some(Identity::read(&files, &folder)?)
        } else {
            None
        };
        check_identity(&config, has_identity, &recovered)?;
        let latest_snapshot = recovered.snapshot_name.as_deref();
        recovery::remove_leftovers(&files, &folder, &names, latest_snapshot)?;
        files.sync_folder(&folder).during(SYNC, &folder)?;
        let last = recovered.last.filter(|_| has_identity);
        let writer = last.map(|content| SegmentWriter::rewrite(&files, &folder, &content));
        let mut storage = Self {
            writer: writer.transpose()?,
            files,
            config,
            identity: identity.clone(),
            hard_state: recovered.state.hard_state,
            segments: recovered.segments,
            snapshot_name: recovered.snapshot_name,
            next_sequence: recovered.next_sequence,
            poisoned: false,
        };
        if let Some(start) = recovered.invalid_before {
            storage.finish_replacement(start)?;
        }
        Ok((storage, identity, recovered.state))
    }

    /// Identity of the folder.
    pub fn identity(&self) -> Option<&Identity> {
        self.identity.as_ref()
    }

    /// Gives a new folder its identity.
    ///
    /// # Errors
    /// [`StorageError`]; [`StorageError::IdentityExists`] when the folder is not new.
    pub fn create_identity(&mut self, identity: Identity) -> Result<(), StorageError> {
        if self.identity.is_some() {
            return Err(StorageError::IdentityExists);
        }
        self.guarded(|storage| {
            // The segment is created first, so that an identity without a segment shows that files were lost.
            storage.segments.clear();
            storage.start_segment()?;
            storage.store_identity(identity)
        })
    }

    /// Changes the identity, for example when the replica joins a group.
    ///
    /// # Errors
    /// [`StorageError`]; [`StorageError::IdentityAbsent`] when the folder is new.
    pub fn update_identity(&mut self, identity: Identity) -> Result<(), StorageError> {
        if self.identity.is_none() {
            return Err(StorageError::IdentityAbsent);
        }
        self.guarded(|storage| storage.store_identity(identity))
    }

    /// Writes and syncs the output of a replica, with one sync of the log and two more with a snapshot.
    ///
    /// # Errors
    /// [`StorageError`]; the replica must stop, or repeat the write if the error is retriable.
    pub fn write(&mut self, write: &Write) -> Result<(), StorageError> {
        if self.identity.is_none() {
            return Err(StorageError::IdentityAbsent);
        }
        if write.is_empty() {
            return self.check_usable();
        }
        self.guarded(|storage| storage.write_parts(write))
    }

    /// Stores a snapshot of the replica's own state machine and removes the segments that it covers.
    ///
    /// # Errors
    /// [`StorageError`]; the replica must stop, or repeat the call if the error is retriable.
    pub fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        if self.identity.is_none() {
            return Err(StorageError::IdentityAbsent);
        }
        self.guarded(|storage| {
            storage.store_snapshot(snapshot, false)?;
            storage.remove_covered_segments(snapshot.index)
        })
    }

    fn write_parts(&mut self, write: &Write) -> Result<(), StorageError> {
        if let Some(snapshot) = &write.snapshot {
            // The snapshot file includes term and vote, which must not be older than the snapshot.
            self.hard_state = write.hard_state.unwrap_or(self.hard_state);
            self.store_snapshot(snapshot, true)?;
            self.start_segment()?;
            self.remove_segments_before(self.next_sequence)?;
        }
        let record = LogRecord {
            truncate_from: write.truncate_from,
            entries: write.entries.clone(),
            hard_state: write.hard_state,
        };
        self.append(&record)?;
        self.hard_state = write.hard_state.unwrap_or(self.hard_state);
        Ok(())
    }

    /// Removes the segments that a snapshot from the leader replaced, if a crash prevented it before.
    ///
    /// No segment contains records from both before and after such a snapshot, because a new segment is
    /// started before the first record after it.
    fn finish_replacement(&mut self, start: u64) -> Result<(), StorageError> {
        if self.next_sequence == start {
            self.start_segment()?;
        }
        self.remove_segments_before(start)
    }

    fn append(&mut self, record: &LogRecord) -> Result<(), StorageError> {
        let frame = records::encode(self.next_sequence, record)?;
        let is_full = |writer: &SegmentWriter<_>| writer.size >= self.config.segment_size;
        if self.writer.as_ref().is_none_or(is_full) {
            self.start_segment()?;
        }
        let writer = self.writer.as_mut().expect("a segment was started");
        writer.write(&frame)?;
        let segment = self
            .segments
            .last_mut()
            .expect("an open writer has a segment");
        segment.add(record);
        self.next_sequence += 1;
        Ok(())
    }

    /// Starts a segment unless the last one is still empty.
    fn start_segment(&mut self) -> Result<(), StorageError> {
        let start = self.next_sequence;
        if self.writer.is_some() && self.segments.last().map(|last| last.start) == Some(start) {
            return Ok(());
        }
        let writer = SegmentWriter::create(&self.files, &self.config.folder, start)?;
        self.writer = Some(writer);
        self.segments.push(Segment::empty(start));
        Ok(())
    }

    fn store_identity(&mut self, identity: Identity) -> Result<(), StorageError> {
        identity.write(&self.files, &self.config.folder)?;
        self.identity = Some(identity);
        Ok(())
    }

    fn store_snapshot(
        &mut self,
        snapshot: &Snapshot,
        replaces_log: bool,
    ) -> Result<(), StorageError> {
        let record = SnapshotRecord {
            sequence: self.next_sequence,
            replaces_log,
            hard_state: self.hard_state,
            snapshot: snapshot.clone(),
        };
        let name = snapshot_file::write(&self.files, &self.config.folder, &record)?;
        let old = self.snapshot_name.replace(name.clone());
        match old {
            Some(old) if old != name => self.remove(&old),
            _ => Ok(()),
        }
    }

    /// Removes the oldest segments whose entries are all covered by a snapshot at `index`; keeps the last segment.
    fn remove_covered_segments(&mut self, index: LogIndex) -> Result<(), StorageError> {
        let covered = self.segments.iter().take_while(|s| s.highest <= index);
        let count = covered.count().min(self.segments.len() - 1);
        let start = self.segments[count].start;
        self.remove_segments_before(start)
    }

    fn remove_segments_before(&mut self, start: u64) -> Result<(), StorageError> {
        let folder = self.config.folder.clone();
        while let Some(first) = self.segments.first().filter(|first| first.start < start) {
            let name = segment::name(first.start);
            self.remove(&name)?;
            // Synced one by one, so that a crash never leaves a gap between segments.
            self.files.sync_folder(&folder).during(SYNC, &folder)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn remove(&self, name: &str) -> Result<(), StorageError> {
        let path = self.config.folder.join(name);
        self.files.remove(&path).during("remove", &path)
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        Ok(())
    }

    /// Runs an operation; once one has failed other than for lack of space, refuses all further ones.
    fn guarded(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        self.check_usable()?;
        let result = self.remove_torn_frame().and_then(|()| operation(self));
        self.poisoned = result.as_ref().is_err_and(|error| !error.is_retriable());
        result
    }

    fn remove_torn_frame(&mut self) -> Result<(), StorageError> {
        match &mut self.writer {
            Some(writer) => writer.remove_torn_frame(),
            None => Ok(()),
        }
    }
}

/// Checks that a folder has either both an identity and a log or neither.
fn check_identity(
    config: &StorageConfig,
    has_identity: bool,
    recovered: &Recovered,
) -> Result<(), StorageError> {
    if has_identity && recovered.segments.is_empty() {
        return Err(StorageError::Missing {
            path: config.folder.join(segment::name(0)),
            reason: "the folder has an identity but no log",
        });
    }
    if !has_identity && recovered.state != RestoredState::default() {
        return Err(StorageError::Missing {
            path: config.folder.join(IDENTITY),
            reason: "the folder has a log but no identity",
        });
    }
    Ok(())
}
