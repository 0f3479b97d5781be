//! What a stopping daemon takes, over all of its grace time.

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
fn its_times_follow_one_another_whatever_the_grace_time() {
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

/// Whatever is believed of a route, a request of a caller that might outlast the daemon is not taken in the second half.
#[test]
fn no_belief_alone_lets_a_request_in_that_might_not_end() {
    let schedule = StopSchedule::new(at(0), Duration::from_secs(6));
    for now in (3_000..6_000).step_by(50) {
        for allowed in (100..8_000).step_by(100) {
            let late = request(now + allowed);
            let believed = LateRequest {
                is_likely_nested: true,
                ..late
            };
            let decisions = [late, believed].map(|late| schedule.decide(at(now), late));
            let ends_in_time = at(now + allowed) <= schedule.answers_by;
            let expected = if ends_in_time {
                LateDecision::EndsInTime
            } else {
                LateDecision::Refused
            };
            assert_eq!(decisions, [expected; 2], "{now} {allowed}");
        }
    }
}

#[test]
fn calls_of_requests_in_progress_are_taken_until_the_end() {
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
    let of_a_caller = LateRequest {
        is_likely_nested: false,
        ..with_less_time
    };
    let decision = schedule.decide(at(4_900), of_a_caller);
    assert_eq!(decision, LateDecision::Refused);
}

#[test]
fn everything_is_taken_in_the_first_half() {
    let schedule = StopSchedule::new(at(0), Duration::from_secs(6));
    let decision = schedule.decide(at(2_999), request(60_000));
    assert_eq!(decision, LateDecision::Early);
}
