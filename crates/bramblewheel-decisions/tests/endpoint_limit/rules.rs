//! Single rules: which statement is in force, and what the bucket allows.

use bramblewheel_decisions::endpoint_limit::{EndpointLimit, KnownLimit, LimitChange};
use bramblewheel_types::{RateLimit, Timestamp};
use std::time::Duration;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn limit(text: &str) -> RateLimit {
    text.parse().expect("a limit")
}

fn known(text: &str, age_millis: u64) -> KnownLimit {
    KnownLimit {
        limit: limit(text),
        age: Duration::from_millis(age_millis),
    }
}

/// Number of requests that are sent within a second from `from` on, with one offered per millisecond.
fn sent_in_a_second(endpoint: &mut EndpointLimit, from: u64, is_exempt: bool) -> usize {
    let offered = from..from + 1_000;
    offered
        .filter(|millis| endpoint.take(at(*millis), is_exempt).is_ok())
        .count()
}

#[test]
fn endpoint_without_a_limit_gets_all_requests() {
    let mut endpoint = EndpointLimit::default();
    endpoint.record_answer(at(0), at(0), None);
    assert_eq!(sent_in_a_second(&mut endpoint, 0, false), 1_000);
}

#[test]
fn limit_holds_from_the_first_statement_without_a_burst() {
    let mut endpoint = EndpointLimit::default();
    let change = endpoint.record_answer(at(100), at(0), Some(limit("10")));
    assert_eq!(change, Some(LimitChange::Stated(limit("10"))));
    assert_eq!(sent_in_a_second(&mut endpoint, 100, true), 9);
}

#[test]
fn stating_the_limit_again_or_after_a_pause_yields_no_burst() {
    let mut endpoint = EndpointLimit::default();
    let mut sent = 0;
    for round in 0..20 {
        let begin = round * 50;
        endpoint.record_answer(at(begin), at(begin), Some(limit("10")));
        sent += usize::from(endpoint.take(at(begin + 10), true).is_ok());
        endpoint.record_answer(at(begin + 20), at(begin + 10), None);
    }
    assert_eq!(sent, 0, "each statement begins with an empty bucket");
}

/// Guards against a bucket that lets everything through that did not run during a suspension.
#[test]
fn bucket_holds_one_burst_after_a_suspension() {
    let mut endpoint = EndpointLimit::default();
    endpoint.record_answer(at(0), at(0), Some(limit("10")));
    let sent = (0..100).filter(|_| endpoint.take(at(60_000), true).is_ok());
    assert_eq!(sent.count(), 3);
}

#[test]
fn last_token_is_left_to_exempt_requests() {
    let mut endpoint = EndpointLimit::default();
    endpoint.record_answer(at(0), at(0), Some(limit("1")));
    assert!(endpoint.take(at(1_000), false).is_err());
    assert!(endpoint.take(at(1_000), true).is_ok());
    assert!(endpoint.take(at(3_000), false).is_ok());
    let refusal = endpoint.take(at(3_000), false).expect_err("refused");
    assert_eq!(refusal.next_token, Duration::from_secs(1));
    assert_eq!(refusal.known, known("1", 3_000));
}

/// Guards against a limit that can never be lifted because nothing is sent.
#[test]
fn endpoint_with_limit_zero_gets_a_request_in_four_seconds() {
    let mut endpoint = EndpointLimit::default();
    endpoint.record_answer(at(0), at(0), Some(limit("0")));
    let sent = (0..40).filter(|second| endpoint.take(at(second * 1_000), true).is_ok());
    assert_eq!(sent.count(), 9);
}

/// Guards against an answer that was overtaken by a statement and lifts it.
#[test]
fn only_an_answer_to_a_later_request_lifts_the_limit() {
    let mut endpoint = EndpointLimit::default();
    endpoint.record_answer(at(100), at(50), Some(limit("10")));
    assert_eq!(endpoint.record_answer(at(200), at(90), None), None);
    assert!(endpoint.is_in_force());
    let lifted = endpoint.record_answer(at(300), at(101), None);
    assert_eq!(lifted, Some(LimitChange::Lifted(limit("10"))));
    assert!(!endpoint.is_in_force());
}

#[test]
fn overtaken_answer_lowers_the_limit_and_does_not_raise_it() {
    let mut endpoint = EndpointLimit::default();
    endpoint.record_answer(at(100), at(50), Some(limit("10")));
    assert_eq!(
        endpoint.record_answer(at(200), at(90), Some(limit("50"))),
        None
    );
    let lowered = endpoint.record_answer(at(201), at(91), Some(limit("5")));
    let expected = LimitChange::Changed {
        before: limit("10"),
        now: limit("5"),
    };
    assert_eq!(lowered, Some(expected));
    assert!(
        endpoint
            .record_answer(at(300), at(202), Some(limit("50")))
            .is_some()
    );
}

/// Guards against a limit that never rises while answers come more often than they take.
#[test]
fn raised_limit_is_in_force_although_answers_overlap() {
    let mut endpoint = EndpointLimit::default();
    endpoint.record_answer(at(1_000), at(0), Some(limit("5")));
    for millis in (1_010..1_400).step_by(10) {
        endpoint.record_answer(at(millis), at(millis - 200), Some(limit("50")));
    }
    let in_force = endpoint.in_force(at(1_400)).expect("in force");
    assert_eq!(in_force.limit, limit("50"));
}

#[test]
fn restarted_daemon_adopts_what_a_sender_knows_unless_an_answer_tells_more() {
    let mut endpoint = EndpointLimit::default();
    let adopted = endpoint.adopt(at(10), known("5", 60_000));
    assert_eq!(adopted, Some(LimitChange::Adopted(limit("5"))));
    assert!(endpoint.take(at(10), true).is_err());
    assert!(endpoint.record_answer(at(500), at(400), None).is_some());
    assert_eq!(endpoint.adopt(at(600), known("5", 60_000)), None);
    assert!(
        endpoint.adopt(at(600), known("5", 100)).is_some(),
        "stated later than the answer"
    );
}

#[test]
fn sender_can_only_make_the_daemon_more_careful() {
    let mut endpoint = EndpointLimit::default();
    endpoint.record_answer(at(0), at(0), Some(limit("5")));
    assert_eq!(endpoint.adopt(at(10), known("500", 0)), None);
    assert_eq!(
        endpoint.adopt(at(10), known("1", 0)),
        None,
        "it heard the endpoint itself"
    );
    let mut restarted = EndpointLimit::default();
    restarted.adopt(at(0), known("5", 0));
    assert_eq!(restarted.adopt(at(10), known("500", 0)), None);
    assert!(restarted.adopt(at(10), known("1", 0)).is_some());
}
