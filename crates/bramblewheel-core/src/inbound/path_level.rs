//! Admission levels of what the local endpoint calls, by its own route.
//!
//! A request below the level of a service that its route calls would be shed there, after the
//! local endpoint has worked for it. So the level that callers are told for a route is the higher
//! of the own one and of those below, and the request is shed where it enters.

use crate::event::AdmissionLevel;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// A level that no request has confirmed for this long is forgotten.
const LIFETIME: Duration = Duration::from_millis(1_000);

/// Levels below the local endpoint; as many as the bundle has routes, and one for the rest.
#[derive(Debug, Default)]
pub struct PathLevels {
    routes: Vec<(AdmissionLevel, Timestamp)>,
}

impl PathLevels {
    /// Records the highest level that the sub-calls of one request met. A request that failed
    /// has not met all of them, so that it can't lower the level.
    pub fn record(&mut self, now: Timestamp, route: usize, met: AdmissionLevel, is_whole: bool) {
        let known = self.level(now, route);
        if self.routes.len() <= route {
            let none = (AdmissionLevel::default(), Timestamp::ZERO);
            self.routes.resize(route + 1, none);
        }
        let level = if is_whole { met } else { met.max(known) };
        self.routes[route] = (level, now);
    }

    /// The level below a route; admits everything when none is known.
    pub fn level(&self, now: Timestamp, route: usize) -> AdmissionLevel {
        self.routes
            .get(route)
            .filter(|(_, at)| now.since(*at) < LIFETIME)
            .map(|(level, _)| *level)
            .unwrap_or_default()
    }

    /// Forgets all levels: routes are numbered anew by a new bundle.
    pub fn clear(&mut self) {
        self.routes.clear();
    }
}
