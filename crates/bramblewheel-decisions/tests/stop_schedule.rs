//! Requests that a stopping daemon admits during its grace time.

use bramblewheel_decisions::stop_schedule::{LateDecision, LateRequest, StopSchedule};
use bramblewheel_types::Timestamp;
use std::time::Duration;

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

fn request(deadline: u64) -> LateRequest {
    LateRequest {
        deadline: at(deadline),
        has_parent: false,
        may_have_parent: false,
        is_likely_nested: false,
    }
}

#[test]
fn schedule_times_are_in_order_for_any_grace_time() {
    for grace in [0, 100, 400, 1_000, 2_000, 3_000, 4_000, 6_000, 30_000] {
        let schedule = StopSchedule::new(at(1_000), Duration::from_millis(grace));
        assert!(
            schedule.not_ready_noticed <= schedule.listening_until,
            "{schedule:?}"
        );
        assert!(
            schedule.admitting_until <= schedule.latest_send,
            "{schedule:?}"
        );
        assert!(schedule.latest_send <= schedule.answers_by, "{schedule:?}");
        assert!(schedule.answers_by <= schedule.closed_by, "{schedule:?}");
        assert!(schedule.closed_by <= at(1_000 + grace), "{schedule:?}");
    }
}

/// Whether a route is inferred to be nested or not, a caller's request that might outlast the daemon is not admitted in
/// the second half.
#[test]
fn inferred_nesting_alone_does_not_admit_a_request_that_might_not_end() {
    let schedule = StopSchedule::new(at(0), Duration::from_secs(6));
    for now in (3_000..6_000).step_by(50) {
        for time_left in (100..8_000).step_by(100) {
            let late = request(now + time_left);
            let likely_nested = LateRequest {
                is_likely_nested: true,
                ..late
            };
            let decisions = [late, likely_nested].map(|late| schedule.decide(at(now), late));
            let ends_in_time = at(now + time_left) <= schedule.answers_by;
            let expected = if ends_in_time {
                LateDecision::EndsInTime
            } else {
                LateDecision::Refused
            };
            assert_eq!(decisions, [expected; 2], "{now} {time_left}");
        }
    }
}

#[test]
fn calls_of_requests_in_progress_are_admitted_until_the_end() {
    let schedule = StopSchedule::new(at(0), Duration::from_secs(6));
    let call = LateRequest {
        has_parent: true,
        may_have_parent: true,
        ..request(5_900)
    };
    let with_less_time = LateRequest {
        has_parent: false,
        is_likely_nested: true,
        ..call
    };
    for late in [call, with_less_time] {
        let decision = schedule.decide(at(4_900), late);
        assert_eq!(decision, LateDecision::OfRequestInProgress);
    }
    let from_caller = LateRequest {
        is_likely_nested: false,
        ..with_less_time
    };
    let decision = schedule.decide(at(4_900), from_caller);
    assert_eq!(decision, LateDecision::Refused);
}

#[test]
fn all_requests_are_admitted_in_the_first_half() {
    let schedule = StopSchedule::new(at(0), Duration::from_secs(6));
    let decision = schedule.decide(at(2_999), request(60_000));
    assert_eq!(decision, LateDecision::Early);
}

/// Guards against requests that are admitted late in a long grace time and given up at its end while they run.
#[test]
fn request_sent_after_three_seconds_ends_before_the_last_answers_for_any_grace_time() {
    for grace in [4_000, 6_000, 8_000, 10_000, 30_000] {
        let schedule = StopSchedule::new(at(0), Duration::from_millis(grace));
        for now in (3_000..grace).step_by(50) {
            let late = request(grace);
            let decision = schedule.decide(at(now), late);
            assert_eq!(decision, LateDecision::Refused, "{grace} {now}");
        }
    }
}
