//! Refusals at the callers' daemons in an overload, on virtual time: hundreds of daemons and a service
//! that is offered nearly twice what it can do.

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
/// What the endpoints can do in a second.
const CAPACITY: f64 = 2_000.0;
const CLASS: RequestClass = RequestClass(7);
const OTHER_CLASS: RequestClass = RequestClass(8);
/// Endpoints that a request is offered to.
const MOST_SENDS: u32 = 3;
/// The same where most endpoints refuse.
const MOST_SENDS_WHEN_WIDESPREAD: u32 = 2;
const OVERLOAD: f64 = 3_600.0;
const CALM: f64 = 1_200.0;
const OVERLOAD_MILLIS: std::ops::Range<u64> = 2_000..10_000;
const SEEDS: std::ops::Range<u64> = 0..5;

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: u32,
    served: u32,
    refused_early: u32,
    refused_there: u32,
    sends: u32,
}

struct Scene {
    random: Pcg64Mcg,
    daemons: Vec<EarlyRefusal>,
    running: Vec<u32>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    is_early: bool,
}

impl Scene {
    fn new(seed: u64, is_early: bool) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            daemons: (0..DAEMONS).map(|_| EarlyRefusal::default()).collect(),
            running: vec![0; ENDPOINTS],
            ends: BinaryHeap::new(),
            is_early,
        }
    }

    fn request(&mut self, now: Timestamp, millis: u64, counts: &mut Counts) {
        let daemon = self.random.random_range(0..DAEMONS);
        counts.asked += 1;
        let part = self.daemons[daemon].refused_part(now, CLASS);
        if self.is_early && self.random.random_bool(part) {
            counts.refused_early += 1;
            return;
        }
        for send in 1..=MOST_SENDS {
            counts.sends += 1;
            let endpoint = self.less_loaded_of_two();
            let has_room = self.running[endpoint] < SLOTS;
            if has_room {
                self.daemons[daemon].record(now, CLASS, CapacityFound::Enough);
                self.running[endpoint] += 1;
                let work = self.random.random_range(0..2 * WORK_MILLIS);
                self.ends.push(Reverse((millis + work, endpoint)));
                counts.served += 1;
                return;
            }
            let is_widespread = self.daemons[daemon].is_widespread(now, CLASS);
            if self.is_early && is_widespread && send >= MOST_SENDS_WHEN_WIDESPREAD {
                break;
            }
        }
        self.daemons[daemon].record(now, CLASS, CapacityFound::NoneAtService);
        counts.refused_there += 1;
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

    /// Requests at the rate that belongs to the time; counts those within `counted`.
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
                CALM
            };
            let mut requests = rate / 1_000.0 + self.random.random_range(-0.5..0.5);
            let mut uncounted = Counts::default();
            while requests > self.random.random_range(0.0..1.0) {
                requests -= 1.0;
                let is_counted = counted.contains(&millis);
                let here = if is_counted {
                    &mut counts
                } else {
                    &mut uncounted
                };
                self.request(Timestamp::from_millis(millis), millis, here);
            }
        }
        counts
    }
}

/// Endpoints stay as busy as without it, and few refusals are worked out there.
#[test]
fn an_overload_is_refused_by_the_callers_daemons() {
    for seed in SEEDS {
        let counted = 4_000..OVERLOAD_MILLIS.end;
        let usual = Scene::new(seed, false).run(0, OVERLOAD_MILLIS.end, counted.clone());
        let early = Scene::new(seed, true).run(0, OVERLOAD_MILLIS.end, counted);
        println!("seed {seed}: without {usual:?}, with {early:?}");
        let seconds = 6.0;
        assert!(f64::from(early.served) > 0.9 * CAPACITY * seconds);
        assert!(f64::from(early.served) > 0.96 * f64::from(usual.served));
        // Sends that were refused.
        let refused_sends = |counts: &Counts| counts.sends - counts.served;
        assert!(refused_sends(&early) * 2 < refused_sends(&usual));
        assert!(early.refused_early > early.refused_there);
    }
}

