//! A part of one class's requests that is refused for one reason, and how it follows what the requests sent find.
//!
//! While the share of requests without capacity is above what is tolerated, the part rises in proportion to the
//! excess; otherwise it falls at a constant rate. Owns the three settings of that control loop, one for each reason.

use crate::fading_share::FadingShare;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Largest part that is refused, 0 to 1; the rest is sent and shows whether capacity is back. Chosen, not measured.
pub(super) const MOST_REFUSED: f64 = 0.9;
/// Weight of the newest request in the share without capacity, 0 to 1. Chosen, not measured.
const NEWEST_WEIGHT: f64 = 0.15;

/// How a refused part follows the share of the requests sent that found no capacity.
#[derive(Debug)]
pub(super) struct RefusalSettings {
    /// Share of the requests sent, 0 to 1, that may find no capacity.
    tolerated: f64,
    /// Rise of the refused part in a second, for each unit by which the share exceeds what is tolerated.
    rise_per_second: f64,
    /// Fall of the refused part in a second while it does not.
    fall_per_second: f64,
}

/// For requests that found no endpoint of their service with capacity. They cost little, and if none of them were
/// sent, endpoints might have free slots.
///
/// Tolerated: 0.08 served 10,967 requests in place of 11,365, measured by `tests/early_refusal.rs` with an earlier
/// way of telling that there is no capacity. Rise and fall: chosen, not measured.
pub(super) const AT_SERVICE: RefusalSettings = RefusalSettings {
    tolerated: 0.2,
    rise_per_second: 2.0,
    fall_per_second: 1.5,
};

/// For requests that failed for want of capacity downstream. Much work is lost with each of them, and whether
/// there is capacity again shows only after the time of a whole tree.
///
/// Measured on whole days of one deployment, mean worth (`docs/design/19-narrow-services.md`, rounds 1 to 5c and 11): tolerated
/// 0.05 gave 0.505 and 0.12 gave 0.497. Rise 4: 0.431 with a fall of 0.5, 0.441 with 1.0 and 1.5; rise 2 with a fall
/// of 1.5: 0.440. Differences below 0.01 are noise.
pub(super) const DOWNSTREAM: RefusalSettings = RefusalSettings {
    tolerated: 0.05,
    rise_per_second: 4.0,
    fall_per_second: 1.5,
};

/// For less important requests that need the same service: they are refused before more important ones are
/// refused in numbers.
///
/// With this rule the worth of two overloaded days was 0.403 and 0.676, without it 0.391 and 0.643
/// (`docs/design/16-tenant-ranks-and-rejections.md`, "Who makes room"). The three figures were not measured apart: chosen.
pub(super) const FOR_OTHERS: RefusalSettings = RefusalSettings {
    tolerated: 0.03,
    rise_per_second: 4.0,
    fall_per_second: 1.5,
};

/// A part of one class's requests that is refused for one reason.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusedPart {
    settings: &'static RefusalSettings,
    /// The part, 0 to [`MOST_REFUSED`], as of the last record.
    part: f64,
    /// Share of the requests sent that found no capacity lately.
    without_capacity: FadingShare,
}

impl RefusedPart {
    /// Nothing is refused.
    pub(super) fn new(settings: &'static RefusalSettings) -> Self {
        Self {
            settings,
            part: 0.0,
            without_capacity: FadingShare::default(),
        }
    }

    /// The part as of the last record.
    pub(super) fn last(&self) -> f64 {
        self.part
    }

    /// The part after `idle`, a time in which no request was sent.
    pub(super) fn after(&self, idle: Duration) -> f64 {
        let fall = idle.as_secs_f64() * self.settings.fall_per_second;
        (self.part - fall).max(0.0)
    }

    /// Share of the requests sent, 0 to 1, that found no capacity lately.
    pub(super) fn without_capacity(&self, now: Timestamp) -> f64 {
        self.without_capacity.at(now)
    }

    /// Records whether a request that was sent found no capacity. It ended `step` after the one before, `idle` after
    /// the part began to fall by itself.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        found_none: bool,
        idle: Duration,
        step: Duration,
    ) {
        let before = self.after(idle);
        self.without_capacity.record(now, found_none, NEWEST_WEIGHT);
        let excess = self.without_capacity.at(now) - self.settings.tolerated;
        let change = if excess > 0.0 {
            excess * self.settings.rise_per_second
        } else {
            -self.settings.fall_per_second
        };
        let changed = before + change * step.as_secs_f64();
        self.part = changed.clamp(0.0, MOST_REFUSED);
    }
}
