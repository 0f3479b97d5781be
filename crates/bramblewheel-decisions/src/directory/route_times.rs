//! Usual answer times of routes, and the slowness of single answers relative to them.
//!
//! Inputs: the times of this daemon's attempts, by route. Reason: routes take different times, so a time says something
//! about an endpoint only relative to its route. State: the mean time of each route at this daemon.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of the newest answer in the mean time of a route, 0 to 1.
const NEWEST_WEIGHT: f64 = 0.2;
/// Least slowness that one answer can show, as a multiple of the route's mean.
const MIN_SLOWNESS: f64 = 0.3;
/// Largest slowness that one answer can show, as a multiple of the route's mean.
const MAX_SLOWNESS: f64 = 8.0;
/// Lower limit of a counted time, in seconds, so that means are above zero.
const MIN_SECONDS: f64 = 0.000_1;

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

    /// Includes an answer's time in the mean of its route; returns the time relative to that mean.
    pub(super) fn record(&mut self, route: &str, time: Duration) -> f64 {
        let seconds = time.as_secs_f64().max(MIN_SECONDS);
        if let Some(mean) = self.mean_seconds.get_mut(route) {
            *mean += NEWEST_WEIGHT * (seconds - *mean);
            return (seconds / *mean).clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        }
        self.mean_seconds.insert(route.to_owned(), seconds);
        1.0
    }

    /// Slowness shown by an attempt without an answer: none, unless it took longer than the mean of the route.
    pub(super) fn min_slowness(&self, route: &str, time: Duration) -> Option<f64> {
        let mean = self.mean_seconds.get(route)?;
        let relative = time.as_secs_f64() / mean;
        (relative > 1.0).then(|| relative.min(MAX_SLOWNESS))
    }
}
