//! Call trees that share a bottleneck service, on virtual time.

use crate::{at, service};
use bramblewheel_decisions::admission::{Admission, AdmissionQueue, Arrival, Ticket};
use bramblewheel_decisions::early_refusal::{CapacityFound, EarlyRefusal};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// How calls are ordered at the bottleneck service, and whether trees are refused where they enter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// All calls have the same rank, and no tree is refused early.
    EqualRanks,
    /// Calls have the rank of their tree; trees that would fail downstream are refused early.
    RootRanks,
}

/// A kind of trees: some work, then sequential calls to the bottleneck service.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub rank: u32,
    pub calls: u32,
    pub per_second: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    requests: u32,
    pub served: u32,
    pub failed: u32,
}

impl Outcomes {
    pub fn served_part(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests.max(1))
    }
}

/// A tree that is in progress.
#[derive(Clone, Copy, Debug)]
struct Tree {
    kind: usize,
    daemon: usize,
    calls_left: u32,
    is_counted: bool,
}

/// Next event, with its time in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Calls(u64),
    Ends(u64, usize),
    GivesUp(u64, usize, Ticket),
}

const DAEMONS: usize = 12;
const ENDPOINTS: usize = 3;
const SLOTS: u32 = 20;
const WORK_MICROS: u64 = 20_000;
const ENTRY_MICROS: u64 = 80_000;
const WAIT_MICROS: u64 = 150_000;
/// Calls that the bottleneck service can run per second with the slots that are used.
pub const CAPACITY: f64 = (ENDPOINTS * 18) as f64 * 1e6 / WORK_MICROS as f64;

pub struct Simulation {
    policy: Policy,
    kinds: Vec<Kind>,
    random: Pcg64Mcg,
    entries: Vec<EarlyRefusal>,
    queues: Vec<AdmissionQueue>,
    waiting: HashMap<(usize, Ticket), (u64, Timestamp)>,
    trees: HashMap<u64, Tree>,
    next_tree: u64,
    heap: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    pub outcomes: Vec<Outcomes>,
}

impl Simulation {
    pub fn new(seed: u64, policy: Policy, kinds: &[Kind]) -> Self {
        let mut queues: Vec<AdmissionQueue> = Vec::new();
        queues.resize_with(ENDPOINTS, AdmissionQueue::default);
        for queue in &mut queues {
            queue.set_slots(SLOTS);
        }
        Self {
            policy,
            kinds: kinds.to_vec(),
            random: Pcg64Mcg::seed_from_u64(seed),
            entries: (0..DAEMONS).map(|_| EarlyRefusal::default()).collect(),
            queues,
            waiting: HashMap::new(),
            trees: HashMap::new(),
            next_tree: 0,
            heap: BinaryHeap::new(),
            sequence: 0,
            outcomes: vec![Outcomes::default(); kinds.len()],
        }
    }

