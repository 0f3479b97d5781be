//! Recovery of the synced state from a folder.

use crate::atomic;
use crate::error::{IoContext, StorageError};
use crate::file_system::FileSystem;
use crate::records::LogRecord;
use crate::segment::{self, Segment, SegmentContent};
use crate::snapshot_file;
use bramblewheel_replication::{Entry, LogIndex, RestoredState};
use std::path::Path;

/// State recovered from a folder.
pub(crate) struct Recovered {
    pub(crate) state: RestoredState,
    pub(crate) segments: Vec<Segment>,
    /// Name of the latest snapshot file.
    pub(crate) snapshot_name: Option<String>,
    /// Sequence of the next record.
    pub(crate) next_sequence: u64,
    /// Content of the last segment.
    pub(crate) last: Option<SegmentContent>,
    /// Sequence before which all records are invalid, because a snapshot from the leader replaced them.
    pub(crate) invalid_before: Option<u64>,
}

/// Reads the latest snapshot and all segments.
pub(crate) fn recover<F: FileSystem>(
    files: &F,
    folder: &Path,
    names: &[String],
) -> Result<Recovered, StorageError> {
    let snapshot_name = names.iter().filter(|name| snapshot_file::is_snapshot(name));
    let snapshot_name = snapshot_name.max().cloned();
    let mut replay = Replay::default();
    if let Some(name) = &snapshot_name {
        let record = snapshot_file::read(files, folder, name)?;
        replay.sequence_of_snapshot = record.sequence;
        replay.replaces_log = record.replaces_log;
        replay.state.hard_state = record.hard_state;
        replay.state.snapshot = Some(record.snapshot);
    }
    let mut starts: Vec<u64> = names.iter().filter_map(|n| segment::start_of(n)).collect();
    starts.sort_unstable();
    check_first_segment(folder, &starts, replay.sequence_of_snapshot)?;
    let mut segments = Vec::new();
    let mut last = None;
    let mut next_sequence = starts.first().copied().unwrap_or(0);
    for (position, &start) in starts.iter().enumerate() {
        check_no_gap(folder, next_sequence, start)?;
        let is_last = position + 1 == starts.len();
        let mut content = segment::read(files, folder, start, is_last)?;
        let path = folder.join(segment::name(start));
        for (offset, record) in content.records.drain(..) {
            replay.apply(next_sequence, record, &path, offset)?;
            next_sequence += 1;
        }
        segments.push(content.segment);
        last = Some(content);
    }
    check_reaches_snapshot(folder, next_sequence, &replay)?;
    Ok(Recovered {
        invalid_before: replay.replaces_log.then_some(replay.sequence_of_snapshot),
        state: replay.finish(folder)?,
        segments,
        snapshot_name,
        next_sequence,
        last,
    })
}

/// Removes temporary files left by a crash, and superseded snapshots.
pub(crate) fn remove_leftovers<F: FileSystem>(
    files: &F,
    folder: &Path,
    names: &[String],
    snapshot_name: Option<&str>,
) -> Result<(), StorageError> {
    let is_latest = |name: &str| Some(name) == snapshot_name;
    for name in names {
        let is_old_snapshot = snapshot_file::is_snapshot(name) && !is_latest(name);
        if name.ends_with(atomic::TEMPORARY) || is_old_snapshot {
            let path = folder.join(name);
            files.remove(&path).during("remove", &path)?;
        }
    }
    Ok(())
}

fn check_first_segment(
    folder: &Path,
    starts: &[u64],
    sequence_of_snapshot: u64,
) -> Result<(), StorageError> {
    match starts.first() {
        Some(&first) if first > sequence_of_snapshot => Err(StorageError::Missing {
            path: folder.join(segment::name(sequence_of_snapshot)),
            reason: "the first segment starts after the snapshot",
        }),
        _ => Ok(()),
    }
}

fn check_no_gap(folder: &Path, expected: u64, start: u64) -> Result<(), StorageError> {
    if start == expected {
        return Ok(());
    }
    Err(StorageError::Missing {
        path: folder.join(segment::name(expected)),
        reason: "a later segment exists",
    })
}

fn check_reaches_snapshot(folder: &Path, next: u64, replay: &Replay) -> Result<(), StorageError> {
    if next >= replay.sequence_of_snapshot {
        return Ok(());
    }
    Err(StorageError::Missing {
        path: folder.join(segment::name(next)),
        reason: "records before the snapshot are lost",
    })
}

/// Rebuilds the state from the records, in order.
#[derive(Default)]
struct Replay {
    state: RestoredState,
    sequence_of_snapshot: u64,
    replaces_log: bool,
}

impl Replay {
    fn apply(
        &mut self,
        sequence: u64,
        record: LogRecord,
        path: &Path,
        offset: usize,
    ) -> Result<(), StorageError> {
        let is_older = sequence < self.sequence_of_snapshot;
        if is_older && self.replaces_log {
            return Ok(());
        }
        if let Some(first) = record.truncate_from {
            self.state.entries.retain(|entry| entry.index < first);
        }
        for entry in record.entries {
            self.append(entry, path, offset)?;
        }
        if let Some(hard_state) = record.hard_state.filter(|_| !is_older) {
            self.state.hard_state = hard_state;
        }
        Ok(())
    }

    fn append(&mut self, entry: Entry, path: &Path, offset: usize) -> Result<(), StorageError> {
        let expected = self.state.entries.last().map(|last| last.index.0 + 1);
        if expected.is_some_and(|expected| expected != entry.index.0) {
            let reason = format!("entry {} out of order", entry.index.0);
            return Err(StorageError::damaged(path, offset, reason));
        }
        self.state.entries.push(entry);
        Ok(())
    }

    fn finish(mut self, folder: &Path) -> Result<RestoredState, StorageError> {
        let covered = self
            .state
            .snapshot
            .as_ref()
            .map_or(LogIndex(0), |s| s.index);
        self.state.entries.retain(|entry| entry.index > covered);
        match self.state.entries.first() {
            Some(first) if first.index.0 != covered.0 + 1 => Err(StorageError::Missing {
                path: folder.to_owned(),
                reason: "entries between the snapshot and the segments are lost",
            }),
            _ => Ok(self.state),
        }
    }
}
