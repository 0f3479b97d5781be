//! Log compaction: replaces entries by a snapshot of the state machine.

use crate::error::CompactError;
use crate::replica::Replica;
use crate::types::{LogIndex, Snapshot};
use bramblewheel_types::Timestamp;

impl Replica {
    /// Replaces the entries up to `index`, which must have been handed out, by a snapshot with the state
    /// machine's state at that entry. The driver stores the result.
    ///
    /// # Errors
    /// [`CompactError`] when the entry is not applied and synced, or is compacted already.
    pub fn compact(
        &mut self,
        now: Timestamp,
        index: LogIndex,
        data: Vec<u8>,
    ) -> Result<Snapshot, CompactError> {
        self.advance_clock(now);
        let limit = self.delivered.min(self.persistence.synced());
        if index > limit {
            return Err(CompactError::NotApplied { index, limit });
        }
        if index <= self.log.snapshot_index() {
            let present = self.log.snapshot_index();
            return Err(CompactError::AlreadyCompacted(present));
        }
        Ok(self.log.compact(index, data))
    }

    /// Bytes of the commands that the log holds in memory.
    pub fn log_bytes(&self) -> usize {
        self.log.held_bytes()
    }
}
