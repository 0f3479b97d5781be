//! The process's clock, which provides the timestamps for the pure decision crates.
//!
//! It also advances while the process is paused or the machine is suspended. The monotonic clock of the
//! operating system, which the runtime's timers use, stops while the machine is suspended, so that a lease of
//! five seconds could still be valid after an hour. Decisions therefore never use the runtime's `Instant`, and
//! each wait reads this clock before it continues.

use bramblewheel_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use std::future::Future;
use std::time::Duration;
use thiserror::Error;

/// Maximum sleep between two readings of the clock. A wait that expired while the machine was suspended ends
/// within this time after resume. Most requests are answered sooner and need no second reading.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Returns the time since a fixed point before the start of the process.
pub type TimeSource = fn() -> Duration;

/// A wait reached its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("timed out")]
pub struct TimedOut;

/// Monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: TimeSource,
    origin: Duration,
}

impl Clock {
    /// Starts a clock at zero that also advances while the machine is suspended.
    pub fn start() -> Self {
        Self::with_source(time_since_boot)
    }

    /// Starts a clock at zero with another time source, which must also advance while the machine is suspended.
    pub fn with_source(read: TimeSource) -> Self {
        Self {
            read,
            origin: read(),
        }
    }

    /// Current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + (self.read)().saturating_sub(self.origin)
    }

    /// Remaining time until `at`; zero once it has passed.
    pub fn remaining_until(&self, at: Timestamp) -> Duration {
        at.since(self.now())
    }

    /// Time since `at`; zero if it is in the future.
    pub fn since(&self, at: Timestamp) -> Duration {
        self.now().since(at)
    }

    /// Waits until `at`.
    pub async fn sleep_until(&self, at: Timestamp) {
        loop {
            let remaining = self.remaining_until(at);
            if remaining.is_zero() {
                return;
            }
            tokio::time::sleep(remaining.min(MAX_SLEEP)).await;
        }
    }

    /// Waits for a future until `at` at the latest.
    ///
    /// # Errors
    /// [`TimedOut`] if the future was not ready by then.
    pub async fn timeout_at<F: Future>(
        &self,
        at: Timestamp,
        future: F,
    ) -> Result<F::Output, TimedOut> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep_until(at) => Err(TimedOut),
        }
    }
}

/// Reads `CLOCK_BOOTTIME` (Linux 2.6.39 or later), which also advances while the machine is suspended.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
