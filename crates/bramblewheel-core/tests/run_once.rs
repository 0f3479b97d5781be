//! Life cycle of the claim of a run-once operation.

mod support;

use bramblewheel_core::action::{Action, AnswerBody};
use bramblewheel_core::event::{
    AttemptResult, ClaimAnswer, DispatchResult, Event, LedgerRequest, StoredAnswer,
};
use bramblewheel_types::{AttemptId, Criticality, NotRunReason, Outcome, Timestamp};
use support::{
    CLAIM_TIMEOUT, Daemon, admission, at, attempt_answer, bundle, call_answer, dispatches, inbound,
    operation, reason, root_call, sent, succeeded,
};

const ATTEMPT: AttemptId = AttemptId(1);

fn daemon() -> Daemon {
    let bundle = bundle(&["a"], 8, admission(4, 1));
    Daemon::new("a-0", Some("a"), 1, bundle)
}

/// A daemon that has requested the claim for attempt 1.
fn claiming() -> Daemon {
    let mut daemon = daemon();
    let arrival = inbound(1, Criticality::Critical, Some(operation("key")));
    let actions = daemon.step(at(1), arrival);
    let claim = LedgerRequest::Claim {
        key: operation("key").key,
        minted_at_unix_millis: 1,
    };
    let request = Action::Ledger {
        attempt: ATTEMPT,
        request: claim,
    };
    assert_eq!(
        actions,
        vec![request],
        "the operation does not run before the grant"
    );
    daemon
}

fn claim_answer(answer: ClaimAnswer) -> Event {
    Event::ClaimAnswered {
        attempt: ATTEMPT,
        answer,
    }
}

fn release() -> Action {
    Action::Ledger {
        attempt: ATTEMPT,
        request: LedgerRequest::Release {
            key: operation("key").key,
        },
    }
}

fn ended(result: DispatchResult) -> Event {
    Event::DispatchEnded {
        attempt: ATTEMPT,
        result,
    }
}

#[test]
fn granted_operation_runs_and_its_answer_is_recorded_before_it_is_sent() {
    let mut daemon = claiming();
    let actions = daemon.step(at(2), claim_answer(ClaimAnswer::Granted));
    assert_eq!(actions, vec![Action::Dispatch { attempt: ATTEMPT }]);
    let actions = daemon.step(at(3), ended(succeeded()));
    let complete = Action::Ledger {
        attempt: ATTEMPT,
        request: LedgerRequest::Complete {
            key: operation("key").key,
            failed: false,
            answer: StoredAnswer::default(),
        },
    };
    assert_eq!(actions[0], complete);
    let (answer, _) = attempt_answer(&actions[1..], 1).expect("the attempt is answered");
    assert_eq!(answer.outcome, Outcome::Completed);
}

#[test]
fn claim_answers_other_than_a_grant_never_dispatch() {
    let stored = StoredAnswer {
        status: 200,
        body: Some(b"receipt".to_vec()),
    };
    let earlier = ClaimAnswer::Completed {
        failed: false,
        answer: stored.clone(),
    };
    let actions = claiming().step(at(2), claim_answer(earlier));
    let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
    assert_eq!(answer.outcome, Outcome::Completed);
    assert_eq!(answer.body, AnswerBody::Stored(stored));

    let (mut daemon, now) = held_elsewhere(3);
    let actions = daemon.take();
    let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
    assert_eq!(answer.outcome, Outcome::Unknown);
    assert!(
        !actions.contains(&release()),
        "the claim of another attempt is not released"
    );
    assert!(
        now < at(100),
        "the attempt is answered within 100 ms, at {now:?}"
    );

    let actions = claiming().step(at(2), claim_answer(ClaimAnswer::Expired));
    let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::OperationExpired));

    let actions = claiming().step(at(2), claim_answer(ClaimAnswer::Unavailable));
    let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
    assert_eq!(
        reason(answer.outcome),
        Some(NotRunReason::LedgerUnavailable)
    );
    assert!(actions.contains(&release()));
}

/// A daemon whose claim request was answered `HeldElsewhere` the given number of times and
/// repeated in between; it keeps the actions that follow the last answer.
fn held_elsewhere(times: u32) -> (Daemon, Timestamp) {
    let mut daemon = claiming();
    let mut now = at(2);
    for count in 1..=times {
        daemon.take();
        daemon.handle(now, claim_answer(ClaimAnswer::HeldElsewhere));
        if count < times {
            assert_eq!(daemon.take(), Vec::new());
            now = daemon
                .engine
                .next_wakeup()
                .expect("the claim request is repeated");
            daemon.handle(now, Event::Tick);
        }
    }
    (daemon, now)
}

#[test]
fn held_claim_is_requested_again_and_used_once_granted() {
    let (mut daemon, now) = held_elsewhere(2);
    let repeat_at = daemon
        .engine
        .next_wakeup()
        .expect("the claim request is repeated");
    assert!(repeat_at > now);
    let actions = daemon.step(repeat_at, Event::Tick);
    assert!(matches!(actions[..], [Action::Ledger { .. }]));
    let actions = daemon.step(repeat_at, claim_answer(ClaimAnswer::Granted));
    assert!(dispatches(&actions, 1));
}

#[test]
fn abort_after_another_attempt_held_the_claim_is_unknown() {
    let (mut daemon, now) = held_elsewhere(1);
    let actions = daemon.step(now, Event::InboundCancelled { attempt: ATTEMPT });
    let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
    assert_eq!(answer.outcome, Outcome::Unknown);
    assert!(!dispatches(&daemon.step(at(900), Event::Tick), 1));
}

