//! Refuse early: which part of a class's requests the caller's daemon refuses before sending them anywhere.
//!
//! Rule: the refused part of a class rises while too many of the requests sent find no capacity, at the service
//! itself or downstream of it, and falls otherwise. Less important classes that need the same service are refused
//! too, so that the rank holds across routes. Requests are refused at random by that part; who is exempt is decided
//! by the caller of this module.
//!
//! Inputs: how each sent request ended ([`CapacityFound`]; seen by this daemon, no age), its class, its rank (0 is
//! the most important) and its service. Two outcomes count: no endpoint had capacity, and an endpoint failed the
//! request since one of its own calls found no capacity. One endpoint that is full is no evidence, since another may
//! have room.
//!
//! Reason: in an overload each refusal at an endpoint's daemon costs two daemons a connection and an answer, and a
//! request is offered to several of them; a request that fails downstream has cost the work of a whole call tree.
//! Some requests are always sent, since their outcomes are the only input.
//!
//! Owns the state of each class at this daemon. Relies on the caller for time and for the random draw.
//!
//! Seen in: metric `bramblewheel_refused_early`; log lines `refused early` (`refused_part`, `for_others`, `short`)
//! and `room at endpoints` (`change`, `short`).

mod class_state;
mod refused_part;

use crate::request_class::RequestClass;
use bramblewheel_types::{ServiceName, Timestamp};
use class_state::ClassState;
use refused_part::MOST_REFUSED;
use std::collections::HashMap;

/// Refused part, 0 to 1, from which a shortage counts as widespread: it is logged, and a request is offered to fewer
/// endpoints. Chosen, not measured.
const WIDESPREAD: f64 = 0.1;
/// Classes whose state is kept; bounds the memory. Chosen, not measured.
const MAX_CLASSES: usize = 512;

/// Capacity that a request which was sent found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CapacityFound {
    /// It was served, or failed for another reason.
    Enough,
    /// No endpoint of its service had capacity; nothing has run.
    NoneAtService,
    /// An endpoint ran it, and a call that it made for it found no capacity at this service, directly or
    /// through the calls of others.
    NoneDownstream(ServiceName),
}

/// A change of whether a class's requests widely find no capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityChange {
    /// They widely find none, from now on.
    Scarce,
    /// They mostly find some again.
    Back,
}

/// Which part of each class's requests a caller's daemon refuses by itself.
///
/// Invariant: a refused part is between 0 and 0.9.
#[derive(Debug, Default)]
pub struct EarlyRefusal {
    classes: HashMap<RequestClass, ClassState>,
}

impl EarlyRefusal {
    /// Records which capacity a request found that was sent. Returns whether capacity has become scarce for
    /// its class, or has come back; none if neither changed.
    pub fn record(
        &mut self,
        now: Timestamp,
        class: RequestClass,
        found: CapacityFound,
    ) -> Option<CapacityChange> {
        if found == CapacityFound::Enough && !self.classes.contains_key(&class) {
            return None;
        }
        if self.classes.len() >= MAX_CLASSES {
            self.classes.clear();
        }
        let state = self.classes.entry(class);
        let state = state.or_insert_with(|| ClassState::new(now));
        let was_widespread = state.refused_part(now) >= WIDESPREAD;
        state.record(now, &found);
        match (was_widespread, state.refused_part(now) >= WIDESPREAD) {
            (false, true) => Some(CapacityChange::Scarce),
            (true, false) => Some(CapacityChange::Back),
            _ => None,
        }
    }

    /// Part of a class's requests to be refused now, 0 to 0.9, by what its own requests found.
    pub fn refused_part(&self, now: Timestamp, class: RequestClass) -> f64 {
        let state = self.classes.get(&class);
        state.map_or(0.0, |state| state.refused_part(now))
    }

    /// The downstream service for whose lack of capacity a class's requests are refused now; none if it is the
    /// service that they go to themselves.
    pub fn short_downstream(&self, class: RequestClass) -> Option<&ServiceName> {
        self.classes.get(&class)?.dominant_downstream()
    }

    /// Records the rank of a class's requests (0 is the most important) and the service that they go to. Without
    /// effect for a class of which no state is kept.
    pub fn describe(&mut self, class: RequestClass, rank: u32, target: &ServiceName) {
        if let Some(state) = self.classes.get_mut(&class) {
            state.describe(rank, target);
        }
    }

    /// Part of a class's requests to be refused now, 0 to 0.9, so that more important ones which need the same
    /// service find capacity there.
    pub fn refused_for_others(&self, now: Timestamp, class: RequestClass) -> f64 {
        let Some(state) = self.classes.get(&class) else {
            return 0.0;
        };
        let others = self.classes.values();
        let short_of_it = others.filter(|other| other.is_eased_by(state));
        let part: f64 = short_of_it.map(|other| other.part_for_others(now)).sum();
        part.min(MOST_REFUSED)
    }

    /// Whether endpoints refuse so many requests of the class that fewer other ones are worth trying.
    pub fn is_widespread(&self, now: Timestamp, class: RequestClass) -> bool {
        self.refused_part(now, class) >= WIDESPREAD
    }
}
