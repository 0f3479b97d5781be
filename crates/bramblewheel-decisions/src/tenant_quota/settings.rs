//! The figures that bound the requests of a tenant over all daemons, and what follows from them alone.
//!
//! Owns nothing; relies on the tenant's own [`Quota`] and on sums of its use over all daemons.

use crate::tenants::Quota;
use bramblewheel_protocol::routing::TenantUsage;
use std::time::Duration;

/// Slots that a window is counted in. Chosen, not measured.
pub(super) const SLOTS: u32 = 25;
/// Newest slots from which the rate of requests is taken: few, so that a surge shows at once. Chosen, not measured.
pub(super) const RATE_SLOTS: u32 = 3;
/// Part of the window over which what it has left is admitted: several times as long as the sums take to arrive, so
/// that no more is admitted than it has left. A tenant that asks for more without end gets `1 / (1 + SPENDING_PART)`
/// of what the window holds, which is its rate where the burst is as much as the rate.
///
/// Measured on virtual time (`tests/tenant_quota`, 72 daemons, at most 2,594 requests in 5 s): over 0.2 of the
/// window the bound held, but for the leader lost as the tenant turned hot (2,860); within 1 s, with what leaves the
/// window in that second, 2,723. At 0.16 such a tenant gets 1.03 of its rate (`docs/design/15-tenants.md`).
const SPENDING_PART: f64 = 0.16;

/// The bound on requests over all daemons, besides each tenant's own quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Part of what is allowed in a window, 0 or more, by which it may be exceeded.
    pub overshoot: f64,
    /// Requests by which it may be exceeded besides.
    pub slack: f64,
}

impl QuotaSettings {
    /// Length of a slot.
    pub(super) fn slot(&self) -> Duration {
        self.window / SLOTS
    }

    /// Requests that are admitted within a window. The overshoot and the slack are left for those that are
    /// admitted before their sums are known.
    pub(super) fn permitted(&self, quota: Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }

    /// Requests by which all daemons together may admit more than that.
    pub(super) fn margin(&self, quota: Quota) -> f64 {
        self.permitted(quota) * self.overshoot + self.slack
    }

    /// Part of the requests of a tenant to be admitted now, 0 to 1, if all daemons together used this much.
    pub(super) fn admitted_part(&self, quota: Quota, sums: &TenantUsage) -> f64 {
        let slot = self.slot().as_secs_f64();
        let rate_time = slot * f64::from(RATE_SLOTS);
        // What may be chance in a small number of requests is not taken for a surge.
        let asked = f64::from(sums.asked);
        let asked_per_second = (asked - asked.sqrt()) / rate_time;
        if asked_per_second <= 0.0 {
            return 1.0;
        }
        let left = self.permitted(quota) - f64::from(sums.admitted);
        let spending_time = self.window.as_secs_f64() * SPENDING_PART;
        (left / spending_time / asked_per_second).clamp(0.0, 1.0)
    }
}
