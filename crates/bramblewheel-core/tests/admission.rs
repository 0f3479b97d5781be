//! Tests of the admission queue, the concurrency limit and the admission level.

mod support;

use bramblewheel_core::action::Action;
use bramblewheel_core::cohort::shedding_position;
use bramblewheel_core::event::{
    AdmissionLevel, AttemptResult, ClaimAnswer, DispatchResult, EndpointReport, Event, Feedback,
    StoredAnswer,
};
use bramblewheel_core::inbound::level::LevelController;
use bramblewheel_core::inbound::limit::ConcurrencyLimit;
use bramblewheel_core::inbound::queue::{AdmissionQueue, Importance, Offer, ServiceOrder};
use bramblewheel_types::{AttemptId, Criticality, NotRunReason, Outcome, RequestId};
use std::collections::BTreeMap;
use std::time::Duration;
use support::{
    Daemon, admission, at, attempt_answer, bundle, call_answer, context, dispatches, for_seeds,
    inbound, operation, reason, root_call, sent, sub_call, succeeded,
};

#[test]
fn queue_never_sheds_while_it_holds_less_important_attempts() {
    for_seeds(200, 2_000, |u| {
        let capacity: usize = u.int_in_range(0..=8)?;
        let mut queue = AdmissionQueue::default();
        let mut waiting: BTreeMap<AttemptId, Importance> = BTreeMap::new();
        for id in 0..u.int_in_range(1..=200)? {
            let order = *u.choose(&[ServiceOrder::OldestFirst, ServiceOrder::NewestFirst])?;
            if u.ratio(1, 3)? {
                let taken = queue.take(order).map(|(_, attempt)| attempt);
                assert_eq!(taken.is_some(), !waiting.is_empty());
                taken.map(|attempt| waiting.remove(&attempt));
            }
            let importance = Importance {
                criticality: *u.choose(&Criticality::ALL)?,
                in_session: u.arbitrary()?,
            };
            let attempt = AttemptId(id);
            let shed = match queue.offer(attempt, importance, capacity, order) {
                Offer::Queued(_) => None,
                Offer::Refused => Some(importance),
                Offer::QueuedInsteadOf(_, evicted) => waiting.remove(&evicted),
            };
            let is_refused = shed.is_some() && waiting.len() == capacity;
            if !is_refused {
                waiting.insert(attempt, importance);
            }
            if let Some(shed) = shed {
                assert!(waiting.values().all(|kept| *kept >= shed));
            }
            assert_eq!(queue.len(), waiting.len());
            assert!(queue.len() <= capacity);
        }
        Ok(())
    });
}

#[test]
fn most_important_is_served_first_except_every_eighth_from_the_middle_class() {
    let mut queue = AdmissionQueue::default();
    let mut offer = |id, criticality| {
        let importance = Importance {
            criticality,
            in_session: false,
        };
        queue.offer(AttemptId(id), importance, 100, ServiceOrder::OldestFirst);
    };
    offer(1, Criticality::Sheddable);
    offer(2, Criticality::Normal);
    (10..40).for_each(|id| offer(id, Criticality::Critical));
    let taken: Vec<u64> = std::iter::from_fn(|| queue.take(ServiceOrder::OldestFirst))
        .map(|(_, attempt)| attempt.0)
        .collect();
    assert_eq!(taken[..7], [10, 11, 12, 13, 14, 15, 16]);
    assert_eq!(taken[7], 2, "every eighth attempt is of the middle class");
    assert_eq!(taken.last(), Some(&1), "the lowest class is served last");
}

fn busy_daemon(queue_length: u32) -> Daemon {
    let bundle = bundle(&["a"], 8, admission(queue_length, 1));
    let mut daemon = Daemon::new("a-0", Some("a"), 1, bundle);
    daemon.step(at(1), inbound(1, Criticality::Normal, None));
    daemon
}

#[test]
fn full_queue_evicts_the_less_important_attempt_and_answers_it_at_once() {
    let mut daemon = busy_daemon(1);
    daemon.step(at(1), inbound(2, Criticality::Low, None));
    let actions = daemon.step(at(2), inbound(3, Criticality::Critical, None));
    let (answer, feedback) = attempt_answer(&actions, 2).expect("the low attempt is evicted");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::Overloaded));
    assert!(feedback.is_final);
    let actions = daemon.step(at(3), inbound(4, Criticality::Low, None));
    let (answer, _) = attempt_answer(&actions, 4).expect("the low attempt is refused");
    let Outcome::NotRun { retry_after, .. } = answer.outcome else {
        panic!("expected a not-run outcome");
    };
    assert!(retry_after.0 > 0);
    let attempt = AttemptId(1);
    let result = succeeded();
    let actions = daemon.step(at(4), Event::DispatchEnded { attempt, result });
    assert!(dispatches(&actions, 3));
}

