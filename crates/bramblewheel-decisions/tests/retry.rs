//! What becomes of a request after an attempt without a success: each guard, and which of two weighs more.

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

/// An attempt that ended so, of a repeatable request of the second route rank that nothing keeps from another attempt.
fn ended(result: AttemptResult) -> FailedAttempt {
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
        is_suspect: false,
        service: ServiceState {
            is_widely_refused: false,
            has_no_capacity_downstream: false,
            failed_share: 0.0,
        },
    }
}

/// The same with one thing changed.
fn with(result: AttemptResult, change: impl FnOnce(&mut FailedAttempt)) -> FailedAttempt {
    let mut attempt = ended(result);
    change(&mut attempt);
    attempt
}

fn check(cases: &[(&str, FailedAttempt, AfterFailure)]) {
    for (case, attempt, expected) in cases {
        assert_eq!(after_failure(attempt), *expected, "{case}");
    }
}

#[test]
fn without_a_reason_to_give_up_a_request_is_attempted_again() {
    use AfterFailure::{Reroute, Retry};
    use AttemptResult as Result;
    check(&[
        (
            "failed",
            ended(Result::Answered),
            Retry(RetryReason::Failed),
        ),
        ("rejected", ended(Result::Rejected), Retry(ORDINARY)),
        ("other", ended(Result::OtherEndpoint), Retry(ORDINARY)),
        ("lost", ended(Result::Lost), Retry(ORDINARY)),
        ("silent", ended(Result::Silent), Retry(ORDINARY)),
        ("full", ended(Result::Full), Reroute),
        ("leaving", ended(Result::Leaving), Reroute),
        ("unreachable", ended(Result::Unreachable), Reroute),
    ]);
}

/// Of the most important route rank, whatever the tenant's.
#[test]
fn the_rank_of_the_tree_says_which_part_of_the_bound_a_retry_may_use() {
    for (root_rank, reason) in [(0, IMPORTANT), (1, ORDINARY), (1_024, IMPORTANT)] {
        let attempt = with(AttemptResult::Lost, |it| it.request.root_rank = root_rank);
        assert_eq!(after_failure(&attempt), AfterFailure::Retry(reason));
    }
}

