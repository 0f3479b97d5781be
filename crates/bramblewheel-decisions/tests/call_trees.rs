//! Which tree a call belongs to, and what comes of trees that share a narrow service, on virtual time.

use bramblewheel_decisions::admission::{Admission, AdmissionQueue, Arrival, Ticket};
use bramblewheel_decisions::early_refusal::{CapacityFound, EarlyRefusal};
use bramblewheel_decisions::nested_routes::{MachineShares, NestedRoutes};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::running_requests::{RunningRequest, RunningRequests};
use bramblewheel_types::{ServiceName, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn of_rank(root_rank: u32) -> RunningRequest {
    RunningRequest {
        root_rank,
        class: RequestClass(1),
        retried_share: 0.0,
    }
}

#[test]
fn a_call_belongs_to_the_request_whose_time_ends_with_its_own() {
    let mut running = RunningRequests::default();
    running.begin(at(800), of_rank(0));
    running.begin(at(2_000), of_rank(2));
    running.begin(at(2_010), of_rank(2));
    assert_eq!(running.root_rank_of(at(798)), Some(0));
    assert_eq!(running.root_rank_of(at(1_999)), Some(2));
}

#[test]
fn a_call_with_less_time_belongs_to_the_most_frequent_of_those_with_more() {
    let mut running = RunningRequests::default();
    running.begin(at(800), of_rank(0));
    let (one, other) = (
        running.begin(at(2_000), of_rank(2)),
        running.begin(at(2_010), of_rank(2)),
    );
    running.begin(at(3_000), of_rank(1));
    assert_eq!(running.root_rank_of(at(1_500)), Some(2));
    assert_eq!(running.root_rank_of(at(2_500)), Some(1));
    assert_eq!(running.root_rank_of(at(5_000)), None);
    running.end(one);
    running.end(other);
    assert_eq!(running.root_rank_of(at(1_500)), Some(1));
}

/// Machines of some services, each with the same part.
struct EvenShares(usize);

impl MachineShares for EvenShares {
    fn share_of(&self, services: &[&ServiceName]) -> f64 {
        services.len() as f64 / self.0 as f64
    }
}

fn service(number: usize) -> ServiceName {
    ServiceName::new(&format!("service-{number}")).expect("a name")
}

const CLASS: RequestClass = RequestClass(7);
const OTHER_CLASS: RequestClass = RequestClass(8);

#[test]
fn a_route_that_one_service_calls_is_nested() {
    let mut routes = NestedRoutes::default();
    let shares = EvenShares(4);
    for _ in 0..4 {
        routes.record(CLASS, &service(1));
        assert!(!routes.is_likely_nested(CLASS, &shares), "too few to tell");
    }
    for number in 0..1_000 {
        // Now and then somebody sends one from another machine.
        let caller = if number % 200 == 199 { 3 } else { 1 };
        routes.record(CLASS, &service(caller));
    }
    assert!(routes.is_likely_nested(CLASS, &shares));
    assert!(!routes.is_likely_nested(OTHER_CLASS, &shares), "never seen");
    // Callers from outside join.
    for number in 0..400 {
        routes.record(CLASS, &service(number % 4));
    }
    assert!(!routes.is_likely_nested(CLASS, &shares));
}

#[test]
fn a_route_of_callers_at_every_machine_is_not_nested() {
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut routes = NestedRoutes::default();
        let services = random.random_range(2..7);
        for _ in 0..1_000 {
            let caller = random.random_range(0..services);
            routes.record(CLASS, &service(caller));
            assert!(!routes.is_likely_nested(CLASS, &EvenShares(services)));
        }
    }
}

/// Machines of four services, the last of which has few.
struct UnevenShares;

const UNEVEN: [f64; 4] = [0.48, 0.36, 0.11, 0.05];

impl MachineShares for UnevenShares {
    fn share_of(&self, services: &[&ServiceName]) -> f64 {
        let part_of = |number: usize| {
            let is_named = services.contains(&&service(number));
            if is_named { UNEVEN[number] } else { 0.0 }
        };
        (0..UNEVEN.len()).map(part_of).sum()
    }
}

