//! The process's clocks, as the node's time.

use crate::node::Now;
use bramblewheel_process::clock::Clock as ProcessClock;
use std::time::{SystemTime, UNIX_EPOCH};

/// Clocks of the process. The one that waits and leases go by counts all time that passes, so a lease checked
/// after a pause of the process or a suspended machine is seen as over.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    process: ProcessClock,
}

impl Clock {
    /// Starts the process's clock at zero.
    pub fn start() -> Self {
        Self {
            process: ProcessClock::start(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Now {
        // A wall clock before 1970 counts as 1970: the log's time does not go back anyway.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix = unix.unwrap_or_default().as_millis();
        Now {
            monotonic: self.process.now(),
            unix_millis: u64::try_from(unix).unwrap_or(u64::MAX),
        }
    }
}
