//! Refusals at the caller's daemon of requests that would be refused at their endpoints.
//!
//! In an overload each refusal at an endpoint's daemon costs two daemons a connection and an answer,
//! and a request is offered to several of them. So a caller's daemon counts which part of a route's
//! requests found no endpoint with room, and refuses so many itself that this part stays small. What
//! it still sends keeps it informed: a part of the requests is always sent.
//!
//! That one endpoint refuses says nothing, since another one may have room.
//!
//! Requests of several routes meet in one service below. Where those of a more important rank fail for want
//! of room there, less important ones that need the same service are refused as well: the rank so holds over
//! all routes, whatever is known below of the tree that a call belongs to.

use crate::fading_share::FadingShare;
use crate::request_class::RequestClass;
use bramblewheel_types::{ServiceName, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// How a refused part follows the part of the requests sent that found no room.
#[derive(Debug)]
struct Terms {
    /// Part of the requests sent that may find no room.
    tolerated: f64,
    /// Rise of the refused part in a second, for each unit by which too many find no room.
    rise_per_second: f64,
    /// Fall of the refused part in a second while few find no room.
    fall_per_second: f64,
}

/// For requests that found no endpoint of their service with room. They cost little, and with none of
/// them endpoints may have room left.
const THERE: Terms = Terms {
    tolerated: 0.2,
    rise_per_second: 2.0,
    fall_per_second: 1.5,
};
/// For requests that failed for want of room below. Much work is lost with each of them, and whether
/// there is room again shows only after the time of a whole tree.
const BELOW: Terms = Terms {
    tolerated: 0.05,
    rise_per_second: 4.0,
    fall_per_second: 1.5,
};
/// For less urgent requests that need the same service: they make room before more urgent ones are
/// refused in numbers.
const FOR_OTHERS: Terms = Terms {
    tolerated: 0.03,
    rise_per_second: 4.0,
    fall_per_second: 1.5,
};
/// Largest part that is refused.
const MOST_REFUSED: f64 = 0.9;
/// Weight of the newest request in the part that finds no room.
const SMOOTHING: f64 = 0.15;
/// Longest time between two requests that counts.
const LONGEST_STEP: Duration = Duration::from_millis(250);
/// Time after the last request that was sent from which the refused part falls by itself.
const SENT_LIFETIME: Duration = Duration::from_millis(500);
/// Refused part from which fewer other endpoints are tried.
const WIDESPREAD: f64 = 0.1;
/// Routes that are kept in mind.
const MAX_CLASSES: usize = 512;

/// A part of one route's requests that is refused for one reason.
#[derive(Clone, Copy, Debug, Default)]
struct RefusedPart {
    /// The part, as of the last record.
    part: f64,
    /// Part of the requests sent that found no room lately.
    without_room: FadingShare,
}

impl RefusedPart {
    /// The part after a time without a record.
    fn at(&self, unheard: Duration, terms: &Terms) -> f64 {
        let fall = unheard.as_secs_f64() * terms.fall_per_second;
        (self.part - fall).max(0.0)
    }

    /// Notes the end of a request that was sent, `step` after the one before.
    fn record(&mut self, now: Timestamp, found_none: bool, step: Duration, terms: &Terms) {
        self.without_room.record(now, found_none, SMOOTHING);
        let excess = self.without_room.at(now) - terms.tolerated;
        let change = if excess > 0.0 {
            excess * terms.rise_per_second
        } else {
            -terms.fall_per_second
        };
        let changed = self.part + change * step.as_secs_f64();
        self.part = changed.clamp(0.0, MOST_REFUSED);
    }
}

/// What is known of one route.
#[derive(Clone, Debug)]
struct Level {
    there: RefusedPart,
    below: RefusedPart,
    /// Part of less urgent routes' requests that is refused, so that these find room.
    for_others: RefusedPart,
    /// Service that was last found short below.
    short_downstream: Option<ServiceName>,
    /// Rank of the requests; 0 is the most important.
    rank: u32,
    /// Service that they go to themselves.
    target: Option<ServiceName>,
    /// When the last request that was sent ended.
    recorded: Timestamp,
}

impl Level {
    /// The service below whose shortage weighs more than that of the route's own endpoints.
    fn pressing_below(&self) -> Option<&ServiceName> {
        let is_below = self.below.part > self.there.part;
        self.short_downstream.as_ref().filter(|_| is_below)
    }

    /// Whether the shortage that this route's requests meet is one that fewer requests of the other
    /// route would ease.
    fn presses_on(&self, other: &Self) -> bool {
        let below = self.below.without_room.at(self.recorded);
        let there = self.there.without_room.at(self.recorded);
        let short_downstream = self.short_downstream.as_ref().filter(|_| below >= there);
        let Some(short) = short_downstream.or(self.target.as_ref()) else {
            return false;
        };
        other.short_downstream.as_ref() == Some(short) || other.target.as_ref() == Some(short)
    }

    fn at(&self, now: Timestamp) -> f64 {
        let unheard = now.since(self.recorded).saturating_sub(SENT_LIFETIME);
        let there = self.there.at(unheard, &THERE);
        there.max(self.below.at(unheard, &BELOW))
    }

    fn for_others_at(&self, now: Timestamp) -> f64 {
        let unheard = now.since(self.recorded).saturating_sub(SENT_LIFETIME);
        self.for_others.at(unheard, &FOR_OTHERS)
    }

    fn record(&mut self, now: Timestamp, found: &CapacityFound) {
        let since = now.since(self.recorded);
        let unheard = since.saturating_sub(SENT_LIFETIME);
        self.there.part = self.there.at(unheard, &THERE);
        self.below.part = self.below.at(unheard, &BELOW);
        self.for_others.part = self.for_others.at(unheard, &FOR_OTHERS);
        let step = since.min(LONGEST_STEP);
        let none_there = *found == CapacityFound::NoneAtService;
        self.there.record(now, none_there, step, &THERE);
        let none_below = matches!(found, CapacityFound::NoneDownstream(_));
        if let CapacityFound::NoneDownstream(service) = found {
            self.short_downstream = Some(service.clone());
        }
        self.below.record(now, none_below, step, &BELOW);
        let is_short = none_there || none_below;
        self.for_others.record(now, is_short, step, &FOR_OTHERS);
        self.recorded = now;
    }
}

/// Room that a request found which was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CapacityFound {
    /// It was served, or failed for another reason.
    Enough,
    /// No endpoint of its service had room; nothing has run.
    NoneAtService,
    /// An endpoint ran it, and a call that it made for it found no room at this service, directly or
    /// through the calls of others.
    NoneDownstream(ServiceName),
}

