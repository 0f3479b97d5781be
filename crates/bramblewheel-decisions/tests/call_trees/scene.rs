//! Trees whose calls meet in a narrow service, on virtual time.

use crate::{at, service};
use bramblewheel_decisions::admission::{Admission, AdmissionQueue, Arrival, Ticket};
use bramblewheel_decisions::early_refusal::{CapacityFound, EarlyRefusal};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// How calls are ordered at the narrow service, and whether trees are refused where they enter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// All calls are alike, and trees are begun whatever comes of them.
    CallsAlone,
    /// Calls have the rank of their tree; trees that would fail downstream are refused early.
    WholeTrees,
}

/// A kind of trees: some work, then calls to the narrow service one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub rank: u32,
    pub calls: u32,
    pub per_second: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    asked: u32,
    pub served: u32,
    pub failed: u32,
}

impl Outcomes {
    pub fn served_part(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked.max(1))
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

/// What happens next, by its time in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
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
/// Calls that the narrow service can run in a second, with the slots that are used.
pub const CAPACITY: f64 = (ENDPOINTS * 18) as f64 * 1e6 / WORK_MICROS as f64;

pub struct Scene {
    policy: Policy,
    kinds: Vec<Kind>,
    random: Pcg64Mcg,
    entries: Vec<EarlyRefusal>,
    queues: Vec<AdmissionQueue>,
    waiting: HashMap<(usize, Ticket), (u64, Timestamp)>,
    trees: HashMap<u64, Tree>,
    next_tree: u64,
    heap: BinaryHeap<Reverse<(u64, u64, Next)>>,
    sequence: u64,
    pub outcomes: Vec<Outcomes>,
}

impl Scene {
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

    fn plan(&mut self, micros: u64, next: Next) {
        self.sequence += 1;
        self.heap.push(Reverse((micros, self.sequence, next)));
    }

    /// Plays `seconds` of arrivals, at `factor` of each kind's rate until `calm_from` and at a quarter
    /// of that afterwards; counts trees that arrive within `counted`.
    pub fn run(&mut self, seconds: u64, calm_from: u64, counted: std::ops::Range<u64>) {
        for kind in 0..self.kinds.len() {
            self.plan(0, Next::Arrives(kind));
        }
        while let Some(Reverse((micros, _, next))) = self.heap.pop() {
            match next {
                Next::Arrives(kind) => {
                    if micros >= seconds * 1_000_000 {
                        continue;
                    }
                    let is_calm = micros >= calm_from * 1_000_000;
                    let rate = self.kinds[kind].per_second * if is_calm { 0.25 } else { 1.0 };
                    let gap = self.random.random_range(0.0..2.0) * 1e6 / rate;
                    self.plan(micros + gap as u64 + 1, Next::Arrives(kind));
                    let is_counted = counted.contains(&(micros / 1_000_000));
                    self.begin(micros, kind, is_counted);
                }
                Next::Calls(tree) => self.call(micros, tree),
                Next::Ends(tree, endpoint) => {
                    self.start(micros, endpoint);
                    self.call(micros, tree);
                }
                Next::GivesUp(tree, endpoint, ticket) => {
                    if self.waiting.remove(&(endpoint, ticket)).is_some() {
                        self.fail(micros, tree);
                    }
                }
            }
        }
    }

    fn begin(&mut self, micros: u64, kind: usize, is_counted: bool) {
        self.outcomes[kind].asked += u32::from(is_counted);
        let daemon = self.random.random_range(0..DAEMONS);
        let refused =
            self.entries[daemon].refused_part(at(micros / 1_000), RequestClass(kind as u64));
        let is_limited = self.policy == Policy::WholeTrees && self.kinds[kind].rank > 0;
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
        self.plan(micros + ENTRY_MICROS, Next::Calls(self.next_tree));
    }

    /// The tree makes its next call, or is done.
    fn call(&mut self, micros: u64, id: u64) {
        let tree = self.trees.get_mut(&id).expect("in progress");
        if tree.calls_left == 0 {
            self.end(micros, id, CapacityFound::Enough);
            return;
        }
        tree.calls_left -= 1;
        let rank = match self.policy {
            Policy::CallsAlone => 1,
            Policy::WholeTrees => self.kinds[tree.kind].rank,
        };
        let least = (0..ENDPOINTS).min_by_key(|index| self.queues[*index].busy());
        let endpoint = least.expect("there are endpoints");
        let until = micros + WAIT_MICROS;
        let arrival = Arrival {
            rank,
            due: at(until / 1_000),
            until: at(until / 1_000),
        };
        match self.queues[endpoint].arrive(arrival) {
            Admission::Run => self.plan(micros + WORK_MICROS, Next::Ends(id, endpoint)),
            Admission::Wait(position) => self.wait(until, id, endpoint, position.ticket),
            Admission::WaitInsteadOf(position, displaced) => {
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
        self.plan(until, Next::GivesUp(id, endpoint, ticket));
    }

    /// A slot came free.
    fn start(&mut self, micros: u64, endpoint: usize) {
        for ticket in self.queues[endpoint].finish(at(micros / 1_000)) {
            if let Some((tree, _)) = self.waiting.remove(&(endpoint, ticket)) {
                self.plan(micros + WORK_MICROS, Next::Ends(tree, endpoint));
            } else {
                self.start(micros, endpoint);
            }
        }
    }

    fn fail(&mut self, micros: u64, id: u64) {
        self.end(micros, id, CapacityFound::NoneDownstream(service(0)));
    }

    fn end(&mut self, micros: u64, id: u64, found: CapacityFound) {
        let tree = self.trees.remove(&id).expect("in progress");
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
