//! The admission queue: most important first, bounded, evicting the least important.
//!
//! Order of importance: criticality, then calls in a session before others. Within one such
//! group the oldest goes first while the queue is short-lived, and the newest under overload:
//! the oldest then have the least time left, and serving them first would make all of them late.

use bramblewheel_types::{AttemptId, Criticality};
use std::collections::BTreeMap;

/// Each time this many were taken, the next is taken from the middle class if one waits.
const MIDDLE_CLASS_TURN: u32 = 8;
/// The class that a flood of more important calls must not starve.
const MIDDLE_CLASS: Criticality = Criticality::Normal;

/// Importance of a queued attempt; larger is more important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Importance {
    /// Class from the root.
    pub criticality: Criticality,
    /// Whether the root request belongs to an open session.
    pub in_session: bool,
}

/// Place of one attempt; later arrivals have larger numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePlace {
    /// Importance.
    pub importance: Importance,
    /// Position among all arrivals.
    pub arrival: u64,
}

/// Which end of a group is served first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceOrder {
    /// First in, first out.
    #[default]
    OldestFirst,
    /// Last in, first out.
    NewestFirst,
}

/// What became of an attempt offered to the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It waits.
    Queued(QueuePlace),
    /// It waits, and another was evicted for it.
    QueuedInsteadOf(QueuePlace, AttemptId),
    /// Nothing in the full queue is less important.
    Refused,
}

/// Bounded queue of attempts; each operation takes logarithmic time.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    waiting: BTreeMap<QueuePlace, AttemptId>,
    arrivals: u64,
    taken_since_middle: u32,
}

impl AdmissionQueue {
    /// Attempts waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Importance of the least important attempt waiting.
    pub fn lowest(&self) -> Option<Importance> {
        self.waiting
            .first_key_value()
            .map(|(place, _)| place.importance)
    }

    /// Offers an attempt to the queue, which keeps at most `capacity`.
    pub fn offer(
        &mut self,
        attempt: AttemptId,
        importance: Importance,
        capacity: usize,
        order: ServiceOrder,
    ) -> Offer {
        let is_full = self.waiting.len() >= capacity;
        let displaced = if is_full {
            let Some(displaced) = self.displaced_by(importance, order) else {
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

    /// The attempt that an arrival pushes out: the oldest of the least important group, if that
    /// is less important than the arrival, or as important while the newest go first.
    fn displaced_by(&self, importance: Importance, order: ServiceOrder) -> Option<QueuePlace> {
        let (least, _) = self.waiting.first_key_value()?;
        let is_displaced = match order {
            ServiceOrder::OldestFirst => least.importance < importance,
            ServiceOrder::NewestFirst => least.importance <= importance,
        };
        is_displaced.then_some(*least)
    }

    /// Takes the attempt to be served next.
    pub fn take(&mut self, order: ServiceOrder) -> Option<(QueuePlace, AttemptId)> {
        let (top, _) = self.waiting.last_key_value()?;
        let top = top.importance;
        let group = self.middle_class_turn(top).unwrap_or(top);
        let place = self.next_of(group, order)?;
        let attempt = self.waiting.remove(&place)?;
        Some((place, attempt))
    }

    /// The middle group to be served instead of `top`, if it is its turn.
    fn middle_class_turn(&mut self, top: Importance) -> Option<Importance> {
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

    fn next_of(&self, importance: Importance, order: ServiceOrder) -> Option<QueuePlace> {
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

    /// Takes out an attempt that was given up; false if it does not wait.
    pub fn remove(&mut self, place: &QueuePlace) -> bool {
        self.waiting.remove(place).is_some()
    }
}
