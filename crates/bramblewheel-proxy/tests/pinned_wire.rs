//! Headers between daemons don't change, in either direction: during a rolling restart, versions are mixed.

use bramblewheel_decisions::directory::LoadReport;
use bramblewheel_decisions::endpoint_limit::KnownLimit;
use bramblewheel_decisions::load_statement::{LoadStatement, StatedLoad};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_proxy::wire::{AnswerReport, AttemptResult, Handover, LimitReport};
use bramblewheel_types::{EndpointId, ServiceName};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

/// A request with all headers.
const FULL_REQUEST: [(&str, &str); 15] = [
    ("bw-endpoint", "kassa-1@1796256413478"),
    ("bw-rank", "1"),
    ("bw-root-rank", "2"),
    ("bw-route", "77"),
    ("bw-objective-ms", "300"),
    ("bw-remaining-ms", "700"),
    ("bw-wait-ms", "180"),
    ("bw-caller", "pris"),
    ("bw-for-tenant", "stall-7"),
    ("bw-tree-tenant", "hall-3"),
    ("bw-content", "0123456789abcdef"),
    ("bw-nested", "1"),
    ("bw-repeated", "125"),
    ("bw-known-rate-limit", "12.7,850"),
    ("x-other", "stays"),
];

/// A request with the required headers only.
const LEAST_REQUEST: [(&str, &str); 7] = [
    ("bw-endpoint", "kassa-1"),
    ("bw-rank", "1"),
    ("bw-root-rank", "1"),
    ("bw-route", "77"),
    ("bw-objective-ms", "300"),
    ("bw-remaining-ms", "700"),
    ("bw-wait-ms", "180"),
];

/// An answer with all headers.
const FULL_ANSWER: [(&str, &str); 8] = [
    ("bw-result", "answered"),
    ("bw-load", "3,18,4"),
    ("bw-nested", "1"),
    ("bw-short-below", "lager"),
    ("bw-bound-used", "42"),
    ("bw-known-rate-limit", "0.5,20"),
    ("bw-drain-notice", "1"),
    ("bw-stated-load", "5,1,18,250,40"),
];

const RESULTS: [(AttemptResult, &str); 9] = [
    (AttemptResult::Answered, "answered"),
    (AttemptResult::Rejected, "rejected"),
    (AttemptResult::OtherEndpoint, "other-endpoint"),
    (AttemptResult::Full, "full"),
    (AttemptResult::Quarantined, "quarantined"),
    (AttemptResult::Leaving, "leaving"),
    (AttemptResult::Unreachable, "unreachable"),
    (AttemptResult::Lost, "lost"),
    (AttemptResult::Silent, "silent"),
];

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    let field = |(name, value): &(&'static str, &'static str)| {
        let name = HeaderName::from_static(name);
        (name, HeaderValue::from_static(value))
    };
    fields.iter().map(field).collect()
}

fn full_handover() -> Handover {
    Handover {
        endpoint: EndpointId::new("kassa-1")
            .expect("a name")
            .started_at(Some(1_796_256_413_478)),
        rank: 1,
        root_rank: 2,
        class: RequestClass(77),
        objective: Duration::from_millis(300),
        remaining: Duration::from_millis(700),
        wait: Duration::from_millis(180),
        caller: Some(HeaderValue::from_static("pris")),
        is_likely_nested: true,
        tenant: Some(HeaderValue::from_static("stall-7")),
        tree_tenant: Some(HeaderValue::from_static("hall-3")),
        content: Some(ContentDigest(0x0123_4567_89ab_cdef)),
        retried_share: 0.125,
        known_limit: Some(known_limit("12.7", 850)),
    }
}

fn known_limit(limit: &str, age_millis: u64) -> KnownLimit {
    KnownLimit {
        limit: limit.parse().expect("a limit"),
        age: Duration::from_millis(age_millis),
    }
}

fn minimal_handover() -> Handover {
    Handover {
        endpoint: EndpointId::new("kassa-1").expect("a name"),
        root_rank: 1,
        caller: None,
        is_likely_nested: false,
        tenant: None,
        tree_tenant: None,
        content: None,
        retried_share: 0.0,
        known_limit: None,
        ..full_handover()
    }
}

fn full_report() -> AnswerReport {
    AnswerReport {
        load: Some(LoadReport {
            busy: 3,
            limit: 18,
            failed_percent: 4,
        }),
        is_likely_nested: true,
        full_downstream: Some(ServiceName::new("lager").expect("a name")),
        bound_used_percent: 42,
        rate_limit: Some(LimitReport::Limited(known_limit("0.5", 20))),
        is_draining: true,
        needed_time: Duration::ZERO,
        stated_load: Some(StatedLoad {
            statement: LoadStatement {
                running: 5,
                waiting: 1,
                slots: 18,
                work_percent: 250,
            },
            age: Duration::from_millis(40),
        }),
    }
}

