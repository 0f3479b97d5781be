//! The queue under test and the order by due time that preceded it, behind one interface with the test's request numbers.

use bramblewheel_decisions::admission::{
    Admission, AdmissionQueue, Arrival, QueuePosition, Ticket,
};
use bramblewheel_types::Timestamp;
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Run,
    Wait,
    Displace(usize),
    Refuse,
}

pub trait Queue {
    fn arrive(&mut self, request: usize, arrival: Arrival) -> Decision;
    fn finish(&mut self, now: Timestamp) -> Vec<usize>;
    fn leave(&mut self, request: usize) -> bool;
    fn limit(&self) -> u32;
}

pub struct Fair {
    queue: AdmissionQueue,
    requests: HashMap<Ticket, usize>,
    positions: HashMap<usize, QueuePosition>,
}

impl Fair {
    pub fn with_slots(slots: u32) -> Self {
        let mut queue = AdmissionQueue::default();
        queue.set_slots(slots);
        Self {
            queue,
            requests: HashMap::new(),
            positions: HashMap::new(),
        }
    }

    fn record(&mut self, request: usize, position: QueuePosition) {
        self.requests.insert(position.ticket, request);
        self.positions.insert(request, position);
    }
}

impl Queue for Fair {
    fn arrive(&mut self, request: usize, arrival: Arrival) -> Decision {
        match self.queue.arrive(arrival) {
            Admission::Run => Decision::Run,
            Admission::Refuse => Decision::Refuse,
            Admission::Wait(position) => {
                self.record(request, position);
                Decision::Wait
            }
            Admission::WaitInsteadOf(position, displaced, _) => {
                self.record(request, position);
                Decision::Displace(self.requests[&displaced])
            }
        }
    }

    fn finish(&mut self, now: Timestamp) -> Vec<usize> {
        let started = self.queue.finish(now);
        started.iter().map(|ticket| self.requests[ticket]).collect()
    }

    fn leave(&mut self, request: usize) -> bool {
        let position = self.positions.get(&request);
        position.is_some_and(|position| self.queue.leave(position))
    }

    fn limit(&self) -> u32 {
        self.queue.limit()
    }
}

/// The order before fair shares: by rank, then by due time; only a less important rank is displaced.
pub struct ByDueTime {
    limit: u32,
    running: u32,
    waiting: BTreeMap<(u32, Timestamp, usize), Timestamp>,
}

impl ByDueTime {
    /// With the numbers of running and waiting requests that the queue under test allows.
    pub fn like(fair: &Fair) -> Self {
        Self {
            limit: fair.limit(),
            running: 0,
            waiting: BTreeMap::new(),
        }
    }
}

impl Queue for ByDueTime {
    fn arrive(&mut self, request: usize, arrival: Arrival) -> Decision {
        if self.running < self.limit && self.waiting.is_empty() {
            self.running += 1;
            return Decision::Run;
        }
        let key = (arrival.rank, arrival.due, request);
        if self.waiting.len() < (self.limit as usize * 4).max(2) {
            self.waiting.insert(key, arrival.until);
            return Decision::Wait;
        }
        let last = self.waiting.last_key_value().map(|(last, _)| *last);
        match last {
            Some(last) if last.0 > arrival.rank => {
                self.waiting.remove(&last);
                self.waiting.insert(key, arrival.until);
                Decision::Displace(last.2)
            }
            _ => Decision::Refuse,
        }
    }

    fn finish(&mut self, now: Timestamp) -> Vec<usize> {
        self.running = self.running.saturating_sub(1);
        let mut started = Vec::new();
        while self.running < self.limit {
            let Some(((_, _, request), until)) = self.waiting.pop_first() else {
                break;
            };
            if until > now {
                self.running += 1;
                started.push(request);
            }
        }
        started
    }

    fn leave(&mut self, request: usize) -> bool {
        let key = self.waiting.keys().find(|key| key.2 == request).copied();
        key.is_some_and(|key| self.waiting.remove(&key).is_some())
    }

    fn limit(&self) -> u32 {
        self.limit
    }
}
