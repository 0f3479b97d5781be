//! Refusals: the status of the answer to a request that has not run, and when its caller may send it again.
//!
//! The answer states the shortest time after which another request is likely to be served, plus a random part for each
//! request, so that callers do not all return together. A caller that returns too early may use up its resends; one
//! that returns late only loses time. Observability: `Retry-After` of the answer (seconds with three decimals) and the
//! metrics `bramblewheel_requests_total` (outcomes `not-run`, `quarantined`, `stopping`),
//! `bramblewheel_over_quota_total`, `bramblewheel_without_lease_total`.

use bramblewheel_protocol::routing::QUARANTINE_TIME;
use http::StatusCode;
use rand::{Rng, RngExt};
use std::ops::Range;
use std::time::Duration;

/// Parts of the latency objective after which a caller that found no capacity may return. One that returns within its
/// objective can still be served in time: at the highest load 1,368 requests of a route with an objective of 400 ms
/// were served late, against 3,456 with 150 to 500 ms for all routes, and the value of the answers rose from 0.372 to
/// 0.375 of the attainable (one run each).
const PARTS_OF_OBJECTIVE: Range<f64> = 0.1..0.33;
/// Further part of the latency objective to wait if all requests of the class are refused; proportionally less if only
/// a part is. The figures of [`PARTS_OF_OBJECTIVE`] hold for both constants together.
const REFUSED_DELAY_PART: f64 = 1.0;
/// Milliseconds after which callers of a stopping daemon may return: they can go to another daemon at once, but should
/// not all do so at the same moment.
const STOPPING_MILLIS: Range<u32> = 10..60;
/// Milliseconds after which callers of a tenant over its quota may return, in addition to [`MAX_OVER_QUOTA_DELAY`].
const OVER_QUOTA_MILLIS: Range<u32> = 150..500;
/// Further time to wait if all requests of the tenant are refused; proportionally less if only a part is. Within it a
/// good part of the admitted requests has left the quota's window.
const MAX_OVER_QUOTA_DELAY: Duration = Duration::from_millis(1_500);
/// Time from a daemon's start until it usually has the configuration when all machines start at once: the control group
/// must elect a leader first, which takes 750 ms and more.
const TYPICAL_START_TIME: Duration = Duration::from_millis(900);
/// Milliseconds after that time, or from now if it has passed, after which callers may return while the daemon has no
/// configuration.
const NO_CONFIGURATION_MILLIS: Range<u32> = 80..350;
/// Milliseconds after which callers may return while keys may not be used: the time of an election.
const WITHOUT_LEASE_MILLIS: Range<u32> = 400..1_200;

/// Why a request that has not run, and will not run, is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RefusalReason {
    /// The daemon has no configuration yet.
    NoConfiguration {
        /// Time since the daemon's start.
        since_start: Duration,
    },
    /// The daemon cannot tell whether the caller's key is still valid.
    NoLease,
    /// The caller's tenant has used up its quota.
    OverQuota {
        /// Part of the tenant's requests that is admitted, 0 to 1.
        admitted_part: f64,
    },
    /// No endpoint had capacity for it, or requests of its class are refused early.
    NoCapacity {
        /// Latency objective of its route.
        objective: Duration,
        /// Part of the requests of its class that is refused early, 0 to 1.
        refused_part: f64,
    },
    /// Its body was not complete by its deadline.
    IncompleteBody {
        /// Latency objective of its route.
        objective: Duration,
    },
    /// Endpoints crash when they run its content.
    Quarantined,
    /// The daemon is stopping.
    Stopping,
}

impl RefusalReason {
    /// Status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::IncompleteBody { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::NoConfiguration { .. }
            | Self::NoLease
            | Self::NoCapacity { .. }
            | Self::Quarantined
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Time after which the caller may return. Draws one random number, except for a quarantine, which ends at the same
    /// time for all callers.
    pub fn retry_after(&self, random: &mut impl Rng) -> Duration {
        match *self {
            Self::NoConfiguration { since_start } => {
                let until_ready = TYPICAL_START_TIME.saturating_sub(since_start);
                until_ready + random_millis(NO_CONFIGURATION_MILLIS, random)
            }
            Self::NoLease => random_millis(WITHOUT_LEASE_MILLIS, random),
            Self::OverQuota { admitted_part } => {
                let delay = MAX_OVER_QUOTA_DELAY.mul_f64(1.0 - admitted_part);
                delay + random_millis(OVER_QUOTA_MILLIS, random)
            }
            Self::NoCapacity {
                objective,
                refused_part,
            } => {
                let part = random.random_range(PARTS_OF_OBJECTIVE);
                objective.mul_f64(part + REFUSED_DELAY_PART * refused_part)
            }
            Self::IncompleteBody { objective } => {
                objective.mul_f64(random.random_range(PARTS_OF_OBJECTIVE))
            }
            Self::Quarantined => QUARANTINE_TIME,
            Self::Stopping => random_millis(STOPPING_MILLIS, random),
        }
    }
}

fn random_millis(range: Range<u32>, random: &mut impl Rng) -> Duration {
    Duration::from_millis(u64::from(random.random_range(range)))
}