/// A change of what is believed of a route's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityChange {
    /// Requests of the route widely find no room.
    Scarce,
    /// They mostly find room again.
    Back,
}

/// Which part of each route's requests a caller's daemon refuses by itself.
///
/// Invariant: a refused part is between 0 and 0.9.
#[derive(Debug, Default)]
pub struct EarlyRefusal {
    levels: HashMap<RequestClass, Level>,
}

impl EarlyRefusal {
    /// Notes the end of a request that was sent: whether it found no endpoint with room. Returns what
    /// is believed from now on, if that has changed.
    pub fn record(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        found: CapacityFound,
    ) -> Option<CapacityChange> {
        if found == CapacityFound::Enough && !self.levels.contains_key(&class) {
            return None;
        }
        if self.levels.len() >= MAX_CLASSES {
            self.levels.clear();
        }
        let level = self.levels.entry(class).or_insert_with(|| Level {
            there: RefusedPart::default(),
            below: RefusedPart::default(),
            for_others: RefusedPart::default(),
            short_downstream: None,
            rank: u32::MAX,
            target: None,
            recorded: now,
        });
        let was_widespread = level.at(now) >= WIDESPREAD;
        level.record(now, &found);
        match (was_widespread, level.at(now) >= WIDESPREAD) {
            (false, true) => Some(CapacityChange::Scarce),
            (true, false) => Some(CapacityChange::Back),
            _ => None,
        }
    }

    /// Part of a route's requests to be refused now.
    pub fn refused_part(&self, now: Timestamp, class: RequestClass) -> f64 {
        let level = self.levels.get(&class);
        level.map_or(0.0, |level| level.at(now))
    }

    /// The service below whose shortage makes a route's requests refused now; none if it is that of the
    /// endpoints that they go to themselves.
    pub fn short_downstream(&self, class: RequestClass) -> Option<&ServiceName> {
        self.levels.get(&class)?.pressing_below()
    }

    /// Notes of a route that is kept in mind which rank its requests have and where they go.
    pub fn describe(&mut self, class: RequestClass, rank: u32, target: &ServiceName) {
        if let Some(level) = self.levels.get_mut(&class) {
            level.rank = rank;
            if level.target.as_ref() != Some(target) {
                level.target = Some(target.clone());
            }
        }
    }

    /// Part of a route's requests to be refused now, so that more important ones which need the same
    /// service find room there.
    pub fn refused_for_others(&self, now: Timestamp, class: RequestClass) -> f64 {
        let Some(level) = self.levels.get(&class) else {
            return 0.0;
        };
        let others = self.levels.values();
        let pressing = others.filter(|other| other.rank < level.rank && other.presses_on(level));
        let part: f64 = pressing.map(|other| other.for_others_at(now)).sum();
        part.min(MOST_REFUSED)
    }

    /// Whether endpoints refuse so many requests that fewer others are worth trying.
    pub fn is_widespread(&self, now: Timestamp, class: RequestClass) -> bool {
        self.refused_part(now, class) >= WIDESPREAD
    }
}
