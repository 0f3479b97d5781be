//! The latest report of one process of a daemon, and what it stands for as it grows old.

use super::moment::Moment;
use super::{DEFAULT_ALLOWANCE_LIFETIME, RESTART_MARGIN, TenantSum, fraction_after};
use bramblewheel_protocol::routing::{AGES, AdmissionDetails, RenewRequest, TenantUsage};
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// The longest quota window.
pub(super) const WINDOW: Duration = Duration::from_secs(5);
/// Part of the window that one age in a report covers.
const AGE_LENGTH: Duration = WINDOW.checked_div(AGES as u32).expect("AGES is above zero");
/// Requests that a process may have admitted between its last report and its end, as a part of those that it had
/// received in the newest part of the window: half of its 600 ms, somewhat more than the time between two reports.
const UNREPORTED_PART: f64 = 0.5;
/// Requests, in hundredths, that a daemon which is not heard may admit beyond its allowance: the first ones of a tenant
/// that is new there.
const UNSTATED_HUNDREDTHS: u64 = 50;
/// Half of the time over which daemons spend the rest of a quota, for what leaves the window meanwhile.
const SPENDING_LEAD: Duration = Duration::from_millis(400);
/// Divisor of the time between two reports by which a daemon's clock may be slower than this replica's.
const CLOCK_DRIFT_DIVISOR: u32 = 1_000;

/// How a report arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// From the daemon.
    Daemon,
    /// From another replica.
    Replica(ReplicaId),
}

/// What a report stands for in the sums.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Contribution {
    /// The process reports: what it has admitted.
    Reported,
    /// The process is not heard and may go on: what it may admit.
    Reserved,
    /// The process has ended: what it had admitted, as far as that is still within the window.
    Ended,
}

/// The latest report of one process.
#[derive(Debug)]
pub(super) struct Report {
    pub(super) origin: Origin,
    pub(super) request: RenewRequest,
    /// When it was made, by this replica's clock.
    at: Moment,
}

impl Report {
    /// A report that arrives with a stated age; `None` if `known`, an earlier one of the process, is as new.
    pub(super) fn new(
        origin: Origin,
        now: Timestamp,
        age: Duration,
        request: RenewRequest,
        known: Option<&Self>,
    ) -> Option<Self> {
        let arrived = Moment::of(now).before(age);
        let at = match known {
            None => arrived,
            Some(known) => match known.time_until(&request) {
                // A report that was delayed on its way is as old as the process's own clock says.
                Some(elapsed) if elapsed > Duration::ZERO => {
                    let drift = elapsed / CLOCK_DRIFT_DIVISOR;
                    arrived.min(known.at.after(elapsed + drift))
                }
                Some(_) => return None,
                None if arrived > known.at => arrived,
                None => return None,
            },
        };
        Some(Self {
            origin,
            request,
            at,
        })
    }

    /// Time from this report to a later one of the same process, zero if that is not later; `None` if they do not
    /// state it.
    fn time_until(&self, later: &RenewRequest) -> Option<Duration> {
        let (own, later) = (self.request.uptime?, later.uptime?);
        Some(Duration::from_millis(later.0.saturating_sub(own.0)))
    }

    pub(super) fn age(&self, now: Timestamp) -> Duration {
        Moment::of(now).since(self.at)
    }

    fn uptime(&self) -> Option<Duration> {
        self.request.uptime.map(Duration::from)
    }

    /// Start of the process, or its latest report if the start is not stated.
    pub(super) fn started(&self) -> Moment {
        self.at.before(self.uptime().unwrap_or_default())
    }

    /// Time from its last report for which the process may use its allowances.
    fn lifetime(&self) -> Duration {
        let stated = self.request.allowance_lifetime.map(Duration::from);
        stated.unwrap_or(DEFAULT_ALLOWANCE_LIFETIME) + RESTART_MARGIN
    }

    /// Whether nothing that the process admitted can be within the window.
    pub(super) fn is_over(&self, now: Timestamp) -> bool {
        self.age(now) > self.lifetime() + WINDOW
    }

    /// What the report stands for. `is_latest` tells whether no later process of the daemon has reported.
    pub(super) fn contribution(
        &self,
        now: Timestamp,
        is_latest: bool,
        silent_after: Duration,
    ) -> Contribution {
        if !is_latest {
            Contribution::Ended
        } else if self.age(now) > silent_after {
            Contribution::Reserved
        } else {
            Contribution::Reported
        }
    }

    /// Part of its daemon's equal part of a quota that is not accounted for by this report, the only one of the daemon.
    pub(super) fn unaccounted_part(
        &self,
        now: Timestamp,
        known_for: Duration,
        silent_after: Duration,
    ) -> f64 {
        if self.request.uses_equal_parts && self.age(now) > silent_after {
            return 1.0 - fraction_after(self.age(now), self.lifetime());
        }
        let Some(uptime) = self.uptime() else {
            return 0.0;
        };
        let running_for = uptime + self.age(now);
        if known_for > running_for + RESTART_MARGIN {
            // A process that ran before it would be known.
            return 0.0;
        }
        1.0 - fraction_after(running_for + SPENDING_LEAD, Duration::ZERO)
    }

    /// What the report adds to the sums.
    pub(super) fn tenants(
        &self,
        now: Timestamp,
        contribution: Contribution,
    ) -> impl Iterator<Item = (u64, TenantSum)> {
        self.request.tenants().map(move |(usage, details)| {
            let added = match contribution {
                Contribution::Reported => TenantSum {
                    asked: usage.asked,
                    admitted: usage.admitted,
                    ..TenantSum::default()
                },
                Contribution::Reserved => self.reserved(now, usage, &details),
                Contribution::Ended => self.ended(now, usage, &details),
            };
            (usage.tenant, added)
        })
    }

    fn reserved(
        &self,
        now: Timestamp,
        usage: &TenantUsage,
        details: &AdmissionDetails,
    ) -> TenantSum {
        let admitted = u64::from(usage.admitted) * 100;
        let allowance = u64::from(details.allowance_hundredths) + UNSTATED_HUNDREDTHS;
        let most = admitted.max(allowance);
        let left = 1.0 - fraction_after(self.age(now), self.lifetime());
        TenantSum {
            reserved_hundredths: (most as f64 * left).ceil() as u64,
            ..TenantSum::default()
        }
    }

    fn ended(&self, now: Timestamp, usage: &TenantUsage, details: &AdmissionDetails) -> TenantSum {
        let age = self.age(now);
        let ages = details.by_age.iter().zip(0_u32..);
        let in_window = ages.filter(|(_, part)| age + AGE_LENGTH * *part <= WINDOW);
        let admitted: u32 = in_window.map(|(admitted, _)| *admitted).sum();
        let unreported = (f64::from(usage.asked) * UNREPORTED_PART).ceil() as u32;
        let allowance = details.allowance_hundredths.div_ceil(100);
        let rest = allowance.saturating_sub(usage.admitted);
        let unreported = if age <= WINDOW {
            unreported.min(rest)
        } else {
            0
        };
        TenantSum {
            admitted: admitted + unreported,
            ..TenantSum::default()
        }
    }
}
