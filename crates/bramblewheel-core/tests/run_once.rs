//! Life cycle of the claim of an operation that must not run twice.

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

/// A daemon that has asked for the claim of attempt 1.
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
    assert_eq!(actions, vec![request], "nothing runs before the grant");
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
fn a_granted_operation_runs_and_its_answer_is_recorded_before_it_is_given() {
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
    let (answer, _) = attempt_answer(&actions[1..], 1).expect("it is answered");
    assert_eq!(answer.outcome, Outcome::Completed);
}

#[test]
fn answers_other_than_a_grant_never_dispatch() {
    let stored = StoredAnswer {
        status: 200,
        body: Some(b"receipt".to_vec()),
    };
    let earlier = ClaimAnswer::Completed {
        failed: false,
        answer: stored.clone(),
    };
    let actions = claiming().step(at(2), claim_answer(earlier));
    let (answer, _) = attempt_answer(&actions, 1).expect("it is answered");
    assert_eq!(answer.outcome, Outcome::Completed);
    assert_eq!(answer.body, AnswerBody::Stored(stored));

    let (mut daemon, now) = held(3);
    let actions = daemon.take();
    let (answer, _) = attempt_answer(&actions, 1).expect("it is answered");
    assert_eq!(answer.outcome, Outcome::Unknown);
    assert!(!actions.contains(&release()), "another's claim is not ours");
    assert!(now < at(100), "it is answered within milliseconds");

    let actions = claiming().step(at(2), claim_answer(ClaimAnswer::Expired));
    let (answer, _) = attempt_answer(&actions, 1).expect("it is answered");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::OperationExpired));

    let actions = claiming().step(at(2), claim_answer(ClaimAnswer::Unavailable));
    let (answer, _) = attempt_answer(&actions, 1).expect("it is answered");
    assert_eq!(
        reason(answer.outcome),
        Some(NotRunReason::LedgerUnavailable)
    );
    assert!(actions.contains(&release()));
}

/// A daemon that was told some times that another holds the claim, and asked again in between;
/// keeps the actions of the last answer.
fn held(times: u32) -> (Daemon, Timestamp) {
    let mut daemon = claiming();
    let mut now = at(2);
    for told in 1..=times {
        daemon.take();
        daemon.handle(now, claim_answer(ClaimAnswer::HeldElsewhere));
        if told < times {
            assert_eq!(daemon.take(), Vec::new());
            now = daemon.engine.next_wakeup().expect("it asks again");
            daemon.handle(now, Event::Tick);
        }
    }
    (daemon, now)
}

#[test]
fn a_held_claim_is_asked_for_again_and_used_once_it_is_released() {
    let (mut daemon, now) = held(2);
    let again = daemon.engine.next_wakeup().expect("it asks again");
    assert!(again > now);
    let actions = daemon.step(again, Event::Tick);
    assert!(matches!(actions[..], [Action::Ledger { .. }]));
    let actions = daemon.step(again, claim_answer(ClaimAnswer::Granted));
    assert!(dispatches(&actions, 1));
}

#[test]
fn giving_up_after_another_was_seen_to_hold_the_claim_is_not_a_not_run_proof() {
    let (mut daemon, now) = held(1);
    let actions = daemon.step(now, Event::InboundCancelled { attempt: ATTEMPT });
    let (answer, _) = attempt_answer(&actions, 1).expect("it is answered");
    assert_eq!(answer.outcome, Outcome::Unknown);
    assert!(!dispatches(&daemon.step(at(900), Event::Tick), 1));
}

