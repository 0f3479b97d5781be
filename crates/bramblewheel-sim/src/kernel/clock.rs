//! Clocks of processes, each with its own origin and rate.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Parts per million in one.
const MILLION: i128 = 1_000_000;

/// The monotonic clock of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clock {
    /// Reading at virtual time zero.
    pub origin: Duration,
    /// Rate above that of virtual time, in parts per million; negative for a slower clock. Must be above minus one
    /// million.
    pub skew_ppm: i32,
}

impl Clock {
    /// Reading of the clock at a virtual time.
    pub fn local(&self, at: Timestamp) -> Timestamp {
        if self.skew_ppm == 0 {
            return at + self.origin;
        }
        let elapsed = i128::from(at.0) * (MILLION + i128::from(self.skew_ppm)) / MILLION;
        Timestamp(u64::try_from(elapsed).unwrap_or(u64::MAX)) + self.origin
    }

    /// Virtual time that passes while the clock advances by `duration`, rounded up.
    pub fn virtual_duration(&self, duration: Duration) -> Duration {
        if self.skew_ppm == 0 {
            return duration;
        }
        let micros = i128::try_from(duration.as_micros()).unwrap_or(i128::MAX / MILLION);
        let rate = MILLION + i128::from(self.skew_ppm);
        let scaled = (micros * MILLION + rate - 1) / rate;
        Duration::from_micros(u64::try_from(scaled).unwrap_or(u64::MAX))
    }
}