#[test]
fn endpoint_report_lowers_the_limit_but_never_raises_it() {
    let limit = ConcurrencyLimit::new(2, 10);
    assert_eq!(limit.with_reported_slots(None), 10);
    assert_eq!(limit.with_reported_slots(Some(4)), 4);
    assert_eq!(limit.with_reported_slots(Some(500)), 10);
    assert_eq!(limit.with_reported_slots(Some(1)), 2);

    let mut daemon = busy_daemon(4);
    let report = EndpointReport {
        slots: 100,
        busy: 0,
        draining: false,
    };
    daemon.step(at(2), Event::LocalReport(report));
    let actions = daemon.step(at(3), inbound(2, Criticality::Critical, None));
    assert!(!dispatches(&actions, 2));
}

#[test]
fn the_limit_falls_when_latency_rises_and_recovers() {
    let mut limit = ConcurrencyLimit::new(2, 10);
    let mut now = at(0);
    let mut feed = |limit: &mut ConcurrencyLimit, millis, samples| {
        for _ in 0..samples {
            now += Duration::from_millis(2);
            let running = limit.observed();
            limit.record(now, Duration::from_millis(millis), running);
        }
    };
    feed(&mut limit, 5, 100);
    assert_eq!(limit.observed(), 10);
    feed(&mut limit, 50, 320);
    let fallen = limit.observed();
    assert!(fallen < 6, "limit is {fallen}");
    feed(&mut limit, 5, 640);
    assert_eq!(limit.observed(), 10);
}

/// Slow sub-calls: each running request takes the same time whatever the limit is.
#[test]
fn limit_is_restored_when_lowering_it_does_not_reduce_latency() {
    let mut limit = ConcurrencyLimit::new(2, 40);
    let mut now = at(0);
    let mut lowest = 40;
    let mut lowered_samples = 0;
    let mut feed = |limit: &mut ConcurrencyLimit, millis: u64, samples| {
        for _ in 0..samples {
            let running = limit.observed();
            now += Duration::from_micros(millis * 1_000 / u64::from(running));
            limit.record(now, Duration::from_millis(millis), running);
            lowest = lowest.min(running);
            lowered_samples += u32::from(running < 40);
        }
    };
    feed(&mut limit, 10, 2_000);
    feed(&mut limit, 50, 6_000);
    assert_eq!(limit.observed(), 40);
    assert!(lowest >= 30, "the limit fell to {lowest}");
    assert!(
        lowered_samples < 600,
        "the limit was lowered for {lowered_samples} requests"
    );
}

#[test]
fn early_failures_do_not_lower_the_limit() {
    let bundle = bundle(&["a"], 8, admission(0, 8));
    let mut daemon = Daemon::new("a-0", Some("a"), 1, bundle);
    let run = |daemon: &mut Daemon, id: u64, failed: bool, takes: u64| {
        let begins = at(id * 100);
        let mut context = context(id, Criticality::Normal, None);
        context.deadline = begins + Duration::from_secs(1);
        let actions = daemon.step(begins, Event::InboundCall { context });
        assert!(dispatches(&actions, id));
        let attempt = AttemptId(id);
        let stored = StoredAnswer::default();
        let result = DispatchResult::Answered { failed, stored };
        let ends = begins + Duration::from_millis(takes);
        daemon.step(ends, Event::DispatchEnded { attempt, result });
    };
    (1..200).for_each(|id| run(&mut daemon, id, true, 1));
    (200..600).for_each(|id| run(&mut daemon, id, false, 40));
    assert_eq!(daemon.engine.metrics().concurrency_limit, 8);
}

#[test]
fn the_level_rises_with_queueing_delay_and_falls_again() {
    let mut level = LevelController::new();
    let mut now = at(0);
    let mut run = |level: &mut LevelController, delay, windows: u32| {
        for index in 0..windows * 100 {
            now += Duration::from_millis(2);
            let id = RequestId(u128::from(index));
            let class = Criticality::ALL[index as usize % 4];
            let place = shedding_position(class, index % 8 < 4, id);
            level.record_offered(now, place);
            level.record_delay(now, Duration::from_millis(delay));
        }
    };
    run(&mut level, 1, 2);
    assert_eq!(level.level(), AdmissionLevel::default());
    run(&mut level, 100, 10);
    let risen = level.level();
    assert!(risen.criticality >= Criticality::Low, "level is {risen:?}");
    run(&mut level, 100, 400);
    let highest = level.level();
    assert!(highest.cohort < 128 && highest.criticality == Criticality::Critical);
    run(&mut level, 1, 200);
    assert_eq!(level.level(), AdmissionLevel::default());
}