#[test]
fn each_guard_gives_up_for_its_own_reason() {
    use AttemptResult as Result;
    let cases = [
        (
            with(Result::Full, |it| it.is_past_latest_send = true),
            GiveUp::Stopping,
        ),
        (
            with(Result::Leaving, |it| it.is_body_kept = false),
            GiveUp::BodyNotKept,
        ),
        (
            with(Result::Leaving, |it| {
                it.time_left = Duration::from_millis(19)
            }),
            GiveUp::NoTimeLeft,
        ),
        (ended(Result::Quarantined), GiveUp::Quarantined),
        (
            with(Result::Lost, |it| it.is_suspect = true),
            GiveUp::SuspectContent,
        ),
        (
            with(Result::Silent, |it| it.is_suspect = true),
            GiveUp::SuspectContent,
        ),
        (
            with(Result::Leaving, |it| it.counts.unavailable = 4),
            GiveUp::Unavailable,
        ),
        (
            with(Result::Unreachable, |it| it.counts.unavailable = 4),
            GiveUp::Unavailable,
        ),
        (
            with(Result::Full, |it| it.counts.found_full = 3),
            GiveUp::Full,
        ),
        (
            with(Result::Lost, |it| it.request.is_repeatable = false),
            GiveUp::MayHaveRun,
        ),
        (
            with(Result::Answered, |it| it.request.is_repeatable = false),
            GiveUp::MayHaveRun,
        ),
        (
            with(Result::Lost, |it| it.counts.arrived = 2),
            GiveUp::AttemptsUsedUp,
        ),
        (
            with(Result::Rejected, |it| it.counts.arrived = 2),
            GiveUp::AttemptsUsedUp,
        ),
        (
            with(Result::Answered, |it| {
                it.service.has_no_capacity_downstream = true
            }),
            GiveUp::NoCapacityDownstream,
        ),
        (
            with(Result::Answered, |it| it.service.failed_share = 0.2),
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
fn a_guard_holds_only_where_it_is_meant() {
    use AfterFailure::{Reroute, Retry};
    use AttemptResult as Result;
    check(&[
        (
            "a nested call goes on to the daemon's end",
            with(Result::Lost, |it| {
                it.is_past_latest_send = true;
                it.request.is_likely_nested = true;
            }),
            Retry(ORDINARY),
        ),
        (
            "a rejected request did not run under its content",
            with(Result::Rejected, |it| it.is_suspect = true),
            Retry(ORDINARY),
        ),
        (
            "three reroutes where nobody is there",
            with(Result::Leaving, |it| it.counts.unavailable = 3),
            Reroute,
        ),
        (
            "two reroutes where all is full",
            with(Result::Full, |it| it.counts.found_full = 2),
            Reroute,
        ),
        (
            "what has not run may run, repeatable or not",
            with(Result::Rejected, |it| it.request.is_repeatable = false),
            Retry(ORDINARY),
        ),
        (
            "what was used up before bounds no reroute",
            with(Result::Unreachable, |it| it.counts.arrived = 2),
            Reroute,
        ),
        (
            "full before bounds no retry",
            with(Result::Lost, |it| it.counts.found_full = 3),
            Retry(ORDINARY),
        ),
        (
            "few fail",
            with(Result::Answered, |it| it.service.failed_share = 0.19),
            Retry(RetryReason::Failed),
        ),
        (
            "failures of others say nothing of a lost answer",
            with(Result::Lost, |it| {
                it.service.failed_share = 1.0;
                it.service.has_no_capacity_downstream = true;
            }),
            Retry(ORDINARY),
        ),
    ]);
}

#[test]
fn where_endpoints_widely_refuse_one_reroute_is_left() {
    let full = |found_full| {
        let attempt = with(AttemptResult::Full, |it| {
            it.service.is_widely_refused = true;
            it.counts.found_full = found_full;
        });
        after_failure(&attempt)
    };
    assert_eq!(full(1), AfterFailure::Reroute);
    assert_eq!(full(2), AfterFailure::GiveUp(GiveUp::Full));
}

#[test]
fn a_rejected_nested_call_arrives_up_to_five_times() {
    let rejected = |arrived, max_attempts| {
        let attempt = with(AttemptResult::Rejected, |it| {
            it.request.is_likely_nested = true;
            it.request.max_attempts = max_attempts;
            it.counts.arrived = arrived;
        });
        after_failure(&attempt)
    };
    assert_eq!(rejected(4, 2), AfterFailure::Retry(ORDINARY));
    assert_eq!(rejected(5, 2), AfterFailure::GiveUp(GiveUp::AttemptsUsedUp));
    assert_eq!(rejected(5, 6), AfterFailure::Retry(ORDINARY));
}

/// With every guard true at once, the weightiest gives the reason; one after the other is taken away.
#[test]
fn guards_are_weighed_in_their_order() {
    let mut attempt = with(AttemptResult::Lost, |it| {
        it.is_past_latest_send = true;
        it.is_body_kept = false;
        it.time_left = Duration::ZERO;
        it.is_suspect = true;
        it.request.is_repeatable = false;
        it.counts.arrived = 9;
    });
    let mut reasons = Vec::new();
    let remedies: [fn(&mut FailedAttempt); 6] = [
        |it| it.is_past_latest_send = false,
        |it| it.is_body_kept = true,
        |it| it.time_left = Duration::from_secs(1),
        |it| it.is_suspect = false,
        |it| it.request.is_repeatable = true,
        |it| it.counts.arrived = 1,
    ];
    for remedy in remedies {
        reasons.push(after_failure(&attempt).as_str());
        remedy(&mut attempt);
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
fn attempts_are_counted_by_how_they_ended() {
    let mut counts = AttemptCounts::default();
    for result in AttemptResult::ALL {
        counts.record(result);
    }
    let expected = AttemptCounts {
        arrived: 5,
        unavailable: 2,
        found_full: 1,
    };
    assert_eq!(counts, expected);
}

#[test]
fn an_attempt_after_an_arrival_counts_as_a_whole_retry() {
    let mut counts = AttemptCounts::default();
    counts.record(AttemptResult::Leaving);
    assert!((counts.retried_share(0.25) - 0.25).abs() < f64::EPSILON);
    counts.record(AttemptResult::Lost);
    assert!((counts.retried_share(0.25) - 1.0).abs() < f64::EPSILON);
    assert!(counts.may_use_further_endpoint(2));
    assert!(!counts.may_use_further_endpoint(1));
}

#[test]
fn the_refusals_of_the_bound_have_reasons_of_their_own() {
    let used_up = BoundUse {
        service: ServiceName::new("kassa").expect("a name"),
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
