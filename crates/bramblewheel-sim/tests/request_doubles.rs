//! Each checker reports the unsafe daemon that breaks its promise.

use bramblewheel_bundle::Bundle;
use bramblewheel_sim::requests::UnsafeDouble;
use bramblewheel_sim::requests::check::{Evidence, Promise, check};
use bramblewheel_sim::requests::scenario::{RequestScenario, check_inputs, run};
use bramblewheel_sim::scenario::{Body, built_in, parse as parse_scenario};
use bramblewheel_types::Criticality;

/// Seeds of which at least one must show the violation.
const SEEDS: u64 = 10;

/// Whether a scenario breaks a promise on one of the seeds.
fn is_broken(scenario: &RequestScenario, double: Option<UnsafeDouble>, promise: Promise) -> bool {
    (1..=SEEDS).any(|seed| {
        let violations = run(scenario, seed, double).violations;
        violations.iter().any(|found| found.promise == promise)
    })
}

fn is_caught(scenario: &RequestScenario, double: UnsafeDouble, promise: Promise) {
    assert!(
        is_broken(scenario, Some(double), promise),
        "{double:?} does not break {promise}"
    );
    assert!(
        !is_broken(scenario, None, promise),
        "{promise} is broken without any double"
    );
}

fn is_caught_in(name: &str, double: UnsafeDouble, promise: Promise) {
    let scenario = built_in(name).expect(name).scenario().expect(name);
    let Body::Requests(scenario) = scenario.body else {
        panic!("{name} is of another kind");
    };
    is_caught(&scenario, double, promise);
}

fn parse(text: &str) -> RequestScenario {
    match parse_scenario("test", text).expect("a valid scenario").body {
        Body::Requests(scenario) => *scenario,
        Body::Control(_) | Body::Overload(_) => panic!("the text is of kind requests"),
    }
}

#[test]
fn retries_at_every_hop_break_the_bound() {
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
    is_caught(&scenario, UnsafeDouble::RetryPerHop, Promise::RetryBound);
}

#[test]
fn a_claim_after_the_dispatch_lets_an_operation_run_twice() {
    let double = UnsafeDouble::ClaimAfterDispatch;
    is_caught_in("run-once-resend", double, Promise::RunAtMostOnce);
}

#[test]
fn a_guess_on_a_timeout_is_no_truth() {
    let double = UnsafeDouble::NotRunOnTimeout;
    is_caught_in("not-run-truth", double, Promise::NotRunTruth);
}

#[test]
fn answers_matched_by_order_go_to_others() {
    let double = UnsafeDouble::MatchByOrder;
    is_caught_in("late-reordered-answers", double, Promise::OwnWholeAnswer);
}

#[test]
fn shedding_the_newest_sheds_the_important() {
    let double = UnsafeDouble::ShedNewest;
    is_caught_in("priority-under-surge", double, Promise::PriorityKept);
}

#[test]
fn refusals_held_back_are_late() {
    let double = UnsafeDouble::ParkedRefusals;
    is_caught_in("priority-under-surge", double, Promise::AnsweredAtOnce);
}

#[test]
fn sessions_tied_to_a_daemon_are_lost_with_it() {
    let double = UnsafeDouble::SessionTiedToDaemon;
    is_caught_in("sessions-through-surge", double, Promise::SessionsKept);
}

#[test]
fn two_answers_are_one_too_many() {
    let double = UnsafeDouble::AnswerTwice;
    is_caught_in("daemon-killed-mid-call", double, Promise::AnsweredOnce);
}

#[test]
fn a_stop_without_drain_interrupts_runs() {
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
    is_caught(&scenario, UnsafeDouble::StopWithoutDrain, promise);
}

#[test]
fn an_ignored_drain_sends_work_to_a_leaving_endpoint() {
    let double = UnsafeDouble::IgnoreDrain;
    let name = "endpoint-leaving-lagging-list";
    is_caught_in(name, double, Promise::LeavingLeftAlone);
}

#[test]
fn classes_the_other_way_round_are_not_served_best() {
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
        violations.map(|found| found.promise).collect::<Vec<_>>()
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
