//! The file in which a replica keeps the usage of tenants, so that it outlives the end of all processes of a fleet.
//!
//! It is written by a thread of its own and not synced: syncs several times a second would delay those of the log. After a
//! loss of power the file may be missing, and an equal part of each quota counts as used.

use crate::node::usage::{SAVE_INTERVAL, SavedUsage};
use crate::node::{ControlNode, Now};
use crate::report_limit::ReportLimit;
use bramblewheel_protocol::codec::{self, LENGTH_PREFIX, MAX_PEER_FRAME};
use bramblewheel_storage::{AppendFile, FileSystem};
use bramblewheel_types::Timestamp;
use slog::Logger;
use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

const FILE_NAME: &str = "tenant-usage";
const TEMPORARY_NAME: &str = "tenant-usage.tmp";

/// Passes usage to the thread that writes it.
pub(super) struct UsageWriter {
    to_thread: SyncSender<SavedUsage>,
    due: Timestamp,
}

impl UsageWriter {
    /// Starts the thread, which ends once the writer is dropped.
    ///
    /// # Errors
    /// The thread can't be started.
    pub(super) fn start<F>(files: F, folder: PathBuf, log: Logger) -> io::Result<Self>
    where
        F: FileSystem + Send + 'static,
    {
        // One is written and one waits; further ones are dropped, since a later one replaces them.
        let (to_thread, to_write) = sync_channel(1);
        let thread = std::thread::Builder::new().name("usage".to_owned());
        thread.spawn(move || write_all(&files, &folder, &to_write, &log))?;
        Ok(Self {
            to_thread,
            due: Timestamp::ZERO,
        })
    }

    /// Saves the node's usage if that is due.
    pub(super) fn save_if_due(&mut self, now: Now, node: &ControlNode) {
        if now.monotonic < self.due {
            return;
        }
        self.due = now.monotonic + SAVE_INTERVAL;
        if let Some(saved) = node.saved_usage(now) {
            // The thread has not finished with an earlier one.
            let _ = self.to_thread.try_send(saved);
        }
    }
}

fn write_all<F: FileSystem>(
    files: &F,
    folder: &Path,
    to_write: &Receiver<SavedUsage>,
    log: &Logger,
) {
    let mut failures = ReportLimit::default();
    let clock = crate::clock::Clock::start();
    while let Ok(saved) = to_write.recv() {
        let mut failed = |error: &dyn Display| {
            if let Some(without_line) = failures.admit((), clock.now().monotonic) {
                slog::warn!(log, "tenant usage not saved"; "without_line" => without_line,
                    "error" => %error);
            }
        };
        match codec::encode(&saved, MAX_PEER_FRAME) {
            Ok(bytes) => {
                let written = write_unsynced(files, folder, &bytes);
                if let Err(error) = written {
                    failed(&error);
                }
            }
            Err(error) => failed(&error),
        }
    }
}

/// Replaces the file without syncing it.
fn write_unsynced<F: FileSystem>(files: &F, folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = folder.join(TEMPORARY_NAME);
    files.create(&temporary)?.append(bytes)?;
    files.rename(&temporary, &folder.join(FILE_NAME))
}

/// Reads what an earlier process of this replica saved; `None` if there is none or it can't be read.
pub(super) fn read<F: FileSystem>(files: &F, folder: &Path, log: &Logger) -> Option<SavedUsage> {
    let bytes = match files.read(&folder.join(FILE_NAME)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
        Err(error) => {
            slog::warn!(log, "saved tenant usage not read"; "error" => %error);
            return None;
        }
    };
    let saved = codec::decode(bytes.get(LENGTH_PREFIX..).unwrap_or_default());
    match saved {
        Ok(saved) => Some(saved),
        Err(error) => {
            slog::warn!(log, "saved tenant usage not read"; "error" => %error);
            None
        }
    }
}
