//! Early refusal in an overload on virtual time: hundreds of daemons and a service with a load of nearly twice its
//! capacity.

use bramblewheel_decisions::early_refusal::{CapacityChange, CapacityFound, EarlyRefusal};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_types::{ServiceName, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const DAEMONS: usize = 280;
const ENDPOINTS: usize = 60;
const SLOTS: u32 = 10;
const WORK_MILLIS: u64 = 300;
/// Requests per second that the endpoints can serve.
const CAPACITY: f64 = 2_000.0;
const CLASS: RequestClass = RequestClass(7);
const OTHER_CLASS: RequestClass = RequestClass(8);
/// Most endpoints that a request is offered to.
const MAX_SENDS: u32 = 3;
/// The same if most endpoints refuse.
const MAX_SENDS_WHEN_WIDESPREAD: u32 = 2;
const OVERLOAD: f64 = 3_600.0;
const NORMAL_LOAD: f64 = 1_200.0;
const OVERLOAD_MILLIS: std::ops::Range<u64> = 2_000..10_000;
const SEEDS: std::ops::Range<u64> = 0..5;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requested: u32,
    served: u32,
    refused_early: u32,
    refused_at_endpoints: u32,
    sends: u32,
}

struct Simulation {
    random: Pcg64Mcg,
    daemons: Vec<EarlyRefusal>,
    running: Vec<u32>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    has_early_refusal: bool,
}

impl Simulation {
    fn new(seed: u64, has_early_refusal: bool) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            daemons: (0..DAEMONS).map(|_| EarlyRefusal::default()).collect(),
            running: vec![0; ENDPOINTS],
            ends: BinaryHeap::new(),
            has_early_refusal,
        }
    }

    fn request(&mut self, now: Timestamp, millis: u64, counts: &mut Counts) {
        let daemon = self.random.random_range(0..DAEMONS);
        counts.requested += 1;
        let part = self.daemons[daemon].refused_part(now, CLASS);
        if self.has_early_refusal && self.random.random_bool(part) {
            counts.refused_early += 1;
            return;
        }
        for send in 1..=MAX_SENDS {
            counts.sends += 1;
            let endpoint = self.less_loaded_of_two();
            let has_free_slot = self.running[endpoint] < SLOTS;
            if has_free_slot {
                self.daemons[daemon].record(now, CLASS, CapacityFound::Enough);
                self.running[endpoint] += 1;
                let work = self.random.random_range(0..2 * WORK_MILLIS);
                self.ends.push(Reverse((millis + work, endpoint)));
                counts.served += 1;
                return;
            }
            let is_widespread = self.daemons[daemon].is_widespread(now, CLASS);
            if self.has_early_refusal && is_widespread && send >= MAX_SENDS_WHEN_WIDESPREAD {
                break;
            }
        }
        self.daemons[daemon].record(now, CLASS, CapacityFound::NoneAtService);
        counts.refused_at_endpoints += 1;
    }

    fn less_loaded_of_two(&mut self) -> usize {
        let mut draw = || self.random.random_range(0..ENDPOINTS);
        let (one, other) = (draw(), draw());
        if self.running[one] <= self.running[other] {
            one
        } else {
            other
        }
    }

    /// Sends requests at the rate of the current time; counts those within `counted`.
    fn run(&mut self, from: u64, to: u64, counted: std::ops::Range<u64>) -> Counts {
        let mut counts = Counts::default();
        for millis in from..to {
            while let Some(&Reverse((end, endpoint))) = self.ends.peek() {
                if end > millis {
                    break;
                }
                self.ends.pop();
                self.running[endpoint] -= 1;
            }
            let rate = if OVERLOAD_MILLIS.contains(&millis) {
                OVERLOAD
            } else {
                NORMAL_LOAD
            };
            let mut requests = rate / 1_000.0 + self.random.random_range(-0.5..0.5);
            let mut uncounted = Counts::default();
            while requests > self.random.random_range(0.0..1.0) {
                requests -= 1.0;
                let is_counted = counted.contains(&millis);
                let target = if is_counted {
                    &mut counts
                } else {
                    &mut uncounted
                };
                self.request(Timestamp::from_millis(millis), millis, target);
            }
        }
        counts
    }
}

/// Endpoints stay as busy as without early refusal, and refuse few requests themselves.
#[test]
fn callers_daemons_refuse_most_of_an_overload() {
    for seed in SEEDS {
        let counted = 4_000..OVERLOAD_MILLIS.end;
        let without = Simulation::new(seed, false).run(0, OVERLOAD_MILLIS.end, counted.clone());
        let with = Simulation::new(seed, true).run(0, OVERLOAD_MILLIS.end, counted);
        println!("seed {seed}: without {without:?}, with {with:?}");
        let seconds = 6.0;
        assert!(f64::from(with.served) > 0.9 * CAPACITY * seconds);
        assert!(f64::from(with.served) > 0.96 * f64::from(without.served));
        // Sends that endpoints refused.
        let refused_sends = |counts: &Counts| counts.sends - counts.served;
        assert!(refused_sends(&with) * 2 < refused_sends(&without));
        assert!(with.refused_early > with.refused_at_endpoints);
    }
}

