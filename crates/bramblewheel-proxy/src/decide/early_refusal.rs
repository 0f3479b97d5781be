//! Refusals at the caller's daemon of requests that would be refused at their endpoints.
//!
//! In an overload each refusal at an endpoint's daemon costs two daemons a connection, a question and
//! an answer. So the daemons beside the endpoints tell with each answer which part of the route's
//! requests they refuse, and the callers' daemons refuse so many themselves that only a small part of
//! those they send is refused. What they send keeps them informed: a part of it is always sent.

use bramblewheel_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Part of the requests that endpoints' daemons go on refusing: none would mean that endpoints may
/// have room left.
const TOLERATED: f64 = 0.2;
/// Change of the refused part in a second, for each unit by which the endpoints refuse too many.
const RISE_PER_SECOND: f64 = 2.0;
/// Fall of the refused part in a second while the endpoints refuse few.
const FALL_PER_SECOND: f64 = 1.5;
/// Largest part that is refused.
const MOST_REFUSED: f64 = 0.9;
/// Longest time between two reports that counts.
const LONGEST_STEP: Duration = Duration::from_millis(250);
/// Age of the last report from which the refused part falls by itself.
const REPORT_LIFETIME: Duration = Duration::from_millis(500);
/// Refused part from which another endpoint is not tried either.
const WIDESPREAD: f64 = 0.1;
/// Routes that are kept in mind.
const MAX_ROUTES: usize = 512;

#[derive(Clone, Copy, Debug)]
struct Level {
    refused_part: f64,
    reported: Timestamp,
}

impl Level {
    fn at(&self, now: Timestamp) -> f64 {
        let unheard = now.since(self.reported).saturating_sub(REPORT_LIFETIME);
        (self.refused_part - unheard.as_secs_f64() * FALL_PER_SECOND).max(0.0)
    }
}

/// Which part of each route's requests a caller's daemon refuses by itself.
///
/// Invariant: a refused part is between 0 and 0.9.
#[derive(Debug, Default)]
pub struct EarlyRefusal {
    levels: HashMap<u64, Level>,
}

impl EarlyRefusal {
    /// Takes over what an endpoint's daemon reports: the part of the route's requests, between 0 and
    /// 1, that it refused lately.
    pub fn report(&mut self, now: Timestamp, route: u64, refused_there: f64) {
        let excess = refused_there - TOLERATED;
        let known = self.levels.get(&route).copied();
        if known.is_none() && excess <= 0.0 {
            return;
        }
        if self.levels.len() >= MAX_ROUTES {
            self.levels.clear();
        }
        let before = known.unwrap_or(Level {
            refused_part: 0.0,
            reported: now,
        });
        let step = now.since(before.reported).min(LONGEST_STEP).as_secs_f64();
        let change = if excess > 0.0 {
            excess * RISE_PER_SECOND
        } else {
            -FALL_PER_SECOND
        };
        let refused_part = (before.at(now) + change * step).clamp(0.0, MOST_REFUSED);
        let level = Level {
            refused_part,
            reported: now,
        };
        self.levels.insert(route, level);
    }

    /// Part of a route's requests to be refused now.
    pub fn refused_part(&self, now: Timestamp, route: u64) -> f64 {
        let level = self.levels.get(&route);
        level.map_or(0.0, |level| level.at(now))
    }

    /// Whether so many endpoints refuse that another one is not worth trying.
    pub fn is_widespread(&self, now: Timestamp, route: u64) -> bool {
        self.refused_part(now, route) >= WIDESPREAD
    }
}
