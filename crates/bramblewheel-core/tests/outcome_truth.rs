//! The outcome reported to a caller follows from what is proven about the attempts.

mod support;

use bramblewheel_core::action::{Action, AnswerBody};
use bramblewheel_core::context::CallOrigin;
use bramblewheel_core::event::{AttemptResult, DispatchResult, Event, Feedback};
use bramblewheel_types::{
    AttemptId, CallId, Criticality, Millis, NotRunReason, Outcome, RequestId,
};
use support::{
    Daemon, admission, answered, at, attempt_answer, bundle, call_answer, dispatches, inbound,
    operation, reason, refused, root_call, sent, sub_call, succeeded,
};

const NOT_RUN: Option<NotRunReason> = Some(NotRunReason::Unreachable);

fn gateway(retry_tokens: u32) -> Daemon {
    let bundle = bundle(&["a"], retry_tokens, admission(9, 9));
    let mut daemon = Daemon::new("gateway", None, 1, bundle);
    daemon.add_endpoints(&["a-0", "a-1", "a-2", "a-3"], "a");
    daemon
}

/// Ends the attempts of one call with the given results in turn; returns the outcome and the
/// number of attempts made.
fn call_with(path: &str, results: &[AttemptResult]) -> (Outcome, usize) {
    let mut daemon = gateway(8);
    let key = (path == support::RUN_ONCE_PATH).then(|| operation("key"));
    let mut actions = daemon.step(at(1), root_call(1, "a", path, key));
    for (made, result) in results.iter().enumerate() {
        let Some((attempt, _)) = sent(&actions) else {
            let answer = call_answer(&actions).expect("a call without another attempt is answered");
            return (answer.outcome, made);
        };
        let result = result.clone();
        actions = daemon.step(at(2), Event::AttemptEnded { attempt, result });
    }
    let answer = call_answer(&actions).expect("the last result ends the call");
    (answer.outcome, results.len())
}

fn draining() -> AttemptResult {
    answered(refused(NotRunReason::Draining))
}

#[test]
fn outcome_follows_from_all_attempts() {
    use AttemptResult::{Lost, NotSent};
    let completed = || answered(Outcome::Completed);
    let invalid = || answered(refused(NotRunReason::InvalidRequest));
    let table = [
        ("/", vec![completed()], Outcome::Completed),
        ("/", vec![Lost, completed()], Outcome::Completed),
        ("/", vec![Lost, invalid()], Outcome::Unknown),
        ("/", vec![NotSent, Lost, invalid()], Outcome::Unknown),
        (
            "/",
            vec![answered(Outcome::Failed), invalid()],
            Outcome::Failed,
        ),
        (
            "/",
            vec![Lost, answered(Outcome::Failed), invalid()],
            Outcome::Unknown,
        ),
        ("/", vec![draining(), completed()], Outcome::Completed),
        (support::RUN_ONCE_PATH, vec![Lost], Outcome::Unknown),
        (
            support::RUN_ONCE_PATH,
            vec![answered(Outcome::Failed)],
            Outcome::Failed,
        ),
        (
            support::RUN_ONCE_PATH,
            vec![draining(), NotSent, Lost],
            Outcome::Unknown,
        ),
    ];
    for (path, results, expected) in table {
        let (outcome, made) = call_with(path, &results);
        assert_eq!(outcome, expected, "{path} {results:?}");
        assert_eq!(made, results.len(), "{path} {results:?}");
    }
    let (outcome, _) = call_with("/", &[NotSent, draining(), invalid()]);
    assert_eq!(reason(outcome), Some(NotRunReason::InvalidRequest));
}

#[test]
fn free_reroutes_are_limited_and_then_cost_tokens() {
    let mut daemon = gateway(0);
    let mut actions = daemon.step(at(1), root_call(1, "a", "/", None));
    let mut tried = Vec::new();
    while let Some((attempt, endpoint)) = sent(&actions) {
        assert!(!tried.contains(&endpoint), "an endpoint was chosen twice");
        tried.push(endpoint);
        let result = AttemptResult::NotSent;
        actions = daemon.step(at(2), Event::AttemptEnded { attempt, result });
    }
    assert_eq!(tried.len(), 3);
    let outcome = call_answer(&actions).expect("the call is answered").outcome;
    assert_eq!(reason(outcome), NOT_RUN);
}

