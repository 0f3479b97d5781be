//! Reads the process's clocks for the node.

use crate::node::Now;
use bramblewheel_process::clock::Clock as ProcessClock;
use std::time::{SystemTime, UNIX_EPOCH};

/// Clocks of the process. The monotonic clock, which waits and leases use, also counts time while the process
/// is paused or the machine is suspended, so a lease checked afterwards has expired.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    process: ProcessClock,
}

impl Clock {
    /// Starts the monotonic clock at zero.
    pub fn start() -> Self {
        Self {
            process: ProcessClock::start(),
        }
    }

    /// Current monotonic and wall-clock time.
    pub fn now(&self) -> Now {
        // A wall clock before 1970 reads as 1970. This is harmless because log time never goes back.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix = unix.unwrap_or_default().as_millis();
        Now {
            monotonic: self.process.now(),
            unix_millis: u64::try_from(unix).unwrap_or(u64::MAX),
        }
    }
}
