//! Limits the rate of log lines for events that another program can trigger at will.
//!
//! The first event of a kind is logged at once, later ones at most once per period, with the number of events not
//! logged in between. Warnings are exempt from the logger's general limit and therefore need this one.

use bramblewheel_process::invariants::lock;
use bramblewheel_types::Timestamp;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

/// Shortest time between two lines of one kind.
const PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    last_line: Timestamp,
    without_line: u64,
}

/// Times of the last lines of each kind of event; kinds are constants of the program.
#[derive(Debug, Default)]
pub struct LineLimit {
    windows: Mutex<HashMap<&'static str, Window>>,
}

impl LineLimit {
    /// Counts an event; if it is to be logged, returns the number of events of its kind not logged since the last
    /// line.
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