/// A service with few machines sends so little that it looks like a stray caller now and then.
#[test]
fn a_service_with_few_machines_makes_no_route_nested() {
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut routes = NestedRoutes::default();
        for _ in 0..2_000 {
            let drawn: f64 = random.random_range(0.0..1.0);
            let mut sum = 0.0;
            let caller = UNEVEN.iter().position(|part| {
                sum += part;
                drawn < sum
            });
            routes.record(CLASS, &service(caller.unwrap_or(0)));
            assert!(
                !routes.is_likely_nested(CLASS, &UnevenShares),
                "seed {seed}"
            );
        }
        for _ in 0..400 {
            routes.record(OTHER_CLASS, &service(0));
        }
        assert!(routes.is_likely_nested(OTHER_CLASS, &UnevenShares));
    }
}

/// How calls are ordered at the narrow service, and whether trees are refused where they enter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// All calls are alike, and trees are begun whatever comes of them.
    CallsAlone,
    /// Calls have the rank of their tree; trees that would fail below are refused early.
    WholeTrees,
}

/// A kind of trees: some work, then calls to the narrow service one after the other.
#[derive(Clone, Copy, Debug)]
struct Kind {
    rank: u32,
    calls: u32,
    per_second: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    asked: u32,
    served: u32,
    failed: u32,
}

impl Outcomes {
    fn served_part(&self) -> f64 {
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
const CAPACITY: f64 = (ENDPOINTS * 18) as f64 * 1e6 / WORK_MICROS as f64;

struct Scene {
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
    outcomes: Vec<Outcomes>,
}

impl Scene {
    fn new(seed: u64, policy: Policy, kinds: &[Kind]) -> Self {
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
    fn run(&mut self, seconds: u64, calm_from: u64, counted: std::ops::Range<u64>) {
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
            Admission::Wait(place) => self.wait(until, id, endpoint, place.ticket),
            Admission::WaitInsteadOf(place, displaced) => {
                self.wait(until, id, endpoint, place.ticket);
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

const SEEDS: std::ops::Range<u64> = 0..12;

/// Two kinds of trees whose calls meet in one service that has room for about half of them; the more
/// urgent ones alone need less than it has.
fn drawn_kinds(seed: u64) -> Vec<Kind> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let urgent_calls = random.random_range(2..9);
    let other_calls = random.random_range(2..9);
    let urgent_part = random.random_range(0.3..0.6);
    let other_part = random.random_range(1.0..1.6);
    let per_second = |part: f64, calls: u32| CAPACITY * part / f64::from(calls);
    vec![
        Kind {
            rank: 0,
            calls: urgent_calls,
            per_second: per_second(urgent_part, urgent_calls),
        },
        Kind {
            rank: 2,
            calls: other_calls,
            per_second: per_second(other_part, other_calls),
        },
    ]
}

fn played(seed: u64, policy: Policy) -> Vec<Outcomes> {
    let mut scene = Scene::new(seed, policy, &drawn_kinds(seed));
    scene.run(10, 10, 2..10);
    scene.outcomes
}

#[test]
fn urgent_trees_are_served_where_less_urgent_ones_meet_them_in_a_narrow_service() {
    for seed in SEEDS {
        let alone = played(seed, Policy::CallsAlone);
        let whole = played(seed, Policy::WholeTrees);
        println!("seed {seed}: calls alone {alone:?}, whole trees {whole:?}");
        assert!(
            alone[0].served_part() < 0.9,
            "the scene must be one of shortage"
        );
        assert!(whole[0].served_part() > 0.98, "{whole:?}");
    }
}

#[test]
fn trees_that_can_not_end_are_mostly_not_begun() {
    for seed in SEEDS {
        let alone = played(seed, Policy::CallsAlone);
        let whole = played(seed, Policy::WholeTrees);
        assert!(
            whole[1].failed * 2 < alone[1].failed,
            "{alone:?}, {whole:?}"
        );
        assert!(whole[1].served > 0, "{whole:?}");
    }
}

#[test]
fn trees_are_served_again_soon_after_the_load_has_fallen() {
    for seed in SEEDS {
        let mut scene = Scene::new(seed, Policy::WholeTrees, &drawn_kinds(seed));
        scene.run(14, 8, 10..14);
        for outcomes in &scene.outcomes {
            assert!(outcomes.served_part() > 0.97, "seed {seed}: {outcomes:?}");
        }
    }
}
