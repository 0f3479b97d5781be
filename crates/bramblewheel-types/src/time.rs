//! Monotonic time as a value that pure state machines take as an argument.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A point on one process's monotonic clock, in microseconds since an arbitrary origin.
///
/// Timestamps of different processes can't be compared, because their clocks differ. Messages between
/// processes carry remaining durations ([`Millis`]) instead.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);
    /// A timestamp that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Builds a timestamp from whole milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Whole milliseconds since the origin, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time from `earlier` to `self`; zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Duration;

    fn sub(self, earlier: Timestamp) -> Duration {
        self.since(earlier)
    }
}

/// A duration in whole milliseconds, as written in settings, bundles and headers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts a duration to whole milliseconds, rounded down; saturates at `u64::MAX`.
    pub fn of(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<Millis> for Duration {
    fn from(millis: Millis) -> Self {
        Duration::from_millis(millis.0)
    }
}