#[test]
fn final_refusal_is_not_followed_by_another_attempt() {
    let mut daemon = gateway(8);
    let actions = daemon.step(at(1), root_call(1, "a", "/", None));
    let (attempt, _) = sent(&actions).expect("the call is sent");
    let feedback = Feedback {
        is_final: true,
        ..Default::default()
    };
    let outcome = refused(NotRunReason::Overloaded);
    let result = AttemptResult::Answered { outcome, feedback };
    let actions = daemon.step(at(2), Event::AttemptEnded { attempt, result });
    let answer = call_answer(&actions).expect("the call is answered at once");
    assert_eq!(answer.outcome, outcome);
}

#[test]
fn deadline_with_an_attempt_in_progress_is_unknown_and_late_answers_are_dropped() {
    let mut daemon = gateway(8);
    let actions = daemon.step(at(1), root_call(1, "a", "/", None));
    let (attempt, _) = sent(&actions).expect("the call is sent");
    let due = daemon.engine.next_wakeup().expect("a deadline is set");
    let actions = daemon.step(due, Event::Tick);
    assert!(actions.contains(&Action::CancelAttempt { attempt }));
    let answer = call_answer(&actions).expect("the call is answered at its deadline");
    assert_eq!(answer.outcome, Outcome::Unknown);
    let result = answered(Outcome::Completed);
    let late = daemon.step(due, Event::AttemptEnded { attempt, result });
    assert_eq!(late, Vec::new());
}

#[test]
fn resends_get_no_fresh_tokens() {
    let mut daemon = gateway(8);
    daemon.step(at(1), root_call(1, "a", "/", None));
    let Event::OutboundCall { request, .. } = root_call(1, "a", "/", None) else {
        unreachable!("root_call makes outbound calls");
    };
    let call = CallId(2);
    let actions = daemon.step(at(2), Event::OutboundCall { call, request });
    let tokens = actions.iter().find_map(|action| match action {
        Action::SendAttempt { context, .. } => Some(context.retry_tokens),
        _ => None,
    });
    assert_eq!(tokens, Some(0));
}

/// Sends request 7 for the `resend`-th time as call `id`.
fn send(daemon: &mut Daemon, id: u64, resend: u32) -> Vec<Action> {
    let Event::OutboundCall { call, mut request } = root_call(id, "a", "/", None) else {
        unreachable!("root_call makes outbound calls");
    };
    request.origin = CallOrigin::Root {
        request: RequestId(7),
        resend,
        caller: "caller".to_owned(),
        criticality: None,
        in_session: false,
    };
    daemon.step(at(3), Event::OutboundCall { call, request })
}

fn end(daemon: &mut Daemon, actions: &[Action], outcome: Outcome) -> Outcome {
    let (attempt, _) = sent(actions).expect("the call is sent");
    let result = answered(outcome);
    let actions = daemon.step(at(4), Event::AttemptEnded { attempt, result });
    call_answer(&actions).expect("the call is answered").outcome
}

#[test]
fn a_refused_resend_is_not_run_only_if_no_earlier_send_may_have_run() {
    let refusal = refused(NotRunReason::OperationExpired);
    // All earlier sends were refused here.
    let mut daemon = gateway(8);
    for resend in 0..3 {
        let actions = send(&mut daemon, 10 + u64::from(resend), resend);
        assert_eq!(end(&mut daemon, &actions, refusal), refusal);
    }
    // An earlier send failed.
    let actions = send(&mut daemon, 20, 3);
    assert_eq!(end(&mut daemon, &actions, Outcome::Failed), Outcome::Failed);
    let actions = send(&mut daemon, 21, 4);
    assert_eq!(end(&mut daemon, &actions, refusal), Outcome::Unknown);
    // An earlier send went through another gateway.
    let mut daemon = gateway(8);
    let actions = send(&mut daemon, 30, 1);
    assert_eq!(end(&mut daemon, &actions, refusal), Outcome::Unknown);
    // An earlier send is still in progress.
    let mut daemon = gateway(8);
    send(&mut daemon, 40, 0);
    let actions = send(&mut daemon, 41, 1);
    assert_eq!(end(&mut daemon, &actions, refusal), Outcome::Unknown);
    // The gateway refuses the resend itself.
    daemon.step(at(5), Event::DrainRequested);
    let actions = send(&mut daemon, 42, 2);
    let outcome = call_answer(&actions)
        .expect("the resend is refused")
        .outcome;
    assert_eq!(outcome, Outcome::Unknown);
}