    fn plan(&mut self, micros: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((micros, self.sequence, event)));
    }

    /// Simulates `seconds` of arrivals, at the rate of each kind until `low_load_from` and at a quarter of it
    /// afterwards; counts trees that arrive within `counted`.
    pub fn run(&mut self, seconds: u64, low_load_from: u64, counted: std::ops::Range<u64>) {
        for kind in 0..self.kinds.len() {
            self.plan(0, Event::Arrives(kind));
        }
        while let Some(Reverse((micros, _, event))) = self.heap.pop() {
            match event {
                Event::Arrives(kind) => {
                    if micros >= seconds * 1_000_000 {
                        continue;
                    }
                    let is_low_load = micros >= low_load_from * 1_000_000;
                    let rate = self.kinds[kind].per_second * if is_low_load { 0.25 } else { 1.0 };
                    let gap = self.random.random_range(0.0..2.0) * 1e6 / rate;
                    self.plan(micros + gap as u64 + 1, Event::Arrives(kind));
                    let is_counted = counted.contains(&(micros / 1_000_000));
                    self.begin(micros, kind, is_counted);
                }
                Event::Calls(tree) => self.call(micros, tree),
                Event::Ends(tree, endpoint) => {
                    self.start(micros, endpoint);
                    self.call(micros, tree);
                }
                Event::GivesUp(tree, endpoint, ticket) => {
                    if self.waiting.remove(&(endpoint, ticket)).is_some() {
                        self.fail(micros, tree);
                    }
                }
            }
        }
    }

    fn begin(&mut self, micros: u64, kind: usize, is_counted: bool) {
        self.outcomes[kind].requests += u32::from(is_counted);
        let daemon = self.random.random_range(0..DAEMONS);
        let refused =
            self.entries[daemon].refused_part(at(micros / 1_000), RequestClass(kind as u64));
        let is_limited = self.policy == Policy::RootRanks && self.kinds[kind].rank > 0;
        if is_limited && self.random.random_bool(refused) {
            return;
        }
        self.next_tree += 1;
        let tree = Tree {
            kind,
            daemon,
            calls_left: self.kinds[kind].calls,
            is_counted,
        };
        self.trees.insert(self.next_tree, tree);
        self.plan(micros + ENTRY_MICROS, Event::Calls(self.next_tree));
    }

    /// Makes the next call of a tree, or ends it.
    fn call(&mut self, micros: u64, id: u64) {
        let tree = self.trees.get_mut(&id).expect("the tree is in progress");
        if tree.calls_left == 0 {
            self.end(micros, id, CapacityFound::Enough);
            return;
        }
        tree.calls_left -= 1;
        let rank = match self.policy {
            Policy::EqualRanks => 1,
            Policy::RootRanks => self.kinds[tree.kind].rank,
        };
        let least = (0..ENDPOINTS).min_by_key(|index| self.queues[*index].busy());
        let endpoint = least.expect("there are endpoints");
        let until = micros + WAIT_MICROS;
        let arrival = Arrival {
            rank,
            tenant: None,
            due: at(until / 1_000),
            until: at(until / 1_000),
        };
        match self.queues[endpoint].arrive(arrival) {
            Admission::Run => self.plan(micros + WORK_MICROS, Event::Ends(id, endpoint)),
            Admission::Wait(position) => self.wait(until, id, endpoint, position.ticket),
            Admission::WaitInsteadOf(position, displaced, _) => {
                self.wait(until, id, endpoint, position.ticket);
                if let Some((other, _)) = self.waiting.remove(&(endpoint, displaced)) {
                    self.fail(micros, other);
                }
            }
            Admission::Refuse => self.fail(micros, id),
        }
    }

    fn wait(&mut self, until: u64, id: u64, endpoint: usize, ticket: Ticket) {
        self.waiting
            .insert((endpoint, ticket), (id, at(until / 1_000)));
        self.plan(until, Event::GivesUp(id, endpoint, ticket));
    }

    /// Runs a waiting call in a slot that became free.
    fn start(&mut self, micros: u64, endpoint: usize) {
        for ticket in self.queues[endpoint].finish(at(micros / 1_000)) {
            if let Some((tree, _)) = self.waiting.remove(&(endpoint, ticket)) {
                self.plan(micros + WORK_MICROS, Event::Ends(tree, endpoint));
            } else {
                self.start(micros, endpoint);
            }
        }
    }

    fn fail(&mut self, micros: u64, id: u64) {
        self.end(micros, id, CapacityFound::NoneDownstream(service(0)));
    }

    fn end(&mut self, micros: u64, id: u64, found: CapacityFound) {
        let tree = self.trees.remove(&id).expect("the tree is in progress");
        if tree.is_counted {
            let outcomes = &mut self.outcomes[tree.kind];
            let is_served = found == CapacityFound::Enough;
            outcomes.served += u32::from(is_served);
            outcomes.failed += u32::from(!is_served);
        }
        let entry = &mut self.entries[tree.daemon];
        entry.record(at(micros / 1_000), RequestClass(tree.kind as u64), found);
    }
}
