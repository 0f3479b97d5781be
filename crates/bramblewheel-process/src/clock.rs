//! The process's clock, as timestamps for the pure decisions.
//!
//! It counts all time that passes, also while the process is paused and while its machine is suspended. The
//! operating system's steady clock, on which the runtime's timers go, stands still on a suspended machine:
//! by it a lease of five seconds is valid after an hour. So no decision goes by the runtime's instants, and
//! each wait looks at this clock before it goes on.

use bramblewheel_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use std::future::Future;
use std::time::Duration;
use thiserror::Error;

/// Longest sleep between two readings of the clock: a wait that a suspended machine has overslept is found to
/// be over within this time of waking. Most requests are answered sooner, and cost no second reading.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// Reads the time since some moment before the start of the process.
pub type ReadTime = fn() -> Duration;

/// The time for which something was waited has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the time is over")]
pub struct TimeIsOver;

/// Clock whose origin is its start, and which only goes forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: ReadTime,
    origin: Duration,
}

impl Clock {
    /// Starts a clock at zero that goes on while the machine is suspended.
    pub fn start() -> Self {
        Self::reading(time_since_boot)
    }

    /// Starts a clock at zero on another source of time, which must go on while the machine is suspended.
    pub fn reading(read: ReadTime) -> Self {
        Self {
            read,
            origin: read(),
        }
    }

    /// Time since the origin, in microseconds.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + (self.read)().saturating_sub(self.origin)
    }

    /// Time until a moment; zero once it has passed.
    pub fn left_until(&self, at: Timestamp) -> Duration {
        at.since(self.now())
    }

    /// Time since a moment.
    pub fn since(&self, at: Timestamp) -> Duration {
        self.now().since(at)
    }

    /// Waits until a moment.
    pub async fn sleep_until(&self, at: Timestamp) {
        loop {
            let left = self.left_until(at);
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(LONGEST_SLEEP)).await;
        }
    }

    /// Waits for a future until a moment at the latest.
    ///
    /// # Errors
    /// [`TimeIsOver`] if it was not ready by then.
    pub async fn timeout_at<F: Future>(
        &self,
        at: Timestamp,
        future: F,
    ) -> Result<F::Output, TimeIsOver> {
        tokio::select! {
            biased;
            output = future => Ok(output),
            () = self.sleep_until(at) => Err(TimeIsOver),
        }
    }
}

/// `CLOCK_BOOTTIME`, which Linux has had since 2.6.39: like the steady clock, and on while suspended.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