fn endpoint_daemon() -> Daemon {
    let bundle = bundle(&["a", "b"], 8, admission(4, 1));
    let mut daemon = Daemon::new("a-0", Some("a"), 1, bundle);
    daemon.add_endpoints(&["b-0"], "b");
    daemon
}

fn ended(result: DispatchResult) -> Event {
    let attempt = AttemptId(1);
    Event::DispatchEnded { attempt, result }
}

fn endpoint_refusal() -> DispatchResult {
    DispatchResult::Refused {
        reason: NotRunReason::Overloaded,
        retry_after: Millis(5),
    }
}

#[test]
fn endpoint_refusal_after_sub_calls_counts_as_failed() {
    for (has_sub_call, expected) in [(false, true), (true, false)] {
        let mut daemon = endpoint_daemon();
        let actions = daemon.step(at(1), inbound(1, Criticality::Normal, None));
        assert!(dispatches(&actions, 1));
        if has_sub_call {
            daemon.step(at(2), sub_call(5, "b", AttemptId(1), 1));
        }
        let actions = daemon.step(at(3), ended(endpoint_refusal()));
        let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
        assert_eq!(answer.outcome.is_not_run(), expected);
        if has_sub_call {
            assert_eq!(answer.outcome, Outcome::Failed);
        }
    }
}

#[test]
fn dispatch_results_map_to_the_matching_outcomes() {
    let attempt = AttemptId(1);
    let failed = DispatchResult::Answered {
        failed: true,
        stored: Default::default(),
    };
    let table = [
        (
            succeeded(),
            Outcome::Completed,
            AnswerBody::FromAttempt(attempt),
        ),
        (failed, Outcome::Failed, AnswerBody::FromAttempt(attempt)),
        (DispatchResult::Lost, Outcome::Unknown, AnswerBody::None),
    ];
    for (result, outcome, body) in table {
        let mut daemon = endpoint_daemon();
        daemon.step(at(1), inbound(1, Criticality::Normal, None));
        let actions = daemon.step(at(2), ended(result));
        let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
        assert_eq!((answer.outcome, &answer.body), (outcome, &body));
    }
    let mut daemon = endpoint_daemon();
    daemon.step(at(1), inbound(1, Criticality::Normal, None));
    let actions = daemon.step(at(2), ended(DispatchResult::NotSent));
    let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
    assert_eq!(reason(answer.outcome), NOT_RUN);
}

#[test]
fn cancelled_while_queued_is_not_run_and_never_dispatched() {
    let mut daemon = endpoint_daemon();
    daemon.step(at(1), inbound(1, Criticality::Normal, None));
    let queued = daemon.step(at(1), inbound(2, Criticality::Normal, None));
    assert_eq!(queued, Vec::new());
    let attempt = AttemptId(2);
    let actions = daemon.step(at(2), Event::InboundCancelled { attempt });
    let (answer, _) = attempt_answer(&actions, 2).expect("the attempt is answered");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::Cancelled));
    let actions = daemon.step(at(3), ended(succeeded()));
    assert!(!dispatches(&actions, 2));
}

#[test]
fn cancelling_a_running_attempt_stops_it_and_its_sub_calls() {
    let mut daemon = endpoint_daemon();
    let attempt = AttemptId(1);
    daemon.step(at(1), inbound(1, Criticality::Normal, None));
    let actions = daemon.step(at(2), sub_call(5, "b", attempt, 1));
    let (below, _) = sent(&actions).expect("the sub-call is sent");
    let actions = daemon.step(at(3), Event::InboundCancelled { attempt });
    assert!(actions.contains(&Action::CancelDispatch { attempt }));
    assert!(actions.contains(&Action::CancelAttempt { attempt: below }));
    let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
    assert_eq!(answer.outcome, Outcome::Unknown);
}

#[test]
fn an_attempt_that_waited_past_its_deadline_is_not_run() {
    let mut daemon = endpoint_daemon();
    daemon.step(at(1), inbound(1, Criticality::Normal, None));
    daemon.step(at(1), inbound(2, Criticality::Normal, None));
    // After a pause of the process the end of attempt 1 is handled long after the deadline of attempt 2.
    let actions = daemon.step(at(5_000), ended(succeeded()));
    assert!(!dispatches(&actions, 2));
    let (answer, _) = attempt_answer(&actions, 2).expect("the attempt is answered");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::DeadlineExceeded));
}
