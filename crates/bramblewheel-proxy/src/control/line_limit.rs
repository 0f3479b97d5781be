//! Bounds the log lines of events that another program can cause as often as it likes.
//!
//! Owns when each kind of event was logged last. The first event of a kind is logged at once, later ones at most once
//! in each period, with the number of those that got no line. Warnings pass the bound on all lines, so that they need
//! one of their own.

use bramblewheel_process::invariants::lock;
use bramblewheel_types::Timestamp;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

/// Least time between two lines of one kind.
const PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    last_line: Timestamp,
    without_line: u64,
}

/// When each kind of event was logged last; kinds are constants of the program.
#[derive(Debug, Default)]
pub struct LineLimit {
    windows: Mutex<HashMap<&'static str, Window>>,
}

impl LineLimit {
    /// Counts an event; if it is to be logged, returns how many of its kind got no line since the last one.
    pub fn count(&self, now: Timestamp, kind: &'static str) -> Option<u64> {
        let mut windows = lock(&self.windows);
        let Some(window) = windows.get_mut(kind) else {
            let window = Window {
                last_line: now,
                without_line: 0,
            };
            windows.insert(kind, window);
            return Some(0);
        };
        if now.since(window.last_line) < PERIOD {
            window.without_line += 1;
            return None;
        }
        window.last_line = now;
        Some(std::mem::take(&mut window.without_line))
    }
}
