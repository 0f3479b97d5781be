//! Ledger of run-once operations in the replicated state.

mod support;

use bramblewheel_control::state::ledger::MAX_MINT_AHEAD_MILLIS;
use bramblewheel_protocol::control::{OperationAction, OperationReply, PublishReply};
use support::log::{Log, START};
use support::{RETENTION, answer, bundle, claim, keys, operation, sign};

#[test]
fn claim_is_held_by_one_attempt_until_released_or_completed() {
    use OperationReply::{Absent, Completed, Granted, Held, Recorded};
    let complete =
        |attempt, status| operation("a", attempt, OperationAction::Complete(answer(status)));
    let release = |attempt| operation("a", attempt, OperationAction::Release);
    let status = || operation("a", 0, OperationAction::Status);
    let mut other_incarnation = claim("a", 1, START);
    other_incarnation.incarnation = 2;
    let steps = [
        (status(), Absent),
        (complete(1, 200), Absent),
        (claim("a", 1, START), Granted),
        (claim("a", 1, START), Granted),
        (claim("a", 2, START), Held),
        (other_incarnation, Held),
        (status(), Held),
        (complete(2, 500), Held),
        (release(2), Held),
        (release(1), Recorded),
        (release(1), Recorded),
        (status(), Absent),
        // Late duplicates of attempts that released the claim.
        (claim("a", 1, START), Absent),
        (claim("a", 2, START), Absent),
        (claim("a", 3, START), Granted),
        (release(1), Held),
        (complete(3, 200), Recorded),
        (complete(3, 500), Recorded),
        (release(3), Completed(answer(200))),
        (complete(4, 500), Completed(answer(200))),
        (claim("a", 5, START), Completed(answer(200))),
        (status(), Completed(answer(200))),
    ];
    let mut log = Log::new();
    for (step, (request, expected)) in steps.into_iter().enumerate() {
        assert_eq!(log.operate(request), expected, "step {step}");
    }
}

#[test]
fn claim_after_its_own_release_is_not_granted() {
    let mut log = Log::new();
    let release = operation("a", 1, OperationAction::Release);
    assert_eq!(log.operate(release), OperationReply::Recorded);
    assert_eq!(log.operate(claim("a", 1, START)), OperationReply::Absent);
    assert_eq!(log.operate(claim("a", 2, START)), OperationReply::Granted);
}

#[test]
fn forgotten_operation_is_never_granted_again() {
    let mut log = Log::new();
    assert_eq!(log.operate(claim("old", 1, START)), OperationReply::Granted);
    assert_eq!(
        log.operate(claim("new", 1, START + 5)),
        OperationReply::Granted
    );
    let later = START + RETENTION + 3;
    assert_eq!(
        log.operate_at(later, claim("old", 2, START)),
        OperationReply::Expired
    );
    assert_eq!(
        log.operate_at(later, claim("new", 2, START + 5)),
        OperationReply::Held
    );
    assert_eq!(log.state.ledger().len(), 1);
    // Neither a new leader with a clock that is behind nor a bundle with a longer retention moves the horizon back.
    assert_eq!(
        log.operate_at(START, claim("old", 3, START)),
        OperationReply::Expired
    );
    let keys = keys(0);
    let mut longer = bundle(2, &keys, 1);
    longer.limits.operation_retention.0 = RETENTION * 10;
    assert!(matches!(
        log.publish(sign(&longer, &keys[..2])),
        PublishReply::Accepted { .. }
    ));
    assert_eq!(
        log.operate_at(later, claim("old", 4, START)),
        OperationReply::Expired
    );
    let ahead = later + MAX_MINT_AHEAD_MILLIS;
    assert_eq!(
        log.operate_at(later, claim("x", 1, ahead + 1)),
        OperationReply::Expired
    );
    assert_eq!(
        log.operate_at(later, claim("x", 1, ahead)),
        OperationReply::Granted
    );
    assert_eq!(log.state.log_time_unix_millis(), later);
}

/// A caller that resends with a later mint time extends the time for which the operation is kept.
#[test]
fn operation_is_kept_for_its_latest_stated_mint_time() {
    let mut log = Log::new();
    assert_eq!(log.operate(claim("a", 1, START)), OperationReply::Granted);
    assert_eq!(log.operate(claim("a", 2, START + 50)), OperationReply::Held);
    let later = START + RETENTION + 40;
    assert_eq!(
        log.operate_at(later, claim("a", 3, START + 50)),
        OperationReply::Held
    );
}
