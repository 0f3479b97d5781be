//! The admission queue of an endpoint.

use bramblewheel_decisions::admission::{Admission, AdmissionQueue, Arrival};
use bramblewheel_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

fn arrival(rank: u32, due: u64, until: Timestamp) -> Arrival {
    Arrival {
        rank,
        tenant: None,
        due: Timestamp::from_millis(due),
        until,
    }
}

#[test]
fn requests_of_equal_rank_run_in_order_of_due_time() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(1);
    let until = Timestamp::from_millis(1_000);
    assert_eq!(queue.arrive(arrival(1, 100, until)), Admission::Run);
    let mut tickets = Vec::new();
    for (rank, due) in [(1, 300), (1, 120), (0, 900)] {
        match queue.arrive(arrival(rank, due, until)) {
            Admission::Wait(position) => tickets.push(position.ticket),
            other => panic!("expected the request to wait, got {other:?}"),
        }
    }
    for next in [tickets[2], tickets[1], tickets[0]] {
        assert_eq!(queue.finish(Timestamp::ZERO), vec![next]);
    }
}

#[test]
fn no_request_is_refused_while_a_less_important_one_waits() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..50 {
        let mut queue = AdmissionQueue::default();
        queue.set_slots(4);
        let mut waiting = BTreeMap::new();
        let until = Timestamp::from_millis(1_000);
        for _ in 0..60 {
            let rank = random.random_range(0..4_u32);
            match queue.arrive(arrival(rank, 0, until)) {
                Admission::Run => {}
                Admission::Wait(position) => {
                    waiting.insert(position.ticket, rank);
                }
                Admission::WaitInsteadOf(position, displaced, _) => {
                    let least = waiting.values().max().copied();
                    let displaced_rank = waiting.remove(&displaced);
                    assert_eq!(displaced_rank, least);
                    assert!(displaced_rank > Some(rank));
                    waiting.insert(position.ticket, rank);
                }
                Admission::Refuse => {
                    assert!(waiting.values().all(|other| *other <= rank));
                }
            }
        }
        let next = queue.finish(Timestamp::ZERO);
        let first = waiting.values().min();
        assert_eq!(next.first().map(|ticket| &waiting[ticket]), first);
    }
}

#[test]
fn request_whose_waiting_time_is_over_does_not_run() {
    let mut queue = AdmissionQueue::default();
    queue.set_slots(1);
    let soon = Timestamp::from_millis(10);
    assert_eq!(queue.arrive(arrival(1, 0, soon)), Admission::Run);
    let Admission::Wait(late) = queue.arrive(arrival(0, 0, soon)) else {
        panic!("expected the request to wait");
    };
    let later = Timestamp::from_millis(90);
    let Admission::Wait(early) = queue.arrive(arrival(1, 0, later)) else {
        panic!("expected the request to wait");
    };
    assert_eq!(queue.finish(Timestamp::from_millis(50)), vec![early.ticket]);
    assert!(!queue.leave(&late));
}
