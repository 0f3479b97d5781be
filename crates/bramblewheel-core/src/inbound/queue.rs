//! Bounded admission queue: serves the most important attempts first and evicts the least important.
//!
//! Attempts are ordered by criticality, then calls in a session before others. Within a group of
//! equal importance the oldest is served first in normal operation and the newest under overload:
//! then the oldest have the least time left, and serving them first would make all attempts late.

use bramblewheel_types::{AttemptId, Criticality};
use std::collections::BTreeMap;

/// Every this many attempts, one is taken from the middle class if one is waiting.
const MIDDLE_CLASS_TURN: u32 = 8;
/// The class that more important calls must not starve.
const MIDDLE_CLASS: Criticality = Criticality::Normal;

/// Importance of a queued attempt; larger values are more important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Importance {
    /// Class set at the root.
    pub criticality: Criticality,
    /// Whether the root request belongs to an open session.
    pub in_session: bool,
}

/// Position of an attempt in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePlace {
    /// Importance.
    pub importance: Importance,
    /// Sequence number of the arrival.
    pub arrival: u64,
}

/// Service order within a group of equal importance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceOrder {
    /// First in, first out.
    #[default]
    OldestFirst,
    /// Last in, first out.
    NewestFirst,
}

/// Result of offering an attempt to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The attempt was queued.
    Queued(QueuePlace),
    /// The attempt was queued and another one was evicted for it.
    QueuedInsteadOf(QueuePlace, AttemptId),
    /// The queue is full and contains nothing less important.
    Refused,
}

/// Bounded queue of attempts; all operations take logarithmic time.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    waiting: BTreeMap<QueuePlace, AttemptId>,
    arrivals: u64,
    taken_since_middle: u32,
}

impl AdmissionQueue {
    /// Number of waiting attempts.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no attempt is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Importance of the least important waiting attempt.
    pub fn lowest(&self) -> Option<Importance> {
        self.waiting
            .first_key_value()
            .map(|(place, _)| place.importance)
    }

    /// Offers an attempt to the queue, which holds at most `capacity` attempts.
    pub fn offer(
        &mut self,
        attempt: AttemptId,
        importance: Importance,
        capacity: usize,
        order: ServiceOrder,
    ) -> Offer {
        let is_full = self.waiting.len() >= capacity;
        let displaced = if is_full {
            let Some(displaced) = self.find_displaced(importance, order) else {
                return Offer::Refused;
            };
            self.waiting.remove(&displaced)
        } else {
            None
        };
        self.arrivals += 1;
        let place = QueuePlace {
            importance,
            arrival: self.arrivals,
        };
        self.waiting.insert(place, attempt);
        match displaced {
            Some(displaced) => Offer::QueuedInsteadOf(place, displaced),
            None => Offer::Queued(place),
        }
    }

    /// The attempt that an arrival displaces: the oldest of the least important group, if that group
    /// is less important than the arrival, or equally important while the newest are served first.
    fn find_displaced(&self, importance: Importance, order: ServiceOrder) -> Option<QueuePlace> {
        let (least, _) = self.waiting.first_key_value()?;
        let is_displaced = match order {
            ServiceOrder::OldestFirst => least.importance < importance,
            ServiceOrder::NewestFirst => least.importance <= importance,
        };
        is_displaced.then_some(*least)
    }

    /// Removes and returns the attempt to be served next.
    pub fn take(&mut self, order: ServiceOrder) -> Option<(QueuePlace, AttemptId)> {
        let (top, _) = self.waiting.last_key_value()?;
        let top = top.importance;
        let group = self.take_middle_class_turn(top).unwrap_or(top);
        let place = self.next_in_group(group, order)?;
        let attempt = self.waiting.remove(&place)?;
        Some((place, attempt))
    }

    /// The middle-class group to be served instead of `top`, if it is its turn.
    fn take_middle_class_turn(&mut self, top: Importance) -> Option<Importance> {
        if top.criticality <= MIDDLE_CLASS {
            self.taken_since_middle = 0;
            return None;
        }
        self.taken_since_middle += 1;
        if self.taken_since_middle < MIDDLE_CLASS_TURN {
            return None;
        }
        self.taken_since_middle = 0;
        let above = QueuePlace {
            importance: Importance {
                criticality: Criticality::Critical,
                in_session: false,
            },
            arrival: 0,
        };
        let (place, _) = self.waiting.range(..above).next_back()?;
        let is_middle = place.importance.criticality == MIDDLE_CLASS;
        is_middle.then_some(place.importance)
    }

    fn next_in_group(&self, importance: Importance, order: ServiceOrder) -> Option<QueuePlace> {
        let first = QueuePlace {
            importance,
            arrival: 0,
        };
        let last = QueuePlace {
            importance,
            arrival: u64::MAX,
        };
        let mut group = self.waiting.range(first..=last);
        let next = match order {
            ServiceOrder::OldestFirst => group.next(),
            ServiceOrder::NewestFirst => group.next_back(),
        };
        next.map(|(place, _)| *place)
    }

    /// Removes an aborted attempt; returns false if it is not in the queue.
    pub fn remove(&mut self, place: &QueuePlace) -> bool {
        self.waiting.remove(place).is_some()
    }
}
