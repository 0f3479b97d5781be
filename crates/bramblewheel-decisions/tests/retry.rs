//! Decisions after an attempt without a success: each reason to give up, and their order of precedence.

use bramblewheel_decisions::attempt_result::AttemptResult;
use bramblewheel_decisions::retry::{
    AfterFailure, AttemptCounts, FailedAttempt, GiveUp, RetriedRequest, ServiceState, after_failure,
};
use bramblewheel_decisions::retry_bound::{RetryDecision, RetryReason};
use bramblewheel_decisions::retry_budget::BoundUse;
use bramblewheel_types::ServiceName;
use std::time::Duration;

const ORDINARY: RetryReason = RetryReason::Unanswered {
    is_important: false,
};
const IMPORTANT: RetryReason = RetryReason::Unanswered { is_important: true };

/// An attempt with this result, of a repeatable request of the second route rank that has no reason to give up.
fn attempt(result: AttemptResult) -> FailedAttempt {
    let mut counts = AttemptCounts::default();
    counts.record(result);
    FailedAttempt {
        result,
        request: RetriedRequest {
            is_repeatable: true,
            max_attempts: 2,
            is_likely_nested: false,
            root_rank: 1,
        },
        counts,
        is_past_latest_send: false,
        is_body_kept: true,
        time_left: Duration::from_millis(20),
        needed_time: Duration::ZERO,
        is_suspect: false,
        service: ServiceState {
            is_widely_refused: false,
            has_no_capacity_downstream: false,
            failed_share: 0.0,
        },
    }
}

/// The same attempt, modified by `change`.
fn with(result: AttemptResult, change: impl FnOnce(&mut FailedAttempt)) -> FailedAttempt {
    let mut attempt = attempt(result);
    change(&mut attempt);
    attempt
}

fn check(cases: &[(&str, FailedAttempt, AfterFailure)]) {
    for (case, attempt, expected) in cases {
        assert_eq!(after_failure(attempt), *expected, "{case}");
    }
}

#[test]
fn request_is_attempted_again_without_a_reason_to_give_up() {
    use AfterFailure::{Reroute, Retry};
    use AttemptResult as Result;
    check(&[
        (
            "failed",
            attempt(Result::Answered),
            Retry(RetryReason::Failed),
        ),
        ("rejected", attempt(Result::Rejected), Retry(ORDINARY)),
        ("other", attempt(Result::OtherEndpoint), Retry(ORDINARY)),
        ("lost", attempt(Result::Lost), Retry(ORDINARY)),
        ("silent", attempt(Result::Silent), Retry(ORDINARY)),
        ("full", attempt(Result::Full), Reroute),
        ("out of time", attempt(Result::OutOfTime), Reroute),
        ("leaving", attempt(Result::Leaving), Reroute),
        ("unreachable", attempt(Result::Unreachable), Reroute),
    ]);
}

/// Requests of the most important route rank are important, whatever the tenant's rank.
#[test]
fn root_rank_decides_which_part_of_the_bound_a_retry_may_use() {
    for (root_rank, reason) in [(0, IMPORTANT), (1, ORDINARY), (1_024, IMPORTANT)] {
        let attempt = with(AttemptResult::Lost, |failed| {
            failed.request.root_rank = root_rank
        });
        assert_eq!(after_failure(&attempt), AfterFailure::Retry(reason));
    }
}