/// From one second after the end of the overload almost no request is refused.
#[test]
fn refusals_end_soon_after_the_overload() {
    for seed in SEEDS {
        let end = OVERLOAD_MILLIS.end;
        let after = Simulation::new(seed, true).run(0, end + 3_000, end + 1_000..end + 3_000);
        println!("seed {seed}: {after:?}");
        let refused = after.refused_early + after.refused_at_endpoints;
        assert!(refused * 50 < after.requested, "{after:?}");
    }
}

fn capacity_found(found_no_capacity: bool) -> CapacityFound {
    if found_no_capacity {
        CapacityFound::NoneAtService
    } else {
        CapacityFound::Enough
    }
}

/// The refused part falls on its own if no request is sent, and is always below 1.
#[test]
fn refused_part_falls_while_nothing_is_sent() {
    let mut early = EarlyRefusal::default();
    for step in 0..100 {
        early.record(
            Timestamp::from_millis(step * 50),
            CLASS,
            CapacityFound::NoneAtService,
        );
    }
    let at = |millis: u64| Timestamp::from_millis(4_950 + millis);
    assert!(early.refused_part(at(0), CLASS) > 0.8);
    assert!(early.refused_part(at(0), CLASS) <= 0.9);
    assert_eq!(early.refused_part(at(2_000), CLASS), 0.0);
    assert_eq!(early.refused_part(at(0), OTHER_CLASS), 0.0);
}

/// All requests are sent if few endpoints refuse and others have free slots.
#[test]
fn few_full_endpoints_cause_no_early_refusal() {
    let mut early = EarlyRefusal::default();
    for step in 0..1_000 {
        let found_no_capacity = step % 8 == 0;
        let now = Timestamp::from_millis(step * 20);
        early.record(now, CLASS, capacity_found(found_no_capacity));
        assert!(early.refused_part(now, CLASS) < 0.05);
    }
}

/// One change is reported at the start of the shortage and one at its end.
#[test]
fn each_change_of_capacity_is_reported_once() {
    let mut early = EarlyRefusal::default();
    let mut changes = Vec::new();
    for step in 0..200 {
        let found_no_capacity = step < 100;
        let now = Timestamp::from_millis(step * 50);
        changes.extend(early.record(now, CLASS, capacity_found(found_no_capacity)));
    }
    assert_eq!(changes, [CapacityChange::Scarce, CapacityChange::Back]);
}

/// If a tenth of the requests finds no capacity at the service itself, none is refused early; if it is found missing
/// downstream, after work has been done, some are.
#[test]
fn missing_capacity_downstream_counts_more_than_at_the_service() {
    let part_after = |found: &CapacityFound| {
        let mut early = EarlyRefusal::default();
        let mut largest: f64 = 0.0;
        for step in 0..1_000 {
            let now = Timestamp::from_millis(step * 20);
            let outcome = if step % 10 == 0 {
                found.clone()
            } else {
                CapacityFound::Enough
            };
            early.record(now, CLASS, outcome);
            largest = largest.max(early.refused_part(now, CLASS));
        }
        largest
    };
    let deep = ServiceName::new("deep").expect("valid name");
    assert_eq!(part_after(&CapacityFound::NoneAtService), 0.0);
    assert!(part_after(&CapacityFound::NoneDownstream(deep)) > 0.01);
}

/// Classes: trees of rank 0 and 2 that call `deep`, requests of rank 1 that are sent to `deep` directly, and requests
/// of rank 2 that do not need it.
const URGENT_TREES: RequestClass = RequestClass(1);
const DIRECT: RequestClass = RequestClass(2);
const OTHER_TREES: RequestClass = RequestClass(3);
const ELSEWHERE: RequestClass = RequestClass(4);

/// Part refused for more important requests, by class, after a second in which urgent trees fail for lack of capacity.
fn refused_parts_for_urgent_trees() -> [f64; 4] {
    let mut early = EarlyRefusal::default();
    let name = |service: &str| ServiceName::new(service).expect("valid name");
    let described = [
        (URGENT_TREES, 0, "top"),
        (DIRECT, 1, "deep"),
        (OTHER_TREES, 2, "other"),
        (ELSEWHERE, 2, "elsewhere"),
    ];
    for step in 0..50 {
        let now = Timestamp::from_millis(step * 20);
        let downstream = CapacityFound::NoneDownstream(name("deep"));
        early.record(now, URGENT_TREES, downstream.clone());
        // One request of each of the other classes found no capacity.
        let is_first = step == 0;
        early.record(now, DIRECT, capacity_found(is_first));
        let other = if is_first {
            downstream
        } else {
            CapacityFound::Enough
        };
        early.record(now, OTHER_TREES, other);
        early.record(now, ELSEWHERE, capacity_found(is_first));
        for (class, rank, target) in described {
            early.set_rank_and_target(class, rank, &name(target));
        }
    }
    let now = Timestamp::from_millis(1_000);
    [URGENT_TREES, DIRECT, OTHER_TREES, ELSEWHERE].map(|class| early.refused_for_others(now, class))
}

/// Only less important requests that need the same service are refused.
#[test]
fn less_important_requests_are_refused_when_urgent_trees_find_no_capacity() {
    let [urgent, direct, trees, elsewhere] = refused_parts_for_urgent_trees();
    assert_eq!((urgent, elsewhere), (0.0, 0.0));
    assert!(direct > 0.8 && trees > 0.8, "{direct} {trees}");
}
