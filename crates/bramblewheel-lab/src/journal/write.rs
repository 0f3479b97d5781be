//! Writing of journals.

use super::{Event, Record};
use rustix::time::{ClockId, clock_gettime};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;

/// Time now, in microseconds on the machine's monotonic clock.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    let seconds = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanoseconds = u64::try_from(now.tv_nsec).unwrap_or_default();
    seconds * 1_000_000 + nanoseconds / 1000
}

/// A journal that several tasks write to.
///
/// Each line is handed to the operating system at once, so that it outlives a killed process.
#[derive(Clone, Debug)]
pub struct Journal {
    source: Arc<str>,
    file: Arc<File>,
}

impl Journal {
    /// Opens a process's journal in a folder; lines are added to an existing one.
    ///
    /// # Errors
    /// What the operating system says.
    pub fn open(folder: &Path, source: &str) -> io::Result<Self> {
        let path = folder.join(format!("{source}.jsonl"));
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            source: Arc::from(source),
            file: Arc::new(file),
        })
    }

    /// Writes an event down as of now.
    ///
    /// # Panics
    /// When the line can't be written: a run whose journal has gaps proves nothing.
    pub fn write(&self, event: Event) {
        let record = Record {
            at_us: now_us(),
            source: self.source.to_string(),
            event,
        };
        let mut line = serde_json::to_vec(&record).expect("records have a form in JSON");
        line.push(b'\n');
        (&*self.file)
            .write_all(&line)
            .expect("a run whose journal has gaps proves nothing");
    }
}