#[test]
fn each_condition_gives_up_with_its_own_reason() {
    use AttemptResult as Result;
    let cases = [
        (
            with(Result::Full, |failed| failed.is_past_latest_send = true),
            GiveUp::Stopping,
        ),
        (
            with(Result::Leaving, |failed| failed.is_body_kept = false),
            GiveUp::BodyNotKept,
        ),
        (
            with(Result::Leaving, |failed| {
                failed.time_left = Duration::from_millis(19)
            }),
            GiveUp::NoTimeLeft,
        ),
        (attempt(Result::Quarantined), GiveUp::Quarantined),
        (
            with(Result::Lost, |failed| failed.is_suspect = true),
            GiveUp::SuspectContent,
        ),
        (
            with(Result::Silent, |failed| failed.is_suspect = true),
            GiveUp::SuspectContent,
        ),
        (
            with(Result::Leaving, |failed| failed.counts.unavailable = 4),
            GiveUp::Unavailable,
        ),
        (
            with(Result::Unreachable, |failed| failed.counts.unavailable = 4),
            GiveUp::Unavailable,
        ),
        (
            with(Result::Full, |failed| failed.counts.found_full = 3),
            GiveUp::Full,
        ),
        (
            with(Result::OutOfTime, |failed| failed.counts.out_of_time = 3),
            GiveUp::OutOfTime,
        ),
        (
            with(Result::OutOfTime, |failed| {
                failed.needed_time = Duration::from_millis(21);
            }),
            GiveUp::NoTimeLeft,
        ),
        (
            with(Result::Lost, |failed| failed.request.is_repeatable = false),
            GiveUp::MayHaveRun,
        ),
        (
            with(Result::Answered, |failed| {
                failed.request.is_repeatable = false
            }),
            GiveUp::MayHaveRun,
        ),
        (
            with(Result::Lost, |failed| failed.counts.arrived = 2),
            GiveUp::AttemptsUsedUp,
        ),
        (
            with(Result::Rejected, |failed| failed.counts.arrived = 2),
            GiveUp::AttemptsUsedUp,
        ),
        (
            with(Result::Answered, |failed| {
                failed.service.has_no_capacity_downstream = true
            }),
            GiveUp::NoCapacityDownstream,
        ),
        (
            with(Result::Answered, |failed| failed.service.failed_share = 0.2),
            GiveUp::ManyFail,
        ),
    ];
    for (attempt, reason) in cases {
        assert_eq!(
            after_failure(&attempt),
            AfterFailure::GiveUp(reason),
            "{attempt:?}"
        );
    }
}

#[test]
fn conditions_do_not_apply_outside_their_scope() {
    use AfterFailure::{Reroute, Retry};
    use AttemptResult as Result;
    check(&[
        (
            "a nested call is retried until the daemon exits",
            with(Result::Lost, |failed| {
                failed.is_past_latest_send = true;
                failed.request.is_likely_nested = true;
            }),
            Retry(ORDINARY),
        ),
        (
            "a rejected request has not run",
            with(Result::Rejected, |failed| failed.is_suspect = true),
            Retry(ORDINARY),
        ),
        (
            "three reroutes if endpoints are unavailable",
            with(Result::Leaving, |failed| failed.counts.unavailable = 3),
            Reroute,
        ),
        (
            "two reroutes if endpoints are full",
            with(Result::Full, |failed| failed.counts.found_full = 2),
            Reroute,
        ),
        (
            "a request that has not run may be retried even if it is not repeatable",
            with(Result::Rejected, |failed| {
                failed.request.is_repeatable = false
            }),
            Retry(ORDINARY),
        ),
        (
            "used up attempts do not limit reroutes",
            with(Result::Unreachable, |failed| failed.counts.arrived = 2),
            Reroute,
        ),
        (
            "earlier full endpoints do not limit retries",
            with(Result::Lost, |failed| failed.counts.found_full = 3),
            Retry(ORDINARY),
        ),
        (
            "few requests fail",
            with(Result::Answered, |failed| {
                failed.service.failed_share = 0.19
            }),
            Retry(RetryReason::Failed),
        ),
        (
            "failures of other requests do not affect a lost answer",
            with(Result::Lost, |failed| {
                failed.service.failed_share = 1.0;
                failed.service.has_no_capacity_downstream = true;
            }),
            Retry(ORDINARY),
        ),
    ]);
}