#[test]
fn a_grant_after_giving_up_is_released_and_never_used() {
    let give_ups = [
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
    for (now, event, expected) in give_ups {
        let mut daemon = claiming();
        let actions = daemon.step(now, event);
        let (answer, _) = attempt_answer(&actions, 1).expect("it is answered");
        assert_eq!(reason(answer.outcome), Some(expected));
        assert!(actions.contains(&release()));
        let late = daemon.step(now, claim_answer(ClaimAnswer::Granted));
        assert_eq!(late, vec![release()]);
        let next = daemon.step(now, inbound(2, Criticality::Low, None));
        assert!(dispatches(&next, 2), "the slot is free again");
    }
}

#[test]
fn the_deadline_is_checked_again_when_the_grant_comes() {
    let mut daemon = claiming();
    // A paused process sees the grant first and its timers not at all.
    let actions = daemon.step(at(60_000), claim_answer(ClaimAnswer::Granted));
    assert!(!dispatches(&actions, 1));
    assert!(actions.contains(&release()));
    let (answer, _) = attempt_answer(&actions, 1).expect("it is answered");
    assert!(answer.outcome.is_not_run());
}

#[test]
fn a_claim_is_given_back_only_on_a_not_run_proof() {
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
        let (answer, _) = attempt_answer(&actions, 1).expect("it is answered");
        assert_eq!(answer.outcome.is_not_run(), is_released, "{result:?}");
    }
}

#[test]
fn a_repeated_message_never_runs_an_operation_again() {
    let mut daemon = claiming();
    daemon.step(at(2), claim_answer(ClaimAnswer::Granted));
    let arrival = || inbound(1, Criticality::Critical, Some(operation("key")));
    assert_eq!(daemon.step(at(3), arrival()), Vec::new());
    daemon.step(at(4), ended(DispatchResult::Lost));
    assert_eq!(daemon.step(at(5), arrival()), Vec::new());
    let repeated_grant = daemon.step(at(6), claim_answer(ClaimAnswer::Granted));
    assert_eq!(repeated_grant, Vec::new(), "the claim of a lost run stays");
}

#[test]
fn an_operation_whose_caller_leaves_runs_on_and_is_recorded() {
    let mut daemon = claiming();
    daemon.step(at(2), claim_answer(ClaimAnswer::Granted));
    let actions = daemon.step(at(3), Event::InboundCancelled { attempt: ATTEMPT });
    assert!(!actions.contains(&Action::CancelDispatch { attempt: ATTEMPT }));
    let (answer, _) = attempt_answer(&actions, 1).expect("it is answered");
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
    assert_eq!(attempt_answer(&actions, 1), None, "it was answered before");
}

#[test]
fn the_stricter_side_decides_what_is_run_once() {
    // The caller's bundle says run once, ours does not know of it.
    let mut daemon = daemon();
    let mut context = support::context(1, Criticality::Critical, Some(operation("key")));
    context.path = "/".to_owned();
    let actions = daemon.step(at(1), Event::InboundCall { context });
    assert!(!dispatches(&actions, 1));
    // Ours says run once, and the caller has sent no key.
    let mut context = support::context(2, Criticality::Critical, None);
    context.path = support::RUN_ONCE_PATH.to_owned();
    let actions = daemon.step(at(1), Event::InboundCall { context });
    let (answer, _) = attempt_answer(&actions, 2).expect("it is answered");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::InvalidRequest));
}

#[test]
fn an_outbound_operation_is_tried_again_only_on_a_not_run_proof() {
    let bundle = bundle(&["a"], 8, admission(4, 1));
    let mut gateway = Daemon::new("gateway", None, 1, bundle);
    gateway.know(&["a-0", "a-1", "a-2"], "a");
    let path = support::RUN_ONCE_PATH;
    let actions = gateway.step(at(1), root_call(1, "a", path, None));
    let outcome = call_answer(&actions).expect("no key, no call").outcome;
    assert_eq!(reason(outcome), Some(NotRunReason::InvalidRequest));

    let actions = gateway.step(at(1), root_call(2, "a", path, Some(operation("key"))));
    let (attempt, _) = sent(&actions).expect("it is sent");
    let result = support::answered(support::refused(NotRunReason::NotReady));
    let actions = gateway.step(at(2), Event::AttemptEnded { attempt, result });
    let (attempt, _) = sent(&actions).expect("a refusal may be tried elsewhere");
    let result = AttemptResult::Lost;
    let actions = gateway.step(at(3), Event::AttemptEnded { attempt, result });
    let outcome = call_answer(&actions).expect("a lost one may not").outcome;
    assert_eq!(outcome, Outcome::Unknown);
}
