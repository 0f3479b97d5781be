//! Clocks of processes: each starts elsewhere and runs at its own rate.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Parts in a million.
const MILLION: i128 = 1_000_000;

/// The monotonic clock of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clock {
    /// What it shows at virtual time zero.
    pub origin: Duration,
    /// How much faster than virtual time it runs, in parts in a million; negative when slower.
    /// Above minus one million.
    pub skew_ppm: i32,
}

impl Clock {
    /// What the clock shows at a virtual time.
    pub fn local(&self, at: Timestamp) -> Timestamp {
        if self.skew_ppm == 0 {
            return at + self.origin;
        }
        let elapsed = i128::from(at.0) * (MILLION + i128::from(self.skew_ppm)) / MILLION;
        Timestamp(u64::try_from(elapsed).unwrap_or(u64::MAX)) + self.origin
    }

    /// How much virtual time passes while the clock advances by `duration`, rounded up.
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
