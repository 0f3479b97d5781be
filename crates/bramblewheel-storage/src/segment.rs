//! Log segments, named by the sequence of their first record.

use crate::atomic;
use crate::error::{IoContext, SYNC, StorageError};
use crate::file_system::{AppendFile, FileSystem};
use crate::frame::{self, FrameFault};
use crate::records::{self, LogRecord};
use bramblewheel_replication::LogIndex;
use std::path::{Path, PathBuf};

const PREFIX: &str = "log-";

/// Name of the segment whose first record has this sequence.
pub(crate) fn name(start: u64) -> String {
    format!("{PREFIX}{start:020}")
}

/// Sequence of a segment's first record; `None` if the file name is not that of a segment.
pub(crate) fn start_of(name: &str) -> Option<u64> {
    name.strip_prefix(PREFIX)?.parse().ok()
}

/// An existing segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    /// Sequence of its first record.
    pub(crate) start: u64,
    /// Highest index of an entry in it.
    pub(crate) highest: LogIndex,
}

impl Segment {
    pub(crate) fn empty(start: u64) -> Self {
        Self {
            start,
            highest: LogIndex(0),
        }
    }

    pub(crate) fn add(&mut self, record: &LogRecord) {
        for entry in &record.entries {
            self.highest = self.highest.max(entry.index);
        }
    }
}

/// Content of a segment.
pub(crate) struct SegmentContent {
    pub(crate) segment: Segment,
    /// Records with their offsets.
    pub(crate) records: Vec<(usize, LogRecord)>,
    /// Bytes of the complete frames.
    pub(crate) bytes: Vec<u8>,
}

/// Reads a segment. Only the last one may end with a torn frame, which is ignored.
pub(crate) fn read<F: FileSystem>(
    files: &F,
    folder: &Path,
    start: u64,
    is_last: bool,
) -> Result<SegmentContent, StorageError> {
    let path = folder.join(name(start));
    let mut bytes = files.read(&path).during("read", &path)?;
    let mut segment = Segment::empty(start);
    let mut records = Vec::new();
    let mut offset = 0;
    loop {
        let frame = match frame::decode(&bytes, offset) {
            Ok(Some(frame)) => frame,
            Ok(None) => break,
            Err(FrameFault::Torn) if is_last => break,
            Err(FrameFault::Torn) => {
                let reason = "the last frame is torn, but another segment follows";
                return Err(StorageError::damaged(&path, offset, reason));
            }
            Err(FrameFault::Damaged(reason)) => {
                return Err(StorageError::damaged(&path, offset, reason));
            }
        };
        check_sequence(frame.sequence, start + records.len() as u64, &path, offset)?;
        let record: LogRecord = records::decode(frame.payload, &path, offset)?;
        segment.add(&record);
        records.push((offset, record));
        offset += frame.end;
    }
    bytes.truncate(offset);
    Ok(SegmentContent {
        segment,
        records,
        bytes,
    })
}

fn check_sequence(
    found: u64,
    expected: u64,
    path: &Path,
    offset: usize,
) -> Result<(), StorageError> {
    if found == expected {
        return Ok(());
    }
    let reason = format!("found record {found}, expected record {expected}");
    Err(StorageError::damaged(path, offset, reason))
}

/// Writer of the last segment.
#[derive(Debug)]
pub(crate) struct SegmentWriter<A> {
    file: A,
    path: PathBuf,
    /// Size of the complete frames, in bytes.
    pub(crate) size: u64,
    /// Whether a failed append may have left a torn frame behind the complete ones.
    is_torn: bool,
}

impl<A: AppendFile> SegmentWriter<A> {
    /// Creates an empty segment and makes its name durable.
    pub(crate) fn create<F: FileSystem<File = A>>(
        files: &F,
        folder: &Path,
        start: u64,
    ) -> Result<Self, StorageError> {
        let path = folder.join(name(start));
        let mut file = files.create(&path).during("create", &path)?;
        file.sync().during(SYNC, &path)?;
        files.sync_folder(folder).during(SYNC, folder)?;
        Ok(Self {
            file,
            path,
            size: 0,
            is_torn: false,
        })
    }

    /// Continues a segment that was read in recovery.
    ///
    /// Rewrites its content: after a failed sync or a killed process, the bytes read may be only in the
    /// page cache, and a later sync would not write them to disk.
    pub(crate) fn rewrite<F: FileSystem<File = A>>(
        files: &F,
        folder: &Path,
        content: &SegmentContent,
    ) -> Result<Self, StorageError> {
        let name = name(content.segment.start);
        atomic::write(files, folder, &name, &content.bytes)?;
        let path = folder.join(name);
        let file = files.open_append(&path).during("open", &path)?;
        Ok(Self {
            file,
            path,
            size: content.bytes.len() as u64,
            is_torn: false,
        })
    }

    /// Removes a torn frame that a failed append left. Recovery would ignore all that is behind it, or
    /// refuse the segment if another one follows.
    pub(crate) fn remove_torn_frame(&mut self) -> Result<(), StorageError> {
        if self.is_torn {
            self.file
                .truncate(self.size)
                .during("truncate", &self.path)?;
            self.is_torn = false;
        }
        Ok(())
    }

    /// Appends and syncs a frame.
    pub(crate) fn write(&mut self, frame: &[u8]) -> Result<(), StorageError> {
        self.is_torn = true;
        self.file.append(frame).during("append to", &self.path)?;
        self.is_torn = false;
        self.file.sync().during(SYNC, &self.path)?;
        self.size += frame.len() as u64;
        Ok(())
    }
}