#[test]
fn only_one_reroute_is_allowed_if_endpoints_widely_refuse() {
    let full = |found_full| {
        let attempt = with(AttemptResult::Full, |failed| {
            failed.service.is_widely_refused = true;
            failed.counts.found_full = found_full;
        });
        after_failure(&attempt)
    };
    assert_eq!(full(1), AfterFailure::Reroute);
    assert_eq!(full(2), AfterFailure::GiveUp(GiveUp::Full));
}

#[test]
fn rejected_nested_call_is_sent_up_to_five_times() {
    let rejected = |arrived, max_attempts| {
        let attempt = with(AttemptResult::Rejected, |failed| {
            failed.request.is_likely_nested = true;
            failed.request.max_attempts = max_attempts;
            failed.counts.arrived = arrived;
        });
        after_failure(&attempt)
    };
    assert_eq!(rejected(4, 2), AfterFailure::Retry(ORDINARY));
    assert_eq!(rejected(5, 2), AfterFailure::GiveUp(GiveUp::AttemptsUsedUp));
    assert_eq!(rejected(5, 6), AfterFailure::Retry(ORDINARY));
}

/// If several reasons to give up apply, the first one is given; they are removed one by one.
#[test]
fn reasons_to_give_up_apply_in_order() {
    let mut attempt = with(AttemptResult::Lost, |failed| {
        failed.is_past_latest_send = true;
        failed.is_body_kept = false;
        failed.time_left = Duration::ZERO;
        failed.is_suspect = true;
        failed.request.is_repeatable = false;
        failed.counts.arrived = 9;
    });
    let mut reasons = Vec::new();
    let fixes: [fn(&mut FailedAttempt); 6] = [
        |failed| failed.is_past_latest_send = false,
        |failed| failed.is_body_kept = true,
        |failed| failed.time_left = Duration::from_secs(1),
        |failed| failed.is_suspect = false,
        |failed| failed.request.is_repeatable = true,
        |failed| failed.counts.arrived = 1,
    ];
    for fix in fixes {
        reasons.push(after_failure(&attempt).as_str());
        fix(&mut attempt);
    }
    let expected = [
        "stopping",
        "body-not-kept",
        "no-time-left",
        "suspect-content",
        "may-have-run",
        "attempts-used-up",
    ];
    assert_eq!(reasons, expected);
    assert_eq!(after_failure(&attempt), AfterFailure::Retry(ORDINARY));
}

#[test]
fn attempts_are_counted_by_result() {
    let mut counts = AttemptCounts::default();
    for result in AttemptResult::ALL {
        counts.record(result);
    }
    let expected = AttemptCounts {
        arrived: 5,
        unavailable: 2,
        found_full: 1,
        rate_limited: 1,
        out_of_time: 1,
    };
    assert_eq!(counts, expected);
}

#[test]
fn attempt_after_an_arrival_counts_as_a_whole_retry() {
    let mut counts = AttemptCounts::default();
    counts.record(AttemptResult::Leaving);
    assert!((counts.retried_share(0.25) - 0.25).abs() < f64::EPSILON);
    counts.record(AttemptResult::Lost);
    assert!((counts.retried_share(0.25) - 1.0).abs() < f64::EPSILON);
    assert!(counts.may_use_further_endpoint(2));
    assert!(!counts.may_use_further_endpoint(1));
}

#[test]
fn refusals_of_the_retry_bound_have_their_own_reasons() {
    let used_up = BoundUse {
        service: ServiceName::new("kassa").expect("valid name"),
        first_sends: 10.0,
        retries: 2.0,
        calls_of_retried_runs: 0.0,
        allowed: 2.0,
        allowed_for_calls: 2.5,
    };
    let downstream = RetryDecision::UsedDownstream { part: 0.7 };
    let here = RetryDecision::UsedUp(used_up);
    assert_eq!(GiveUp::from_bound(&RetryDecision::Allowed), None);
    assert_eq!(
        GiveUp::from_bound(&downstream),
        Some(GiveUp::BoundUsedDownstream)
    );
    assert_eq!(GiveUp::from_bound(&here), Some(GiveUp::BoundUsedHere));
}
