//! Fair shares of tenants in the queue of an endpoint.

mod load;
mod orders;

use bramblewheel_decisions::admission::{Arrival, TenantKey};
use bramblewheel_decisions::fair_share::FairOrder;
use bramblewheel_types::Timestamp;
use load::Load;
use orders::{ByDueTime, Decision, Fair, Queue};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;
/// Usual loads of the tenants as parts of the endpoint's capacity; the first is the one that grows. Together 0.85.
const USUAL: [f64; 10] = [0.1, 0.1, 0.1, 0.095, 0.095, 0.09, 0.09, 0.08, 0.06, 0.04];

fn tenant(number: u32) -> TenantKey {
    TenantKey::new(&number.to_be_bytes())
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn arrival(rank: u32, tenant: Option<TenantKey>, due: u64) -> Arrival {
    Arrival {
        rank,
        tenant,
        due: at(due),
        until: at(1_000_000),
    }
}

/// Loads in which the first tenant asks for seven times as much.
fn with_surge(usual: [f64; 10]) -> [f64; 10] {
    let mut parts = usual;
    parts[0] *= 7.0;
    parts
}

/// Largest loss of served share of a tenant other than the growing one.
fn largest_loss<Q: Queue>(seed: u64, usual: [f64; 10], queue: impl Fn() -> Q) -> f64 {
    let surge = Load::play(seed, queue(), &with_surge(usual)).served;
    let usual = Load::play(seed, queue(), &usual).served;
    let others = usual.iter().zip(&surge).skip(1);
    let losses = others.map(|(usual, surge)| usual.share() - surge.share());
    losses.fold(f64::MIN, f64::max)
}

/// Guards against one tenant taking the slots of the others, as it does in the order by due time.
#[test]
fn tenant_at_seven_times_its_load_takes_nothing_of_the_others() {
    // In the second case the slots are too few even before the surge.
    for (seed, scale) in SEEDS.flat_map(|seed| [(seed, 1.0), (seed, 1.25)]) {
        let usual = USUAL.map(|part| part * scale);
        let fair = largest_loss(seed, usual, || Fair::with_slots(100));
        let before = || ByDueTime::like(&Fair::with_slots(100));
        let by_due_time = largest_loss(seed, usual, before);
        println!("seed {seed}, x{scale}: loss {fair:.4}, by due time {by_due_time:.4}");
        assert!(fair <= 0.02, "seed {seed}: {fair}");
        assert!(by_due_time > 0.1, "seed {seed}: {by_due_time}");
    }
}

/// Guards against refusals of small tenants because a large one has filled the queue, and against slots that stay free
/// for tenants without requests (checked after each event of the load).
#[test]
fn tenant_below_its_share_is_never_refused() {
    for seed in SEEDS {
        let served = Load::play(seed, Fair::with_slots(100), &with_surge(USUAL)).served;
        assert!(served[0].refused > 0, "the load fills the queue");
        let refused: u32 = served[1..].iter().map(|served| served.refused).sum();
        assert_eq!(refused, 0, "seed {seed}: {served:?}");
    }
}

/// A lone tenant may use all slots.
#[test]
fn lone_tenant_gets_the_whole_endpoint() {
    let lone = Load::play(1, Fair::with_slots(100), &[1.5]).served;
    let by_due_time = ByDueTime::like(&Fair::with_slots(100));
    let before = Load::play(1, by_due_time, &[1.5]).served;
    assert_eq!(lone[0].served, before[0].served);
}

/// Guards against a change for tables without tenants: every decision and every start must be the same.
#[test]
fn requests_of_no_tenant_or_one_tenant_are_ordered_as_before() {
    for (seed, tenant) in SEEDS.zip([None, Some(tenant(1)), None, Some(tenant(2)), None]) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut fair = Fair::with_slots(random.random_range(1..12));
        let mut before = ByDueTime::like(&fair);
        let mut displaced = 0;
        for request in 0..20_000_usize {
            let now = request as u64;
            match random.random_range(0..8) {
                0..=2 => assert_eq!(fair.finish(at(now)), before.finish(at(now))),
                3 => {
                    let leaving = request.saturating_sub(random.random_range(0..40));
                    assert_eq!(fair.leave(leaving), before.leave(leaving));
                }
                _ => {
                    let arrival = Arrival {
                        due: at(now + random.random_range(0..30)),
                        until: at(now + random.random_range(1..400)),
                        ..arrival(random.random_range(0..4), tenant, 0)
                    };
                    let decision = fair.arrive(request, arrival);
                    assert_eq!(decision, before.arrive(request, arrival), "seed {seed}");
                    displaced += u32::from(matches!(decision, Decision::Displace(_)));
                }
            }
        }
        assert!(displaced > 100, "the queue is full often: {displaced}");
    }
}

