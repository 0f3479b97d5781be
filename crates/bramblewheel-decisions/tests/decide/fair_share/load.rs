//! Load of several tenants on one endpoint, on virtual time: what the callers of each tenant get.

use super::orders::{Decision, Queue};
use bramblewheel_decisions::admission::{Arrival, TenantKey};
use bramblewheel_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};

const WORK_MILLIS: u64 = 100;
/// Long enough that the queue fills up before requests give up.
const WAIT_MILLIS: u64 = 1_500;
const OBJECTIVE_MILLIS: u64 = 3_000;
/// Long against the time in which the queue is emptied after the last arrival: the requests that wait then are served
/// whoever they belong to, and are 0.007 of all.
const DURATION_MILLIS: u64 = 60_000;

#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub requests: u32,
    pub served: u32,
    /// Refused at once or displaced.
    pub refused: u32,
}

impl Served {
    pub fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Ends,
    GivesUp(usize),
}

/// One endpoint with its queue.
pub struct Load<Q> {
    pub queue: Q,
    random: Pcg64Mcg,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    /// Tenant of each request.
    requests: Vec<usize>,
    /// Requests that wait.
    waiting: HashSet<usize>,
    running: u32,
    pub served: Vec<Served>,
}

impl<Q: Queue> Load<Q> {
    /// Plays the load; `parts` are the loads of the tenants as parts of the endpoint's capacity.
    pub fn play(seed: u64, queue: Q, parts: &[f64]) -> Self {
        let mut load = Self {
            queue,
            random: Pcg64Mcg::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: Vec::new(),
            waiting: HashSet::new(),
            running: 0,
            served: vec![Served::default(); parts.len()],
        };
        for tenant in 0..parts.len() {
            load.plan(0, Event::Arrives(tenant));
        }
        while let Some(Reverse((now, _, event))) = load.events.pop() {
            match event {
                Event::Arrives(tenant) => load.arrive(now, tenant, parts[tenant]),
                Event::Ends => load.end(now),
                Event::GivesUp(request) => {
                    if load.waiting.remove(&request) {
                        load.queue.leave(request);
                    }
                }
            }
            let is_full = load.running == load.queue.limit();
            assert!(load.waiting.is_empty() || is_full, "a free slot is unused");
        }
        load
    }

    fn plan(&mut self, micros: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((micros, self.sequence, event)));
    }

    fn arrive(&mut self, now: u64, tenant: usize, part: f64) {
        if now >= DURATION_MILLIS * 1_000 {
            return;
        }
        let per_micro = part * f64::from(self.queue.limit()) / (WORK_MILLIS * 1_000) as f64;
        let gap = -self.random.random_range(f64::EPSILON..1.0).ln() / per_micro;
        self.plan(now + gap as u64 + 1, Event::Arrives(tenant));
        let request = self.requests.len();
        self.requests.push(tenant);
        self.served[tenant].requests += 1;
        let millis = now / 1_000;
        let arrival = Arrival {
            rank: 0,
            tenant: Some(TenantKey::new(format!("tenant-{tenant}").as_bytes())),
            due: Timestamp::from_millis(millis + OBJECTIVE_MILLIS),
            // Requests give up one millisecond before the queue drops them, so that both count the same as waiting.
            until: Timestamp::from_millis(millis + WAIT_MILLIS + 1),
        };
        match self.queue.arrive(request, arrival) {
            Decision::Run => self.start(now, request),
            Decision::Refuse => self.served[tenant].refused += 1,
            Decision::Wait => self.wait(now, request),
            Decision::Displace(displaced) => {
                self.waiting.remove(&displaced);
                self.served[self.requests[displaced]].refused += 1;
                self.wait(now, request);
            }
        }
    }

    fn wait(&mut self, now: u64, request: usize) {
        self.waiting.insert(request);
        self.plan((now / 1_000 + WAIT_MILLIS) * 1_000, Event::GivesUp(request));
    }

    fn start(&mut self, now: u64, request: usize) {
        self.waiting.remove(&request);
        self.running += 1;
        self.served[self.requests[request]].served += 1;
        let work = WORK_MILLIS * 1_000;
        let work = self.random.random_range(work / 2..work * 3 / 2);
        self.plan(now + work, Event::Ends);
    }

    fn end(&mut self, now: u64) {
        self.running -= 1;
        for request in self.queue.finish(Timestamp::from_millis(now / 1_000)) {
            self.start(now, request);
        }
    }
}