/// A second after its end nobody is refused any more.
#[test]
fn refusals_end_with_the_overload() {
    for seed in SEEDS {
        let end = OVERLOAD_MILLIS.end;
        let after = Scene::new(seed, true).run(0, end + 3_000, end + 1_000..end + 3_000);
        println!("seed {seed}: {after:?}");
        let refused = after.refused_early + after.refused_there;
        assert!(refused * 50 < after.asked, "{after:?}");
    }
}

fn none_there_if(found_no_room: bool) -> CapacityFound {
    if found_no_room {
        CapacityFound::NoneAtService
    } else {
        CapacityFound::Enough
    }
}

/// Where nothing is sent, the refused part falls by itself; it never takes all requests.
#[test]
fn the_refused_part_falls_while_nothing_is_sent() {
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

/// Where a few endpoints refuse and others have free slots, all requests are sent.
#[test]
fn refusals_of_a_few_endpoints_refuse_nothing_early() {
    let mut early = EarlyRefusal::default();
    for step in 0..1_000 {
        let found_no_room = step % 8 == 0;
        let now = Timestamp::from_millis(step * 20);
        early.record(now, CLASS, none_there_if(found_no_room));
        assert!(early.refused_part(now, CLASS) < 0.05);
    }
}

/// What is believed changes once at the beginning and once at the end.
#[test]
fn changes_of_what_is_believed_are_told() {
    let mut early = EarlyRefusal::default();
    let mut changes = Vec::new();
    for step in 0..200 {
        let found_no_room = step < 100;
        let now = Timestamp::from_millis(step * 50);
        changes.extend(early.record(now, CLASS, none_there_if(found_no_room)));
    }
    assert_eq!(changes, [CapacityChange::Scarce, CapacityChange::Back]);
}

/// A tenth of the requests without capacity changes nothing where nothing has run for them, and refuses
/// some early where each of them was begun.
#[test]
fn work_that_is_lost_below_counts_more_than_refusals() {
    let part_after = |found: &CapacityFound| {
        let mut early = EarlyRefusal::default();
        let mut largest: f64 = 0.0;
        for step in 0..1_000 {
            let now = Timestamp::from_millis(step * 20);
            let end = if step % 10 == 0 {
                found.clone()
            } else {
                CapacityFound::Enough
            };
            early.record(now, CLASS, end);
            largest = largest.max(early.refused_part(now, CLASS));
        }
        largest
    };
    let deep = ServiceName::new("deep").expect("a name");
    assert_eq!(part_after(&CapacityFound::NoneAtService), 0.0);
    assert!(part_after(&CapacityFound::NoneDownstream(deep)) > 0.01);
}

/// Routes by number: trees of rank 0 and 2 that end at `deep`, requests of rank 1 that go there
/// themselves, and some of rank 2 that don't need it.
const URGENT_TREES: RequestClass = RequestClass(1);
const DIRECT: RequestClass = RequestClass(2);
const OTHER_TREES: RequestClass = RequestClass(3);
const ELSEWHERE: RequestClass = RequestClass(4);

/// What is refused for others on each route after a second in which urgent trees fail for want of capacity.
fn refused_for_urgent() -> [f64; 4] {
    let mut early = EarlyRefusal::default();
    let name = |service: &str| ServiceName::new(service).expect("a name");
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
        // Single ones of the others met the shortage once.
        let met = step == 0;
        early.record(now, DIRECT, none_there_if(met));
        let other = if met {
            downstream
        } else {
            CapacityFound::Enough
        };
        early.record(now, OTHER_TREES, other);
        early.record(now, ELSEWHERE, none_there_if(met));
        for (class, rank, target) in described {
            early.set_rank_and_target(class, rank, &name(target));
        }
    }
    let now = Timestamp::from_millis(1_000);
    [URGENT_TREES, DIRECT, OTHER_TREES, ELSEWHERE].map(|class| early.refused_for_others(now, class))
}

/// Less urgent requests that need the same service make room, and no others.
#[test]
fn what_is_less_urgent_makes_room_where_urgent_trees_find_none() {
    let [urgent, direct, trees, elsewhere] = refused_for_urgent();
    assert_eq!((urgent, elsewhere), (0.0, 0.0));
    assert!(direct > 0.8 && trees > 0.8, "{direct} {trees}");
}
