//! Admission to the endpoint beside the daemon: how many requests run there, and who waits.

use bramblewheel_types::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Share of an endpoint's slots that is used: some endpoints slow down when nearly full.
const USED_SLOTS: f64 = 0.94;
/// Requests that may wait, per slot.
const WAITING_PER_SLOT: f64 = 4.0;

/// A waiting request's place: the most important first, of equals the one that is due first.
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
    /// It waits at this place.
    Wait(QueuePosition),
    /// It waits in place of a less important one, which is refused.
    WaitInsteadOf(QueuePosition, Ticket),
    /// It is refused.
    Refuse,
}

/// Requests that run and wait at one endpoint.
///
/// Invariant: nobody is refused for want of room while a less important request waits.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    limit: u32,
    running: u32,
    next_ticket: u64,
    waiting: BTreeMap<QueuePosition, Timestamp>,
}

impl AdmissionQueue {
    /// Sets how many requests the endpoint runs side by side.
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
        let waiting = u32::try_from(self.capacity()).unwrap_or(u32::MAX);
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
        if self.waiting.len() < self.capacity() {
            return Admission::Wait(self.enqueue(arrival));
        }
        let least = self.waiting.last_key_value().map(|(place, _)| *place);
        match least {
            Some(least) if least.rank > arrival.rank => {
                self.waiting.remove(&least);
                Admission::WaitInsteadOf(self.enqueue(arrival), least.ticket)
            }
            _ => Admission::Refuse,
        }
    }

    fn capacity(&self) -> usize {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a number that fits is one that fits"
        )]
        let waiting = (f64::from(self.limit) * WAITING_PER_SLOT) as usize;
        waiting.max(2)
    }

    fn enqueue(&mut self, arrival: Arrival) -> QueuePosition {
        self.next_ticket += 1;
        let place = QueuePosition {
            rank: arrival.rank,
            due: arrival.due,
            ticket: Ticket(self.next_ticket),
        };
        self.waiting.insert(place, arrival.until);
        place
    }

    /// A request that ran has ended; returns those that run now.
    pub fn finish(&mut self, now: Timestamp) -> Vec<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.start_waiting(now)
    }

    /// Lets the most important ones run that still have time; the others find out by themselves.
    pub fn start_waiting(&mut self, now: Timestamp) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.running < self.limit {
            let Some((place, until)) = self.waiting.pop_first() else {
                break;
            };
            if until > now {
                self.running += 1;
                started.push(place.ticket);
            }
        }
        started
    }

    /// A waiting request went away; false if it runs already or was refused.
    pub fn leave(&mut self, place: &QueuePosition) -> bool {
        self.waiting.remove(place).is_some()
    }

    /// Refuses all that wait, such as when the endpoint leaves.
    pub fn refuse_all(&mut self) -> Vec<Ticket> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_keys().map(|place| place.ticket).collect()
    }
}

/// Longest wait of a request for a slot: beyond it a refusal that can be acted on is worth more.
pub fn longest_wait(objective: Duration, left: Duration) -> Duration {
    /// Part of the objective that a request may wait unserved.
    const OBJECTIVE_PART: f64 = 0.6;
    objective.mul_f64(OBJECTIVE_PART).min(left / 2)
}