#[test]
fn written_requests_match_the_recorded_headers() {
    let mut written = headers(&[("x-other", "stays")]);
    full_handover().write(&mut written);
    assert_eq!(written, headers(&FULL_REQUEST));
    let mut written = HeaderMap::new();
    minimal_handover().write(&mut written);
    assert_eq!(written, headers(&LEAST_REQUEST));
}

#[test]
fn recorded_request_headers_can_be_read() {
    let mut recorded = headers(&FULL_REQUEST);
    assert_eq!(Handover::take(&mut recorded), Ok(full_handover()));
    assert_eq!(recorded, headers(&[("x-other", "stays")]));
    let mut recorded = headers(&LEAST_REQUEST);
    assert_eq!(Handover::take(&mut recorded), Ok(minimal_handover()));
}

/// Daemons of earlier versions don't send the root rank.
#[test]
fn missing_root_rank_defaults_to_the_rank_of_the_request() {
    let mut recorded = headers(&LEAST_REQUEST);
    recorded.remove("bw-root-rank");
    assert_eq!(Handover::take(&mut recorded), Ok(minimal_handover()));
}

#[test]
fn written_answers_match_the_recorded_headers_and_can_be_read() {
    let mut written = HeaderMap::new();
    full_report().write(AttemptResult::Answered, &mut written);
    assert_eq!(written, headers(&FULL_ANSWER));
    let mut recorded = headers(&FULL_ANSWER);
    let taken = AnswerReport::take(&mut recorded);
    assert_eq!(taken, Some((AttemptResult::Answered, full_report())));
}

/// Daemons of earlier versions don't know this result and read that the endpoint is full.
#[test]
fn refusal_for_the_rate_limit_reads_as_full_at_earlier_versions() {
    let recorded = [("bw-result", "full"), ("bw-rate-limited", "1")];
    let mut written = HeaderMap::new();
    AnswerReport::default().write(AttemptResult::RateLimited, &mut written);
    assert_eq!(written, headers(&recorded));
    let taken = AnswerReport::take(&mut headers(&recorded));
    let expected = (AttemptResult::RateLimited, AnswerReport::default());
    assert_eq!(taken, Some(expected));
}

/// Daemons of earlier versions don't know this result and read that the endpoint is full.
#[test]
fn refusal_for_lack_of_time_reads_as_full_at_earlier_versions() {
    let report = AnswerReport {
        needed_time: Duration::from_millis(35),
        ..AnswerReport::default()
    };
    let recorded = [("bw-result", "full"), ("bw-out-of-time", "35")];
    let mut written = HeaderMap::new();
    report.write(AttemptResult::OutOfTime, &mut written);
    assert_eq!(written, headers(&recorded));
    let taken = AnswerReport::take(&mut headers(&recorded));
    assert_eq!(taken, Some((AttemptResult::OutOfTime, report)));
}

#[test]
fn unreadable_needed_time_counts_as_unknown() {
    for stated in ["-1", "soon", "1.5", "99999999999999999999"] {
        let mut recorded = headers(&[("bw-result", "full")]);
        let stated = HeaderValue::from_static(stated);
        recorded.insert("bw-out-of-time", stated);
        let taken = AnswerReport::take(&mut recorded);
        let expected = (AttemptResult::OutOfTime, AnswerReport::default());
        assert_eq!(taken, Some(expected));
    }
}

#[test]
fn daemon_without_a_limit_tells_a_sender_that_knows_one() {
    let report = AnswerReport {
        rate_limit: Some(LimitReport::Unlimited),
        ..AnswerReport::default()
    };
    let recorded = [("bw-result", "answered"), ("bw-known-rate-limit", "none")];
    let mut written = HeaderMap::new();
    report.write(AttemptResult::Answered, &mut written);
    assert_eq!(written, headers(&recorded));
    let taken = AnswerReport::take(&mut headers(&recorded));
    assert_eq!(taken, Some((AttemptResult::Answered, report)));
}

#[test]
fn result_values_are_unchanged() {
    for (result, value) in RESULTS {
        let mut written = HeaderMap::new();
        AnswerReport::default().write(result, &mut written);
        assert_eq!(written, headers(&[("bw-result", value)]));
        let taken = AnswerReport::take(&mut headers(&[("bw-result", value)]));
        assert_eq!(taken, Some((result, AnswerReport::default())));
    }
}
