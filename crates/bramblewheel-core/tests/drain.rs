//! A planned stop refuses new work and interrupts no work in progress.

mod support;

use bramblewheel_core::action::Action;
use bramblewheel_core::event::{AttemptResult, ClaimAnswer, EndpointReport, Event, Feedback};
use bramblewheel_types::{AttemptId, Criticality, NotRunReason, Outcome};
use support::{
    Daemon, admission, answered, at, attempt_answer, bundle, call_answer, dispatches, inbound,
    operation, reason, root_call, sent, sub_call, succeeded,
};

fn daemon() -> Daemon {
    let bundle = bundle(&["a", "b"], 8, admission(4, 1));
    let mut daemon = Daemon::new("a-0", Some("a"), 1, bundle);
    daemon.add_endpoints(&["b-0"], "b");
    daemon
}

fn ended(id: u64) -> Event {
    let attempt = AttemptId(id);
    let result = succeeded();
    Event::DispatchEnded { attempt, result }
}

#[test]
fn work_in_progress_ends_before_the_daemon_is_drained() {
    let mut daemon = daemon();
    daemon.step(at(1), inbound(1, Criticality::Normal, None));
    daemon.step(at(1), inbound(2, Criticality::Normal, None));
    assert_eq!(daemon.step(at(2), Event::DrainRequested), Vec::new());

    let actions = daemon.step(at(3), inbound(3, Criticality::Critical, None));
    let (answer, feedback) = attempt_answer(&actions, 3).expect("new work is refused");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::Draining));
    assert!(feedback.draining && !feedback.is_final);
    let actions = daemon.step(at(3), root_call(9, "b", "/", None));
    let outcome = call_answer(&actions)
        .expect("a new root call is refused")
        .outcome;
    assert_eq!(reason(outcome), Some(NotRunReason::Draining));

    let actions = daemon.step(at(4), sub_call(5, "b", AttemptId(1), 1));
    let (below, _) = sent(&actions).expect("sub-calls of running attempts are sent");
    let result = answered(Outcome::Completed);
    daemon.step(
        at(5),
        Event::AttemptEnded {
            attempt: below,
            result,
        },
    );
    let actions = daemon.step(at(6), ended(1));
    assert!(
        dispatches(&actions, 2),
        "attempts queued before the drain are run"
    );
    assert!(!actions.contains(&Action::Drained));
    let actions = daemon.step(at(7), ended(2));
    assert_eq!(actions.last(), Some(&Action::Drained));
    assert_eq!(daemon.step(at(8), Event::Tick), Vec::new());
}

#[test]
fn operation_accepted_before_the_drain_runs_when_it_is_granted() {
    let mut daemon = daemon();
    let key = Some(operation("key"));
    daemon.step(at(1), inbound(1, Criticality::Normal, key));
    daemon.step(at(2), Event::DrainRequested);
    let granted = Event::ClaimAnswered {
        attempt: AttemptId(1),
        answer: ClaimAnswer::Granted,
    };
    assert!(dispatches(&daemon.step(at(3), granted), 1));
}

#[test]
fn new_work_is_refused_when_the_endpoint_reports_draining() {
    let mut daemon = daemon();
    let report = EndpointReport {
        slots: 4,
        busy: 0,
        draining: true,
    };
    daemon.step(at(1), Event::LocalReport(report));
    let actions = daemon.step(at(2), inbound(1, Criticality::Normal, None));
    let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is refused");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::Draining));
}

#[test]
fn endpoint_that_reports_draining_gets_no_more_calls() {
    let bundle = bundle(&["b"], 8, admission(4, 1));
    let mut gateway = Daemon::new("gateway", None, 1, bundle);
    gateway.add_endpoints(&["b-0", "b-1"], "b");
    let actions = gateway.step(at(1), root_call(1, "b", "/", None));
    let (attempt, draining_endpoint) = sent(&actions).expect("the call is sent");
    let feedback = Feedback {
        draining: true,
        ..Default::default()
    };
    let outcome = Outcome::Completed;
    let result = AttemptResult::Answered { outcome, feedback };
    gateway.step(at(2), Event::AttemptEnded { attempt, result });
    for id in 2..50 {
        let actions = gateway.step(at(2), root_call(id, "b", "/", None));
        let (_, endpoint) = sent(&actions).expect("the other endpoint gets the call");
        assert_ne!(endpoint, draining_endpoint);
    }
}

#[test]
fn an_idle_daemon_is_drained_at_once() {
    let actions = daemon().step(at(1), Event::DrainRequested);
    assert_eq!(actions, vec![Action::Drained]);
}
