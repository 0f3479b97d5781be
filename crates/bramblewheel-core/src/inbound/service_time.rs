//! Service time estimates of the local endpoint, per route of the bundle.
//!
//! The estimate is conservative, so that only requests with little chance of finishing in time are
//! dropped. It is the mean minus twice the mean deviation: a route with widely varying service times
//! drops few requests. It expires when no answer has confirmed it for a while, because a route whose
//! requests are all dropped would otherwise never be measured again.

use bramblewheel_bundle::Bundle;
use bramblewheel_types::{ServiceName, Timestamp};
use std::time::Duration;

/// Samples needed for an estimate.
const MIN_SAMPLES: u32 = 16;
/// Weight of a new sample in the mean and the mean deviation.
const WEIGHT: f64 = 0.1;
/// Multiple of the mean deviation subtracted from the mean.
const DEVIATION_MULTIPLE: f64 = 2.0;
/// Age of the last sample at which the estimate expires.
const LIFETIME: Duration = Duration::from_millis(500);

/// Running estimate for one route.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean_micros: f64,
    deviation_micros: f64,
    samples: u32,
    last: Timestamp,
}

impl Estimate {
    fn record(&mut self, now: Timestamp, micros: f64) {
        if self.samples == 0 {
            self.mean_micros = micros;
        }
        let error = micros - self.mean_micros;
        self.mean_micros += WEIGHT * error;
        self.deviation_micros += WEIGHT * (error.abs() - self.deviation_micros);
        self.samples = self.samples.saturating_add(1);
        self.last = now;
    }

    fn lower_bound(&self, now: Timestamp) -> Duration {
        let is_valid = self.samples >= MIN_SAMPLES && now.since(self.last) < LIFETIME;
        let micros = self.mean_micros - DEVIATION_MULTIPLE * self.deviation_micros;
        if is_valid && micros > 0.0 {
            Duration::from_micros(micros as u64)
        } else {
            Duration::ZERO
        }
    }
}

/// Estimates for the local service: one per route of the bundle and one for all other paths.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    routes: Vec<Estimate>,
}

impl ServiceTimes {
    /// Records the service time of a request.
    pub fn record(&mut self, now: Timestamp, route: usize, duration: Duration) {
        if self.routes.len() <= route {
            self.routes.resize(route + 1, Estimate::default());
        }
        self.routes[route].record(now, duration.as_micros() as f64);
    }

    /// Time within which a request of the route is unlikely to finish.
    pub fn lower_bound(&self, now: Timestamp, route: usize) -> Duration {
        self.routes
            .get(route)
            .map_or(Duration::ZERO, |estimate| estimate.lower_bound(now))
    }

    /// Clears all estimates, because a new bundle renumbers the routes.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}

/// Number of the bundle's route that matches a path, counted from 1; 0 if none matches.
pub fn route_number(bundle: &Bundle, service: &ServiceName, path: &str) -> usize {
    let Some(policy) = bundle.service(service) else {
        return 0;
    };
    let matches = |prefix: &String| path.starts_with(prefix.as_str());
    let position = policy
        .routes
        .iter()
        .position(|route| matches(&route.prefix));
    position.map_or(0, |position| position + 1)
}
