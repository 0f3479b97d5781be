//! Early refusal: which part of a class's requests the caller's daemon refuses before sending them.
//!
//! Rule: the refused part of a class rises while too many of the requests sent find no capacity, at the service itself
//! or downstream of it, and falls otherwise. Less important classes that need the same service are refused too, so that
//! ranks hold across routes. Requests are refused at random with that probability; the caller of this module decides
//! which requests are exempt.
//!
//! Inputs: how each sent request ended ([`CapacityFound`]; seen by this daemon, without delay), its class, its rank (0
//! is the most important) and its service. Two outcomes count: no endpoint had capacity, or an endpoint failed the
//! request because one of its own calls found no capacity. A single full endpoint does not count, since another may
//! have capacity.
//!
//! Reason: in an overload each refusal at an endpoint's daemon costs two daemons a connection and an answer, and a
//! request is offered to several of them; a request that fails downstream wastes the work of a whole call tree. Some
//! requests are always sent, since their outcomes are the only input.
//!
//! State: the refused parts of each class at this daemon.
//!
//! Observability: metric `bramblewheel_refused_early`; log lines `refused early` (`refused_part`, `for_others`,
//! `short`) and `room at endpoints` (`change`, `short`).

mod class_state;
mod refused_part;

use crate::request_class::RequestClass;
use bramblewheel_types::{ServiceName, Timestamp};
use class_state::ClassState;
use refused_part::MAX_REFUSED;
use std::collections::HashMap;

/// Refused part, 0 to 1, from which a shortage counts as widespread: it is logged, and requests are offered to fewer
/// endpoints.
const WIDESPREAD: f64 = 0.1;
/// Most classes whose state is kept; bounds the memory.
const MAX_CLASSES: usize = 512;

/// Capacity found by a request that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CapacityFound {
    /// The request was served, or failed for another reason.
    Enough,
    /// No endpoint of its service had capacity; the request has not run.
    NoneAtService,
    /// An endpoint ran the request, and one of its calls found no capacity at this service, directly or through further
    /// calls.
    NoneDownstream(ServiceName),
}

/// Change of the capacity that a class's requests find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityChange {
    /// Requests now widely find none.
    Scarce,
    /// Requests mostly find some again.
    Back,
}

/// The part of each class's requests that a caller's daemon refuses.
///
/// Invariant: a refused part is between 0 and 0.9.
#[derive(Debug, Default)]
pub struct EarlyRefusal {
    classes: HashMap<RequestClass, ClassState>,
}

impl EarlyRefusal {
    /// Records the capacity found by a request that was sent. Returns whether capacity has become scarce for its class
    /// or has returned; none if neither changed.
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

    /// Part of a class's requests to be refused now, 0 to 0.9, because of the outcomes of its own requests.
    pub fn refused_part(&self, now: Timestamp, class: RequestClass) -> f64 {
        let state = self.classes.get(&class);
        state.map_or(0.0, |state| state.refused_part(now))
    }

    /// The downstream service because of whose missing capacity a class's requests are refused now; none if it is the
    /// service that they are sent to.
    pub fn short_downstream(&self, class: RequestClass) -> Option<&ServiceName> {
        self.classes.get(&class)?.dominant_downstream()
    }

    /// Records the rank of a class's requests (0 is the most important) and the service that they are sent to. Does
    /// nothing for a class without state.
    pub fn set_rank_and_target(&mut self, class: RequestClass, rank: u32, target: &ServiceName) {
        if let Some(state) = self.classes.get_mut(&class) {
            state.set_rank_and_target(rank, target);
        }
    }

    /// Part of a class's requests to be refused now, 0 to 0.9, so that more important requests which need the same
    /// service find capacity there.
    pub fn refused_for_others(&self, now: Timestamp, class: RequestClass) -> f64 {
        let Some(state) = self.classes.get(&class) else {
            return 0.0;
        };
        let others = self.classes.values();
        let short_of_it = others.filter(|other| other.is_relieved_by(state));
        let part: f64 = short_of_it.map(|other| other.part_for_others(now)).sum();
        part.min(MAX_REFUSED)
    }

    /// Whether endpoints refuse so many requests of the class that fewer reroutes are worthwhile.
    pub fn is_widespread(&self, now: Timestamp, class: RequestClass) -> bool {
        self.refused_part(now, class) >= WIDESPREAD
    }
}
