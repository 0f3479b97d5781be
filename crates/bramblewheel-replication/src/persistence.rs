//! Tracks which changes were handed to the driver to be synced and which are synced.

use crate::log::Log;
use crate::types::{HardState, LogIndex, Snapshot, Write};

/// Changes handed to the driver to be synced, and changes that are synced.
///
/// Invariant: `synced <= handed_out <= last index of the log`.
#[derive(Debug)]
pub(crate) struct Persistence {
    synced: LogIndex,
    handed_out: LogIndex,
    truncate_from: Option<LogIndex>,
    snapshot: Option<Snapshot>,
    hard_state: HardState,
}

impl Persistence {
    /// Starts with the hard state and all entries up to `index` synced.
    pub(crate) fn new(index: LogIndex, hard_state: HardState) -> Self {
        Self {
            synced: index,
            handed_out: index,
            truncate_from: None,
            snapshot: None,
            hard_state,
        }
    }

    /// Last entry that is synced.
    pub(crate) fn synced(&self) -> LogIndex {
        self.synced
    }

    /// Records that the log was truncated from `index` on.
    pub(crate) fn on_truncate(&mut self, index: LogIndex) {
        let last_kept = LogIndex(index.0 - 1);
        if index <= self.handed_out {
            let earlier = self.truncate_from.unwrap_or(index);
            self.truncate_from = Some(earlier.min(index));
            self.handed_out = last_kept;
        }
        self.synced = self.synced.min(last_kept);
    }

    /// Records that the log was replaced by a snapshot.
    pub(crate) fn on_install(&mut self, snapshot: Snapshot) {
        self.truncate_from = None;
        self.handed_out = snapshot.index;
        self.synced = self.synced.min(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// Takes the changes to be synced next.
    pub(crate) fn take_write(&mut self, log: &Log, hard_state: HardState) -> Write {
        let first = LogIndex(self.handed_out.0 + 1);
        let write = Write {
            snapshot: self.snapshot.take(),
            truncate_from: self.truncate_from.take(),
            entries: log.range(first, log.last_index()).cloned().collect(),
            hard_state: (hard_state != self.hard_state).then_some(hard_state),
        };
        self.handed_out = log.last_index();
        self.hard_state = hard_state;
        write
    }

    /// Records that all changes handed out so far are synced.
    pub(crate) fn persisted(&mut self) {
        self.synced = self.handed_out;
    }
}