/// Guards against two tenants that displace each other's requests in turn, so that none of them runs.
#[test]
fn tenants_with_equally_many_waiting_requests_do_not_displace_each_other() {
    let mut queue = Fair::with_slots(1);
    let (large, small) = (Some(tenant(1)), Some(tenant(2)));
    for request in 0..5 {
        queue.arrive(request, arrival(0, large, 100 + request as u64));
    }
    assert_eq!(queue.arrive(5, arrival(0, large, 1)), Decision::Refuse);
    assert_eq!(
        queue.arrive(6, arrival(0, small, 900)),
        Decision::Displace(4)
    );
    assert_eq!(
        queue.arrive(7, arrival(0, small, 901)),
        Decision::Displace(3)
    );
    assert_eq!(queue.arrive(8, arrival(0, small, 1)), Decision::Refuse);
    assert_eq!(queue.arrive(9, arrival(0, large, 1)), Decision::Refuse);
    assert_eq!(queue.arrive(10, arrival(1, small, 1)), Decision::Refuse);
    // The large tenant has been served once, the small one not at all.
    let started: Vec<usize> = (0..4).flat_map(|_| queue.finish(at(0))).collect();
    assert_eq!(started, [6, 1, 7, 2]);
}

/// Guards against nested calls whose tenant is unknown sharing the slots of a single tenant.
#[test]
fn requests_without_a_tenant_are_served_as_much_as_all_tenants_together() {
    let mut queue = Fair::with_slots(10);
    for request in 0..9 {
        queue.arrive(request, arrival(1, None, 0));
    }
    for request in 9..45 {
        let owner = (request % 2 == 0).then(|| tenant(request as u32 % 3));
        assert_eq!(queue.arrive(request, arrival(0, owner, 0)), Decision::Wait);
    }
    let started: Vec<usize> = (0..24).flat_map(|_| queue.finish(at(0))).collect();
    let unknown = started.iter().filter(|request| *request % 2 == 1).count();
    assert!((11..=13).contains(&unknown), "{started:?}");
}

/// A tenant that was idle must not have saved up a share with which it displaces the others for a while.
#[test]
fn idle_tenant_saves_up_nothing() {
    let mut queue = Fair::with_slots(1);
    let (busy, idle) = (Some(tenant(1)), Some(tenant(2)));
    for request in 0..400 {
        queue.arrive(request, arrival(0, busy, request as u64));
        if request >= 2 {
            queue.finish(at(0));
        }
    }
    for request in 400..402 {
        assert_eq!(
            queue.arrive(request, arrival(0, idle, 1_000)),
            Decision::Wait
        );
    }
    queue.finish(at(0));
    let second = queue.finish(at(0));
    assert!(second[0] < 400, "{second:?}");
}

/// Guards against state that grows with the number of tenants seen, and against eviction of tenants that wait.
#[test]
fn tags_of_at_most_10_000_tenants_are_kept() {
    let mut order = FairOrder::default();
    let (first, second) = (tenant(1_000_000), tenant(1_000_001));
    order.push(0, Some(first), at(1), at(1_000));
    let ahead = order.push(0, Some(first), at(2), at(1_000));
    let next = order.push(0, Some(second), at(3), at(1_000));
    order.start_next(at(0));
    for number in 0..25_000 {
        order.charge(1 + number % 3, Some(tenant(number)));
        assert!(order.flow_count() <= 10_000);
    }
    // The first tenant has been served once, which is still known.
    assert_eq!(order.start_next(at(0)), Some(next.ticket));
    assert_eq!(order.start_next(at(0)), Some(ahead.ticket));
}

/// Guards against lost requests when more tenants wait than have entries.
#[test]
fn requests_of_more_than_10_000_waiting_tenants_all_start() {
    let mut order = FairOrder::default();
    let positions = (0..12_000).map(|number| order.push(0, Some(tenant(number)), at(0), at(10)));
    let positions: Vec<_> = positions.collect();
    assert!(order.remove(&positions[11_999]));
    assert!(order.remove(&positions[5]));
    let started = std::iter::from_fn(|| order.start_next(at(0))).count();
    assert_eq!(started, 11_998);
    assert!(order.is_empty());
    assert!(!order.remove(&positions[7]));
}
