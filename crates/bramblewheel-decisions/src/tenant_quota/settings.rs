//! Settings that bound the requests of a tenant over all daemons, and what is computed from them.

use super::tenant_use::Sums;
use crate::tenants::Quota;
use bramblewheel_protocol::routing::renewal_interval;
use std::time::Duration;

/// Slots in a window.
pub(super) const SLOTS: u32 = 25;
/// Newest slots from which the rate of requests is computed: few, so that a surge is seen at once.
pub(super) const RATE_SLOTS: u32 = 3;
/// Part of the window over which the rest of the quota is spent: several times as long as the sums take to arrive, so
/// that no more than the rest is admitted. A tenant with unlimited demand gets `1 / (1 + SPENDING_PART)` of the quota
/// in a window, which is its rate if the burst is as much as the rate.
const SPENDING_PART: f64 = 0.16;

/// Part of the rest that no daemon may use without sums, for a surge that began after the reports in the last sums.
const UNSHARED_PART: f64 = 0.3;
/// Time that a report takes through the replicas to another daemon.
const EXCHANGE_TIME: Duration = Duration::from_millis(150);

/// The bound on a tenant's requests over all daemons, in addition to its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Part of the quota of a window, 0 or more, by which it may be exceeded.
    pub overshoot: f64,
    /// Further requests by which it may be exceeded.
    pub slack: f64,
    /// Time from a daemon's last sums for which it uses its allowances. Replicas set them aside for as long, so a
    /// longer time keeps more of a quota unused after the loss of a daemon.
    pub allowance_lifetime: Duration,
}

impl QuotaSettings {
    /// Length of a slot.
    pub(super) fn slot(&self) -> Duration {
        self.window / SLOTS
    }

    /// Requests that are admitted within a window. The overshoot and the slack are reserved for requests that are
    /// admitted before their sums are known.
    pub fn permitted(&self, quota: Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }

    /// Requests by which all daemons together may exceed that number.
    pub fn margin(&self, quota: Quota) -> f64 {
        self.permitted(quota) * self.overshoot + self.slack
    }

    /// Requests of the window that no daemon has used, as of the sums.
    pub(super) fn left(&self, quota: Quota, sums: &Sums) -> f64 {
        let known = self.permitted(quota) * (1.0 - sums.unaccounted);
        known - f64::from(sums.all.admitted)
    }

    /// Part of a tenant's requests to be admitted now, 0 to 1, given the use at all daemons.
    pub(super) fn admitted_part(&self, quota: Quota, sums: &Sums) -> f64 {
        // Allow for random variation in a small number of requests, so that it does not count as a surge.
        let asked = f64::from(sums.all.asked);
        let asked_per_second = (asked - asked.sqrt()) / self.rate_time();
        if asked_per_second <= 0.0 {
            return 1.0;
        }
        let left = self.left(quota, sums);
        (left / self.spending_time() / asked_per_second).clamp(0.0, 1.0)
    }

    /// Time over which the rate of requests is computed, in seconds.
    fn rate_time(&self) -> f64 {
        self.slot().as_secs_f64() * f64::from(RATE_SLOTS)
    }

    /// Time over which the rest of the quota is spent, in seconds.
    fn spending_time(&self) -> f64 {
        self.window.as_secs_f64() * SPENDING_PART
    }

    /// Requests that one of `daemons` may admit within a window while it receives sums: what it had admitted as of the
    /// sums and its share of the rest, less what others have probably admitted since. The shares of all daemons add up to
    /// the rest.
    pub(super) fn allowance_with_sums(&self, quota: Quota, sums: &Sums, daemons: u32) -> f64 {
        let left = self.left(quota, sums).max(0.0);
        let spent_per_second = left / self.spending_time();
        let asked_per_second = self.asked_elsewhere_per_second(sums);
        let delay = reporting_delay(daemons).as_secs_f64();
        let rest = left - asked_per_second.min(spent_per_second) * delay;
        f64::from(sums.own.admitted) + rest.max(0.0) * share_of_rest(sums, daemons)
    }

    /// Requests that replicas set aside for one of `daemons` while they do not hear it: what it had admitted as of the sums
    /// and its whole share of the rest.
    pub(super) fn stated_allowance(&self, quota: Quota, sums: &Sums, daemons: u32) -> f64 {
        let rest = self.left(quota, sums).max(0.0);
        f64::from(sums.own.admitted) + rest * share_of_rest(sums, daemons)
    }

    /// Requests that one of `daemons` may admit within a window until it receives sums again. All that others may have
    /// admitted since the reports in the sums is deducted, since no later sums will show it.
    pub(super) fn allowance_without_sums(&self, quota: Quota, sums: &Sums, daemons: u32) -> f64 {
        let late_answer = renewal_interval(daemons) + sums.answer_time;
        let delay = reporting_delay(daemons).max(late_answer).as_secs_f64();
        let rest = self.left(quota, sums) - self.asked_elsewhere_per_second(sums) * delay;
        let shared = rest.max(0.0) * (1.0 - UNSHARED_PART);
        f64::from(sums.own.admitted) + shared * share_of_rest(sums, daemons)
    }

    fn asked_elsewhere_per_second(&self, sums: &Sums) -> f64 {
        let asked = sums.all.asked.saturating_sub(sums.own.asked);
        f64::from(asked) / self.rate_time()
    }
}

/// Time after which a request admitted by one daemon is part of the sums at another.
pub(super) fn reporting_delay(daemons: u32) -> Duration {
    renewal_interval(daemons) + EXCHANGE_TIME
}

/// Part of what no daemon has used that one of `daemons` may use: half by its part of the requests received, half equal.
fn share_of_rest(sums: &Sums, daemons: u32) -> f64 {
    let asked_share = f64::from(sums.own.asked) / f64::from(sums.all.asked.max(1));
    (asked_share.min(1.0) + 1.0 / f64::from(daemons)) / 2.0
}