#[test]
fn call_below_the_level_is_shed_before_sending_until_the_level_is_stale() {
    let bundle = bundle(&["a"], 8, admission(4, 1));
    let mut gateway = Daemon::new("gateway", None, 1, bundle);
    gateway.add_endpoints(&["a-0"], "a");
    let actions = gateway.step(at(1), root_call(1, "a", "/", None));
    let (attempt, _) = sent(&actions).expect("the call is sent");
    let feedback = Feedback {
        admission_level: AdmissionLevel {
            criticality: Criticality::Critical,
            cohort: 127,
        },
        ..Default::default()
    };
    let outcome = Outcome::Completed;
    let result = AttemptResult::Answered { outcome, feedback };
    gateway.step(at(2), Event::AttemptEnded { attempt, result });
    let probe = gateway.step(at(3), root_call(2, "a", "/", None));
    assert!(sent(&probe).is_some(), "one call is sent as a probe");
    let actions = gateway.step(at(4), root_call(3, "a", "/", None));
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::SendAttempt { .. }))
    );
    let outcome = call_answer(&actions)
        .expect("the call is shed at once")
        .outcome;
    assert_eq!(reason(outcome), Some(NotRunReason::Overloaded));
    let actions = gateway.step(at(2_000), root_call(4, "a", "/", None));
    assert!(sent(&actions).is_some(), "a stale level is ignored");
}

#[test]
fn attempt_that_cannot_finish_in_time_is_refused_by_its_own_route_only() {
    let bundle = bundle(&["a"], 8, admission(100, 100));
    let mut daemon = Daemon::new("a-0", Some("a"), 1, bundle);
    for id in 1..=40 {
        let now = at(id * 50);
        let mut context = support::context(id, Criticality::Normal, None);
        context.deadline = now + Duration::from_millis(500);
        daemon.step(now, Event::InboundCall { context });
        let attempt = AttemptId(id);
        let result = succeeded();
        let later = now + Duration::from_millis(40);
        daemon.step(later, Event::DispatchEnded { attempt, result });
    }
    let short = |id: u64, path: &str| {
        let mut context = support::context(id, Criticality::Normal, Some(operation("key")));
        context.operation = context.operation.filter(|_| path != "/");
        context.path = path.to_owned();
        context.deadline = at(2_100) + Duration::from_millis(20);
        Event::InboundCall { context }
    };
    let actions = daemon.step(at(2_100), short(100, "/"));
    let (answer, _) = attempt_answer(&actions, 100).expect("the attempt is refused at once");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::DeadlineExceeded));
    let actions = daemon.step(at(2_100), short(101, support::RUN_ONCE_PATH));
    assert_eq!(attempt_answer(&actions, 101), None);
    // Without new samples the estimate expires, so that the route is measured again.
    let mut context = support::context(102, Criticality::Normal, None);
    context.deadline = at(3_020);
    let actions = daemon.step(at(3_000), Event::InboundCall { context });
    assert!(dispatches(&actions, 102));
}

#[test]
fn level_of_a_called_service_is_reported_only_for_the_calling_route() {
    let bundle = bundle(&["a", "b"], 8, admission(8, 8));
    let mut daemon = Daemon::new("a-0", Some("a"), 1, bundle);
    daemon.add_endpoints(&["b-0"], "b");
    daemon.step(at(1), inbound(1, Criticality::Normal, None));
    let actions = daemon.step(at(2), sub_call(10, "b", AttemptId(1), 1));
    let (attempt, _) = sent(&actions).expect("the sub-call is sent");
    let below = AdmissionLevel {
        criticality: Criticality::Normal,
        cohort: 40,
    };
    let feedback = Feedback {
        admission_level: below,
        ..Default::default()
    };
    let outcome = Outcome::Completed;
    let result = AttemptResult::Answered { outcome, feedback };
    daemon.step(at(3), Event::AttemptEnded { attempt, result });
    let ended = |id| Event::DispatchEnded {
        attempt: AttemptId(id),
        result: succeeded(),
    };
    let actions = daemon.step(at(4), ended(1));
    let (_, feedback) = attempt_answer(&actions, 1).expect("attempt 1 is answered");
    assert_eq!(feedback.admission_level, below);

    let once = inbound(2, Criticality::Normal, Some(operation("other-route")));
    daemon.step(at(5), once);
    let attempt = AttemptId(2);
    let answer = ClaimAnswer::Granted;
    daemon.step(at(6), Event::ClaimAnswered { attempt, answer });
    let actions = daemon.step(at(7), ended(2));
    let (_, feedback) = attempt_answer(&actions, 2).expect("attempt 2 is answered");
    assert_eq!(feedback.admission_level, AdmissionLevel::default());
}
