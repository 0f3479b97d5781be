//! History of a run with an incremental SHA-256 digest.

use super::actor::{StartCause, StopCause};
use super::process::ProcessId;
use bramblewheel_types::Timestamp;
use sha2::{Digest, Sha256};
use std::fmt;
use std::hash::{Hash, Hasher};

/// An event in the history.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Fact<R> {
    /// A process started.
    Started(StartCause),
    /// A process stopped.
    Stopped(StopCause),
    /// A process was frozen.
    Frozen,
    /// A frozen process resumed.
    Thawed,
    /// Record of the domain.
    Domain(R),
}

/// One entry of the history.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry<R> {
    /// Virtual time.
    pub at: Timestamp,
    /// Process concerned; `None` for events outside of all processes.
    pub process: Option<ProcessId>,
    /// The event.
    pub fact: Fact<R>,
}

/// SHA-256 digest of a whole history.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HistoryDigest(pub [u8; 32]);

impl fmt::Display for HistoryDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for HistoryDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

/// History of a run so far.
#[derive(Debug)]
pub struct History<R> {
    entries: Vec<Entry<R>>,
    hasher: DigestHasher,
}

impl<R: Hash> History<R> {
    pub(super) fn new() -> Self {
        Self {
            entries: Vec::new(),
            hasher: DigestHasher::default(),
        }
    }

    pub(super) fn record(&mut self, entry: Entry<R>) {
        entry.hash(&mut self.hasher);
        self.entries.push(entry);
    }

    /// Entries since the last [`take_entries`](Self::take_entries).
    pub fn entries(&self) -> &[Entry<R>] {
        &self.entries
    }

    /// Removes and returns the entries, so that a long run can be checked in parts with little memory. The digest still
    /// covers all entries.
    pub fn take_entries(&mut self) -> Vec<Entry<R>> {
        std::mem::take(&mut self.entries)
    }

    /// Digest of all entries so far and the number of handled events.
    pub(super) fn digest(&self, handled: u64) -> HistoryDigest {
        let mut hasher = self.hasher.clone();
        hasher.write_u64(handled);
        HistoryDigest(hasher.0.finalize().into())
    }
}

/// Adapter that feeds `Hash` implementations into SHA-256.
#[derive(Clone, Debug, Default)]
struct DigestHasher(Sha256);

impl Hasher for DigestHasher {
    fn write(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    fn write_u32(&mut self, number: u32) {
        self.0.update(number.to_le_bytes());
    }

    fn write_u64(&mut self, number: u64) {
        self.0.update(number.to_le_bytes());
    }

    fn write_usize(&mut self, number: usize) {
        self.write_u64(number as u64);
    }

    fn write_isize(&mut self, number: isize) {
        self.write_u64(number as u64);
    }

    /// Unused; the digest is read from the inner SHA-256 state.
    fn finish(&self) -> u64 {
        0
    }
}
