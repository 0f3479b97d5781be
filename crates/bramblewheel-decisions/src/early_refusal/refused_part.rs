//! The part of one class's requests that is refused for one reason, and how it follows the outcomes of the requests
//! sent.
//!
//! While the share of requests without capacity exceeds the tolerated share, the part rises in proportion to the
//! excess; otherwise it falls at a constant rate. The settings of this control loop are defined here, one set for each
//! reason.

use crate::decaying_share::DecayingShare;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Largest part that is refused, 0 to 1; the rest is sent and shows whether capacity has returned.
pub(super) const MAX_REFUSED: f64 = 0.9;
/// Weight of the newest request in the share without capacity, 0 to 1.
const NEWEST_WEIGHT: f64 = 0.15;

/// Settings by which a refused part follows the share of the requests sent that found no capacity.
#[derive(Debug)]
pub(super) struct RefusalSettings {
    /// Share of the requests sent, 0 to 1, that may find no capacity before the part rises.
    tolerated: f64,
    /// Rise of the refused part per second, for each unit by which the share exceeds the tolerated one.
    rise_per_second: f64,
    /// Fall of the refused part per second otherwise.
    fall_per_second: f64,
}

/// For requests that found no endpoint of their service with capacity. They cost little, and if none of them were sent,
/// slots might stay free.
///
/// With 0.08 tolerated, 10,967 requests were served instead of 11,365 (`tests/early_refusal.rs`, with an earlier way of
/// detecting missing capacity).
pub(super) const AT_SERVICE: RefusalSettings = RefusalSettings {
    tolerated: 0.2,
    rise_per_second: 2.0,
    fall_per_second: 1.5,
};

/// For requests that failed because of missing capacity downstream. Much work is lost with each of them, and returning
/// capacity shows only after the time of a whole call tree.
///
/// Mean net value of whole days of one deployment: 0.505 with 0.05 tolerated, 0.497 with 0.12; with a rise of 4, 0.431
/// with a fall of 0.5 and 0.441 with 1.0 and 1.5; with a rise of 2 and a fall of 1.5, 0.440. Differences below 0.01 are
/// noise. The net value is the value of the requests answered in time, as a part of the attainable, less the cost of
/// resources and of refusals; 1 is the best.
pub(super) const DOWNSTREAM: RefusalSettings = RefusalSettings {
    tolerated: 0.05,
    rise_per_second: 4.0,
    fall_per_second: 1.5,
};

/// For less important requests that need the same service: they are refused before many of the more important ones are.
///
/// With this rule the net value of two overloaded days was 0.403 and 0.676, without it 0.391 and 0.643. The effect
/// of each of the three figures alone is not known.
pub(super) const FOR_OTHERS: RefusalSettings = RefusalSettings {
    tolerated: 0.03,
    rise_per_second: 4.0,
    fall_per_second: 1.5,
};

/// The part of one class's requests that is refused for one reason.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusedPart {
    settings: &'static RefusalSettings,
    /// The part, 0 to [`MAX_REFUSED`], as of the last record.
    part: f64,
    /// Decaying share of the requests sent that found no capacity.
    without_capacity: DecayingShare,
}

impl RefusedPart {
    /// A part of 0.
    pub(super) fn new(settings: &'static RefusalSettings) -> Self {
        Self {
            settings,
            part: 0.0,
            without_capacity: DecayingShare::default(),
        }
    }

    /// The part as of the last record.
    pub(super) fn last(&self) -> f64 {
        self.part
    }

    /// The part after a time `idle` in which no request was sent.
    pub(super) fn after(&self, idle: Duration) -> f64 {
        let fall = idle.as_secs_f64() * self.settings.fall_per_second;
        (self.part - fall).max(0.0)
    }

    /// Share of the requests sent, 0 to 1, that recently found no capacity.
    pub(super) fn without_capacity(&self, now: Timestamp) -> f64 {
        self.without_capacity.at(now)
    }

    /// Records whether a request that was sent found no capacity. It ended `step` after the one before; the part had
    /// been falling on its own for `idle`.
    pub(super) fn record(
        &mut self,
        now: Timestamp,
        found_no_capacity: bool,
        idle: Duration,
        step: Duration,
    ) {
        let before = self.after(idle);
        self.without_capacity
            .record(now, found_no_capacity, NEWEST_WEIGHT);
        let excess = self.without_capacity.at(now) - self.settings.tolerated;
        let change = if excess > 0.0 {
            excess * self.settings.rise_per_second
        } else {
            -self.settings.fall_per_second
        };
        let changed = before + change * step.as_secs_f64();
        self.part = changed.clamp(0.0, MAX_REFUSED);
    }
}
