//! Admit at the endpoint: how many requests run there, and in which order the others wait.
//!
//! Rule: a request runs if a slot is free and nobody waits. Otherwise it waits, the most important first and of
//! equals the one whose answer is due first; when the queue is full it takes the last queue position of a less
//! important one, or is refused.
//!
//! Inputs: the endpoint's slots (from its heartbeat), the rank of each request (0 is the most important; that of the
//! root of its call tree), when its answer is due, and until when it may wait.
//!
//! Reason: a call deep in a tree must not be refused lightly, since much has run for it already. So much may wait,
//! and the limits of classes ([`crate::class_limit`]) refuse at the top of the trees instead.
//!
//! Owns the counts and the queue. Relies on the caller to say when a request has ended and when one has stopped
//! waiting.
//!
//! Seen in: metric `bramblewheel_inbound` (result `full`); log line `not admitted` (`rank`, `busy`, `limit`,
//! `reason`).

use bramblewheel_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of an endpoint's slots that is used, 0 to 1: some endpoints slow down when nearly full. Chosen, not measured.
const USED_SLOTS: f64 = 0.94;
/// Requests that may wait for each slot that is used. Measured, mean worth of 15 whole days (`docs/design/19-narrow-services.md`,
/// round 9): 0.505 with 4, 0.489 with 1.5.
const WAITING_PER_SLOT: f64 = 4.0;
/// Requests that may wait at an endpoint of a single slot, at least. Chosen, not measured.
const LEAST_WAITING: usize = 2;
/// Part of the objective, 0 to 1, that a request may wait unserved. Measured, mean worth of 15 whole days
/// (`docs/design/19-narrow-services.md`, round 10): 0.505 with 0.6, 0.494 with 0.3.
const WAITING_PART_OF_OBJECTIVE: f64 = 0.6;
/// The wait takes at most one part in so many of the time that is left. Chosen, not measured.
const WAITING_DIVISOR_OF_TIME_LEFT: u32 = 2;

/// A waiting request's queue position: the most important first, of equals the one that is due first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuePosition {
    /// Rank; 0 is the most important.
    pub rank: u32,
    /// When its answer should be there.
    pub due: Timestamp,
    /// Its name.
    pub ticket: Ticket,
}

/// What is asked of the queue for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Rank; 0 is the most important.
    pub rank: u32,
    /// When its answer should be there.
    pub due: Timestamp,
    /// Until when it waits at the longest.
    pub until: Timestamp,
}

/// Names a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// What is to be done with a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It waits at this queue position.
    Wait(QueuePosition),
    /// It waits instead of a less important one, which is refused.
    WaitInsteadOf(QueuePosition, Ticket),
    /// It is refused.
    Refuse,
}

/// Requests that run and wait at one endpoint.
///
/// Invariant: nobody is refused for a full queue while a less important request waits.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    limit: u32,
    running: u32,
    next_ticket: u64,
    waiting: BTreeMap<QueuePosition, Timestamp>,
}

impl AdmissionQueue {
    /// Sets how many requests the endpoint can run side by side; a part of them is used, one at least.
    pub fn set_slots(&mut self, slots: u32) {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a number that fits is one that fits"
        )]
        let used = (f64::from(slots) * USED_SLOTS) as u32;
        self.limit = used.max(1);
    }

    /// Requests that may run side by side.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Requests that may run and wait.
    pub fn held(&self) -> u32 {
        let waiting = u32::try_from(self.queue_length()).unwrap_or(u32::MAX);
        self.limit.saturating_add(waiting)
    }

    /// Requests that run and wait.
    pub fn busy(&self) -> u32 {
        self.running + u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Decides on a request that arrived.
    pub fn arrive(&mut self, arrival: Arrival) -> Admission {
        if self.running < self.limit && self.waiting.is_empty() {
            self.running += 1;
            return Admission::Run;
        }
        if self.waiting.len() < self.queue_length() {
            return Admission::Wait(self.enqueue(arrival));
        }
        let last = self.waiting.last_key_value().map(|(position, _)| *position);
        match last {
            Some(last) if last.rank > arrival.rank => {
                self.waiting.remove(&last);
                Admission::WaitInsteadOf(self.enqueue(arrival), last.ticket)
            }
            _ => Admission::Refuse,
        }
    }

    /// Requests that may wait.
    fn queue_length(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a number that fits is one that fits"
        )]
        let waiting = (f64::from(self.limit) * WAITING_PER_SLOT) as usize;
        waiting.max(LEAST_WAITING)
    }

    fn enqueue(&mut self, arrival: Arrival) -> QueuePosition {
        self.next_ticket += 1;
        let position = QueuePosition {
            rank: arrival.rank,
            due: arrival.due,
            ticket: Ticket(self.next_ticket),
        };
        self.waiting.insert(position, arrival.until);
        position
    }

    /// A request that ran has ended; returns those that run now in its place.
    pub fn finish(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.start_waiting(now)
    }

    /// Starts the most important ones that may still wait; the others find out by themselves that their time is over.
    pub fn start_waiting(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.running < self.limit {
            let Some((position, until)) = self.waiting.pop_first() else {
                break;
            };
            if until > now {
                self.running += 1;
                started.push(position.ticket);
            }
        }
        started
    }

    /// Takes a request out of the queue that went away; false if it runs already or was refused.
    pub fn leave(&mut self, position: &QueuePosition) -> bool {
        self.waiting.remove(position).is_some()
    }

    /// Refuses all that wait, such as when the endpoint leaves.
    pub fn refuse_all(&mut self) -> Vec<Ticket> {
        let waiting = std::mem::take(&mut self.waiting);
        let tickets = waiting.into_keys().map(|position| position.ticket);
        tickets.collect()
    }
}

/// Longest wait of a request for a slot, by its objective and the time that is left: beyond it a refusal that the
/// caller can act on is worth more.
pub fn longest_wait(objective: Duration, left: Duration) -> Duration {
    let by_objective = objective.mul_f64(WAITING_PART_OF_OBJECTIVE);
    by_objective.min(left / WAITING_DIVISOR_OF_TIME_LEFT)
}
