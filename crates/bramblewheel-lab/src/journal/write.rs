//! Writes journals.

use super::{Event, Record};
use rustix::time::{ClockId, clock_gettime};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

/// Current time in microseconds on the machine's monotonic clock.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1_000_000 + nanoseconds / 1000
}

/// A journal that several tasks write to.
///
/// Each line is written to the file at once, without a buffer, so that it is kept when the process is killed.
#[derive(Clone, Debug)]
pub struct Journal {
    source: Arc<str>,
    file: Arc<File>,
}

impl Journal {
    /// Opens the journal of a process in a folder; appends to an existing one.
    ///
    /// # Errors
    /// The operating system's error when the file can't be opened.
    pub fn open(folder: &Path, source: &str) -> io::Result<Self> {
        let path = folder.join(format!("{source}.jsonl"));
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            source: Arc::from(source),
            file: Arc::new(file),
        })
    }

    /// Records an event with the current time.
    ///
    /// # Panics
    /// Panics when the line can't be written, because checks on an incomplete journal are meaningless.
    pub fn write(&self, event: Event) {
        let record = Record {
            at_us: now_us(),
            source: self.source.to_string(),
            event,
        };
        let mut line = serde_json::to_vec(&record).expect("a record can be serialized as JSON");
        line.push(b'\n');
        (&*self.file)
            .write_all(&line)
            .expect("the journal can be written; checks on an incomplete one are meaningless");
    }
}
