//! Points on this replica's clock that may lie before its origin.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Microseconds since the origin of the replica's clock; negative before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Moment(i64);

impl Moment {
    pub(super) fn of(timestamp: Timestamp) -> Self {
        Self(i64::try_from(timestamp.0).unwrap_or(i64::MAX))
    }

    pub(super) fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }

    pub(super) fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }

    /// Time from `earlier` to `self`; zero if `earlier` is later.
    pub(super) fn since(self, earlier: Self) -> Duration {
        let micros = self.0.saturating_sub(earlier.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or_default())
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
