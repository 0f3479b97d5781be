//! The process's monotonic clock, as timestamps for the pure decisions.

use bramblewheel_types::Timestamp;
use std::time::Duration;
use tokio::time::Instant;

/// Monotonic clock whose origin is the start of the process.
///
/// It goes on while the process is frozen, so a deadline checked after a pause is seen as passed.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Time since the origin, in microseconds.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// The runtime's instant for a timestamp of this clock.
    pub fn instant(&self, at: Timestamp) -> Instant {
        const FAR_AWAY: Duration = Duration::from_secs(86_400 * 365);
        self.origin + at.since(Timestamp::ZERO).min(FAR_AWAY)
    }
}
