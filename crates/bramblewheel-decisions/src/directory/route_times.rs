//! Usual answer times of routes, and how slow one answer was against them.
//!
//! Inputs: the times of this daemon's attempts, by route. Reason: routes take unlike times; only relative to its
//! route does a time say something of an endpoint. Owns the mean of each route at this daemon.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest answer in the mean time of a route, 0 to 1. Chosen, not measured.
const NEWEST_WEIGHT: f64 = 0.2;
/// Least slowness that one answer can show, as a multiple of the route's mean. Chosen, not measured.
const LEAST_SLOWNESS: f64 = 0.3;
/// Largest slowness that one answer can show, as a multiple of the route's mean. Chosen, not measured.
const MOST_SLOWNESS: f64 = 8.0;
/// Least time that counts, in seconds, so that means are above zero. Chosen, not measured.
const LEAST_SECONDS: f64 = 0.000_1;

/// Mean answer time of each route over all endpoints.
#[derive(Debug, Default)]
pub(super) struct RouteTimes {
    mean_seconds: BTreeMap<String, f64>,
}

impl RouteTimes {
    /// Usual answer time of a route in seconds, if one is known.
    pub(super) fn usual_seconds(&self, route: &str) -> Option<f64> {
        self.mean_seconds.get(route).copied()
    }

    /// An answer's time relative to the mean of its route, which learns from it.
    pub(super) fn record(&mut self, route: &str, time: Duration) -> f64 {
        let seconds = time.as_secs_f64().max(LEAST_SECONDS);
        if let Some(mean) = self.mean_seconds.get_mut(route) {
            *mean += NEWEST_WEIGHT * (seconds - *mean);
            return (seconds / *mean).clamp(LEAST_SLOWNESS, MOST_SLOWNESS);
        }
        self.mean_seconds.insert(route.to_owned(), seconds);
        1.0
    }

    /// What an attempt without an answer says of the endpoint's time: nothing, unless it was longer than
    /// the mean of the route.
    pub(super) fn least_slowness(&self, route: &str, time: Duration) -> Option<f64> {
        let mean = self.mean_seconds.get(route)?;
        let relative = time.as_secs_f64() / mean;
        (relative > 1.0).then(|| relative.min(MOST_SLOWNESS))
    }
}
