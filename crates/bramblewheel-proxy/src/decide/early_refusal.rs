//! Refusals at the caller's daemon of requests that would be refused at their endpoints.
//!
//! In an overload each refusal at an endpoint's daemon costs two daemons a connection and an answer,
//! and a request is offered to several of them. So a caller's daemon counts which part of a route's
//! requests found no endpoint with room, and refuses so many itself that this part stays small. What
//! it still sends keeps it informed: a part of the requests is always sent.
//!
//! That one endpoint refuses says nothing, since another one may have room.

use crate::decide::fading_share::FadingShare;
use bramblewheel_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;

/// Part of the requests sent that may find no room: with none of them endpoints may have room left.
const TOLERATED: f64 = 0.2;
/// Rise of the refused part in a second, for each unit by which too many find no room.
const RISE_PER_SECOND: f64 = 2.0;
/// Fall of the refused part in a second while few find no room.
const FALL_PER_SECOND: f64 = 1.5;
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
const MAX_ROUTES: usize = 512;

/// What is known of one route.
#[derive(Clone, Copy, Debug)]
struct Level {
    /// Part to be refused, as of `recorded`.
    refused_part: f64,
    /// Part of the requests sent that found no room lately.
    no_room: FadingShare,
    /// When the last request that was sent ended.
    recorded: Timestamp,
}

impl Level {
    fn at(&self, now: Timestamp) -> f64 {
        let unheard = now.since(self.recorded).saturating_sub(SENT_LIFETIME);
        (self.refused_part - unheard.as_secs_f64() * FALL_PER_SECOND).max(0.0)
    }
}

/// A change of what is believed of a route's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomChange {
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
    levels: HashMap<u64, Level>,
}

impl EarlyRefusal {
    /// Notes the end of a request that was sent: whether it found no endpoint with room. Returns what
    /// is believed from now on, if that has changed.
    pub fn record(
        &mut self,
        now: Timestamp,
        route: u64,
        found_no_room: bool,
    ) -> Option<RoomChange> {
        if !found_no_room && !self.levels.contains_key(&route) {
            return None;
        }
        if self.levels.len() >= MAX_ROUTES {
            self.levels.clear();
        }
        let level = self.levels.entry(route).or_insert_with(|| Level {
            refused_part: 0.0,
            no_room: FadingShare::default(),
            recorded: now,
        });
        let before = level.at(now);
        let step = now.since(level.recorded).min(LONGEST_STEP).as_secs_f64();
        level.no_room.record(now, found_no_room, SMOOTHING);
        let excess = level.no_room.at(now) - TOLERATED;
        let change = if excess > 0.0 {
            excess * RISE_PER_SECOND
        } else {
            -FALL_PER_SECOND
        };
        let was_widespread = level.refused_part >= WIDESPREAD;
        level.refused_part = (before + change * step).clamp(0.0, MOST_REFUSED);
        level.recorded = now;
        match (was_widespread, level.refused_part >= WIDESPREAD) {
            (false, true) => Some(RoomChange::Scarce),
            (true, false) => Some(RoomChange::Back),
            _ => None,
        }
    }

    /// Part of a route's requests to be refused now.
    pub fn refused_part(&self, now: Timestamp, route: u64) -> f64 {
        let level = self.levels.get(&route);
        level.map_or(0.0, |level| level.at(now))
    }

    /// Whether endpoints refuse so many requests that fewer others are worth trying.
    pub fn is_widespread(&self, now: Timestamp, route: u64) -> bool {
        self.refused_part(now, route) >= WIDESPREAD
    }
}
