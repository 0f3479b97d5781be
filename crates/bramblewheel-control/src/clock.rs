//! The process's clocks, as the node's time.

use crate::node::Now;
use bramblewheel_types::Timestamp;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Clocks of the process. The monotonic one goes on while the process is frozen, so a lease
/// checked after a pause is seen as over.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts the monotonic clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Now {
        // A wall clock before 1970 counts as 1970: the log's time does not go back anyway.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix = unix.unwrap_or_default().as_millis();
        Now {
            monotonic: Timestamp::ZERO + self.origin.elapsed(),
            unix_millis: u64::try_from(unix).unwrap_or(u64::MAX),
        }
    }
}
