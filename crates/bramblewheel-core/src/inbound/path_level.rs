//! Admission levels of the services called by the local endpoint, per route of its service.
//!
//! A request below the level of a service that its route calls would be shed there after the
//! local endpoint has already worked on it. The level reported to callers of a route is therefore
//! the maximum of the endpoint's own level and those of the called services, so that the request
//! is shed where it enters.

use crate::event::AdmissionLevel;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Age at which a level that no request has confirmed expires.
const LIFETIME: Duration = Duration::from_millis(1_000);

/// Levels below the local endpoint: one per route of the bundle and one for all other paths.
#[derive(Debug, Default)]
pub struct PathLevels {
    routes: Vec<(AdmissionLevel, Timestamp)>,
}

impl PathLevels {
    /// Records the highest level among the sub-calls of one request. A failed request may not have
    /// made all of its sub-calls, so it can't lower the level.
    pub fn record(
        &mut self,
        now: Timestamp,
        route: usize,
        observed: AdmissionLevel,
        succeeded: bool,
    ) {
        let current = self.level(now, route);
        if self.routes.len() <= route {
            let none = (AdmissionLevel::default(), Timestamp::ZERO);
            self.routes.resize(route + 1, none);
        }
        let level = if succeeded {
            observed
        } else {
            observed.max(current)
        };
        self.routes[route] = (level, now);
    }

    /// The level below a route; admits everything if none is recorded.
    pub fn level(&self, now: Timestamp, route: usize) -> AdmissionLevel {
        self.routes
            .get(route)
            .filter(|(_, at)| now.since(*at) < LIFETIME)
            .map(|(level, _)| *level)
            .unwrap_or_default()
    }

    /// Clears all levels, because a new bundle renumbers the routes.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}
