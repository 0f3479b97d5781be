//! Each checker reports the unsafe double that breaks its promise.

use bramblewheel_bundle::Bundle;
use bramblewheel_sim::requests::UnsafeDouble;
use bramblewheel_sim::requests::check::{Evidence, Promise, check};
use bramblewheel_sim::requests::scenario::{RequestScenario, check_inputs, run};
use bramblewheel_sim::scenario::{Body, built_in, parse as parse_scenario};
use bramblewheel_types::Criticality;

/// Number of seeds, at least one of which must show the violation.
const SEEDS: u64 = 10;

/// Whether a scenario breaks a promise on any of the seeds.
fn is_broken(scenario: &RequestScenario, double: Option<UnsafeDouble>, promise: Promise) -> bool {
    (1..=SEEDS).any(|seed| {
        let violations = run(scenario, seed, double).violations;
        violations
            .iter()
            .any(|violation| violation.promise == promise)
    })
}

fn assert_caught(scenario: &RequestScenario, double: UnsafeDouble, promise: Promise) {
    assert!(
        is_broken(scenario, Some(double), promise),
        "{double:?} does not break {promise}"
    );
    assert!(
        !is_broken(scenario, None, promise),
        "{promise} is broken without any double"
    );
}

fn assert_caught_in(name: &str, double: UnsafeDouble, promise: Promise) {
    let scenario = built_in(name).expect(name).scenario().expect(name);
    let Body::Requests(scenario) = scenario.body else {
        panic!("{name} is not of kind requests");
    };
    assert_caught(&scenario, double, promise);
}

fn parse(text: &str) -> RequestScenario {
    match parse_scenario("test", text).expect("a valid scenario").body {
        Body::Requests(scenario) => *scenario,
        Body::Control(_) | Body::Overload(_) => panic!("the scenario is not of kind requests"),
    }
}

#[test]
fn retries_at_every_hop_exceed_the_retry_bound() {
    let scenario = parse(
        r#"
        name = "test"
        kind = "requests"
        summary = "The fifth of fifteen hops always fails."
        [world]
        deployment = "deep"
        control_replicas = 0
        [load]
        rate = 10
        run_ms = 500
        [callers]
        max_sends = 1
        [[fault]]
        kind = "failing"
        service = "hop-05"
        at_ms = 0
        for_ms = 60000
        "#,
    );
    assert_caught(&scenario, UnsafeDouble::RetryPerHop, Promise::RetryBound);
}

#[test]
fn claiming_after_dispatch_runs_an_operation_twice() {
    let double = UnsafeDouble::ClaimAfterDispatch;
    assert_caught_in("run-once-resend", double, Promise::RunAtMostOnce);
}

#[test]
fn reporting_not_run_on_a_timeout_breaks_not_run_truth() {
    let double = UnsafeDouble::NotRunOnTimeout;
    assert_caught_in("not-run-truth", double, Promise::NotRunTruth);
}

#[test]
fn answers_matched_by_order_reach_the_wrong_caller() {
    let double = UnsafeDouble::MatchByOrder;
    assert_caught_in("late-reordered-answers", double, Promise::OwnWholeAnswer);
}

#[test]
fn shedding_the_newest_breaks_the_priority_of_classes() {
    let double = UnsafeDouble::ShedNewest;
    assert_caught_in("priority-under-surge", double, Promise::PriorityKept);
}

#[test]
fn refusals_held_until_the_deadline_are_reported_as_late() {
    let double = UnsafeDouble::ParkedRefusals;
    assert_caught_in("priority-under-surge", double, Promise::AnsweredAtOnce);
}

#[test]
fn sessions_tied_to_one_daemon_are_refused() {
    let double = UnsafeDouble::SessionTiedToDaemon;
    assert_caught_in("sessions-through-surge", double, Promise::SessionsKept);
}

#[test]
fn answering_a_send_twice_is_reported() {
    let double = UnsafeDouble::AnswerTwice;
    assert_caught_in("daemon-killed-mid-call", double, Promise::AnsweredOnce);
}

#[test]
fn stopping_without_drain_interrupts_runs() {
    let scenario = parse(
        r#"
        name = "test"
        kind = "requests"
        summary = "Endpoints are stopped as planned under load."
        [world]
        deployment = "small"
        [load]
        rate = 80
        run_ms = 2500
        [[fault]]
        kind = "stop-planned"
        at_ms = [200, 2000]
        times = 6
        "#,
    );
    let promise = Promise::StopInterruptsNothing;
    assert_caught(&scenario, UnsafeDouble::StopWithoutDrain, promise);
}

#[test]
fn ignoring_a_drain_sends_work_to_a_leaving_endpoint() {
    let double = UnsafeDouble::IgnoreDrain;
    let name = "endpoint-leaving-lagging-list";
    assert_caught_in(name, double, Promise::LeavingLeftAlone);
}

#[test]
fn swapped_classes_break_the_order_of_completed_shares() {
    let scenario = parse(
        r#"
        name = "test"
        kind = "requests"
        summary = "Far more requests than the endpoints can run."
        [world]
        deployment = "small"
        [load]
        rate = 300
        run_ms = 1500
        surge = 5
        surge_at_ms = 200
        surge_for_ms = 1200
        [callers]
        max_sends = 1
        [outcomes]
        compare_classes = true
        "#,
    );
    let run = run(&scenario, 1, None);
    assert_eq!(run.violations, Vec::new());
    let (topology, mut bundle, bounds) = check_inputs(&scenario);
    let promises = |bundle: &Bundle| {
        let evidence = Evidence {
            history: &run.history,
            topology: &topology,
            bundle,
            bounds,
        };
        let violations = check(&evidence).into_iter();
        violations
            .map(|violation| violation.promise)
            .collect::<Vec<_>>()
    };
    assert_eq!(promises(&bundle), Vec::new());
    for service in bundle.services.values_mut() {
        for route in &mut service.routes {
            route.criticality = match route.criticality {
                Some(Criticality::Critical) => Some(Criticality::Low),
                Some(Criticality::Low) => Some(Criticality::Critical),
                other => other,
            };
        }
    }
    assert!(promises(&bundle).contains(&Promise::ImportantShedLast));
}
