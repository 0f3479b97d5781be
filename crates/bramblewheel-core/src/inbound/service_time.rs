//! How long requests run at the local endpoint, by route of the bundle.
//!
//! The estimate is cautious: what is dropped on its word could hardly have ended in time. It is
//! the mean less twice the mean deviation, so that a route whose requests differ much drops
//! little; and it is forgotten when no answer has confirmed it for a while, since a route all of
//! whose requests are dropped would otherwise never be measured again.

use bramblewheel_bundle::Bundle;
use bramblewheel_types::{ServiceName, Timestamp};
use std::time::Duration;

/// Samples before there is an estimate.
const MIN_SAMPLES: u32 = 16;
/// Weight of a new sample in mean and deviation.
const WEIGHT: f64 = 0.1;
/// Deviations taken off the mean.
const CAUTION: f64 = 2.0;
/// Age of the last sample from which there is no estimate.
const LIFETIME: Duration = Duration::from_millis(500);

/// Running estimate of one route.
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

    fn shortest(&self, now: Timestamp) -> Duration {
        let is_known = self.samples >= MIN_SAMPLES && now.since(self.last) < LIFETIME;
        let micros = self.mean_micros - CAUTION * self.deviation_micros;
        if is_known && micros > 0.0 {
            Duration::from_micros(micros as u64)
        } else {
            Duration::ZERO
        }
    }
}

/// Estimates of the local service's routes; as many as the bundle has, and one for the rest.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    routes: Vec<Estimate>,
}

impl ServiceTimes {
    /// Records how long a request of a route ran.
    pub fn record(&mut self, now: Timestamp, route: usize, duration: Duration) {
        if self.routes.len() <= route {
            self.routes.resize(route + 1, Estimate::default());
        }
        self.routes[route].record(now, duration.as_micros() as f64);
    }

    /// Time below which a request of a route hardly ever ends.
    pub fn shortest(&self, now: Timestamp, route: usize) -> Duration {
        self.routes
            .get(route)
            .map_or(Duration::ZERO, |estimate| estimate.shortest(now))
    }

    /// Forgets all estimates: routes are numbered anew by a new bundle.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}

/// Number of the route that a path takes in the bundle; 0 if none matches.
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