#[test]
fn grant_after_an_abort_is_released_and_never_used() {
    let aborts = [
        (
            at(1) + CLAIM_TIMEOUT,
            Event::Tick,
            NotRunReason::LedgerUnavailable,
        ),
        (
            at(2),
            Event::InboundCancelled { attempt: ATTEMPT },
            NotRunReason::Cancelled,
        ),
    ];
    for (now, event, expected) in aborts {
        let mut daemon = claiming();
        let actions = daemon.step(now, event);
        let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
        assert_eq!(reason(answer.outcome), Some(expected));
        assert!(actions.contains(&release()));
        let late = daemon.step(now, claim_answer(ClaimAnswer::Granted));
        assert_eq!(late, vec![release()]);
        let next = daemon.step(now, inbound(2, Criticality::Low, None));
        assert!(dispatches(&next, 2), "the slot is freed");
    }
}

#[test]
fn deadline_is_checked_again_on_grant() {
    let mut daemon = claiming();
    // After a pause of the process the grant is handled before the timers.
    let actions = daemon.step(at(60_000), claim_answer(ClaimAnswer::Granted));
    assert!(!dispatches(&actions, 1));
    assert!(actions.contains(&release()));
    let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
    assert!(answer.outcome.is_not_run());
}

#[test]
fn claim_is_released_only_on_a_not_run_proof() {
    let refused = DispatchResult::Refused {
        reason: NotRunReason::Draining,
        retry_after: Default::default(),
    };
    let table = [
        (refused, true),
        (DispatchResult::NotSent, true),
        (DispatchResult::Lost, false),
        (succeeded(), false),
    ];
    for (result, is_released) in table {
        let mut daemon = claiming();
        daemon.step(at(2), claim_answer(ClaimAnswer::Granted));
        let actions = daemon.step(at(3), ended(result.clone()));
        assert_eq!(actions.contains(&release()), is_released, "{result:?}");
        let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
        assert_eq!(answer.outcome.is_not_run(), is_released, "{result:?}");
    }
}

#[test]
fn duplicate_message_never_reruns_an_operation() {
    let mut daemon = claiming();
    daemon.step(at(2), claim_answer(ClaimAnswer::Granted));
    let arrival = || inbound(1, Criticality::Critical, Some(operation("key")));
    assert_eq!(daemon.step(at(3), arrival()), Vec::new());
    daemon.step(at(4), ended(DispatchResult::Lost));
    assert_eq!(daemon.step(at(5), arrival()), Vec::new());
    let repeated_grant = daemon.step(at(6), claim_answer(ClaimAnswer::Granted));
    assert_eq!(
        repeated_grant,
        Vec::new(),
        "the claim of a lost attempt is kept"
    );
}

#[test]
fn operation_continues_and_is_recorded_after_its_caller_disconnects() {
    let mut daemon = claiming();
    daemon.step(at(2), claim_answer(ClaimAnswer::Granted));
    let actions = daemon.step(at(3), Event::InboundCancelled { attempt: ATTEMPT });
    assert!(!actions.contains(&Action::CancelDispatch { attempt: ATTEMPT }));
    let (answer, _) = attempt_answer(&actions, 1).expect("the attempt is answered");
    assert_eq!(answer.outcome, Outcome::Unknown);
    let actions = daemon.step(at(4), ended(succeeded()));
    let is_complete = |action: &Action| {
        matches!(
            action,
            Action::Ledger {
                request: LedgerRequest::Complete { .. },
                ..
            }
        )
    };
    assert!(actions.iter().any(is_complete));
    assert_eq!(
        attempt_answer(&actions, 1),
        None,
        "the attempt was already answered"
    );
}

#[test]
fn route_is_run_once_if_either_bundle_says_so() {
    // The route is run-once in the caller's bundle, but not in the daemon's.
    let mut daemon = daemon();
    let mut context = support::context(1, Criticality::Critical, Some(operation("key")));
    context.path = "/".to_owned();
    let actions = daemon.step(at(1), Event::InboundCall { context });
    assert!(!dispatches(&actions, 1));
    // The route is run-once in the daemon's bundle, but the caller has sent no key.
    let mut context = support::context(2, Criticality::Critical, None);
    context.path = support::RUN_ONCE_PATH.to_owned();
    let actions = daemon.step(at(1), Event::InboundCall { context });
    let (answer, _) = attempt_answer(&actions, 2).expect("the attempt is answered");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::InvalidRequest));
}

#[test]
fn outbound_operation_is_attempted_again_only_after_a_not_run_proof() {
    let bundle = bundle(&["a"], 8, admission(4, 1));
    let mut gateway = Daemon::new("gateway", None, 1, bundle);
    gateway.add_endpoints(&["a-0", "a-1", "a-2"], "a");
    let path = support::RUN_ONCE_PATH;
    let actions = gateway.step(at(1), root_call(1, "a", path, None));
    let outcome = call_answer(&actions)
        .expect("a call without a key is refused")
        .outcome;
    assert_eq!(reason(outcome), Some(NotRunReason::InvalidRequest));

    let actions = gateway.step(at(1), root_call(2, "a", path, Some(operation("key"))));
    let (attempt, _) = sent(&actions).expect("the call is sent");
    let result = support::answered(support::refused(NotRunReason::NotReady));
    let actions = gateway.step(at(2), Event::AttemptEnded { attempt, result });
    let (attempt, _) = sent(&actions).expect("another attempt follows a refusal");
    let result = AttemptResult::Lost;
    let actions = gateway.step(at(3), Event::AttemptEnded { attempt, result });
    let outcome = call_answer(&actions)
        .expect("no attempt follows a lost one")
        .outcome;
    assert_eq!(outcome, Outcome::Unknown);
}
