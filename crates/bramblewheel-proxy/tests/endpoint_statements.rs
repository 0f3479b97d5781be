//! What the head of an answer states of the endpoint: values that can't be read say nothing.

use bramblewheel_decisions::load_statement::InvalidLoadStatement;
use bramblewheel_proxy::Dialect;
use bramblewheel_proxy::dialect::{DrainStatement, EndpointStatement};
use bramblewheel_types::{InvalidRateLimit, RateLimit};
use http::{HeaderMap, HeaderName, HeaderValue};

const RATE_LIMIT: HeaderName = HeaderName::from_static("bw-rate-limit");
const DRAINING: HeaderName = HeaderName::from_static("bw-draining");
const LOAD: HeaderName = HeaderName::from_static("bw-endpoint-load");

fn statement(name: &HeaderName, values: &[&[u8]]) -> EndpointStatement {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).expect("allowed in a header");
        headers.append(name, value);
    }
    Dialect::default().statement(&headers)
}

fn stated_limit(values: &[&[u8]]) -> Result<Option<RateLimit>, InvalidRateLimit> {
    statement(&RATE_LIMIT, values).rate_limit
}

#[test]
fn decimal_number_is_a_rate_limit() {
    for (text, per_second) in [("12.7", 12.7), ("0", 0.0), ("0.3", 0.3), (" 50 ", 50.0)] {
        let limit = stated_limit(&[text.as_bytes()]).expect("readable");
        let limit = limit.expect("a limit").per_second();
        assert!((limit - per_second).abs() < f64::EPSILON, "{text}");
    }
    let same = stated_limit(&[b"2.5", b"2.50"]).expect("readable");
    assert!(same.is_some());
    assert_eq!(stated_limit(&[]), Ok(None));
}

#[test]
fn other_values_are_no_rate_limit() {
    let long = "1".repeat(10 * 1_024);
    let texts: [&[u8]; 14] = [
        b"", b" ", b"-1", b"-0", b"+1", b"NaN", b"inf", b"1e400", b"1e2", b"12,7", b"12.7.1",
        b"0x10", b"12.7/s", b"\xff",
    ];
    for text in texts {
        assert_eq!(
            stated_limit(&[text]),
            Err(InvalidRateLimit::NoNumber),
            "{text:?}"
        );
    }
    assert_eq!(
        stated_limit(&[long.as_bytes()]),
        Err(InvalidRateLimit::TooLong)
    );
    assert_eq!(
        stated_limit(&[b"3", b"4"]),
        Err(InvalidRateLimit::SeveralValues)
    );
    assert_eq!(stated_limit(&[b"3", b"x"]), Err(InvalidRateLimit::NoNumber));
}

#[test]
fn only_the_defined_value_is_a_drain_notice() {
    let drain = |values: &[&[u8]]| statement(&DRAINING, values).drain;
    assert_eq!(drain(&[]), DrainStatement::None);
    assert_eq!(drain(&[b"1"]), DrainStatement::Draining);
    for text in [&b""[..], b"0", b"2", b"true", b"11", b"\xff"] {
        assert_eq!(drain(&[text]), DrainStatement::Invalid, "{text:?}");
    }
    assert_eq!(drain(&[b"1", b"0"]), DrainStatement::Invalid);
}

/// Guards against a choice between two different statements in one response.
#[test]
fn several_loads_are_no_statement_unless_they_are_equal() {
    let load = |values: &[&[u8]]| statement(&LOAD, values).load;
    assert_eq!(load(&[]), Ok(None));
    assert_eq!(load(&[b"1,2,3"]), Ok(None));
    let same = load(&[b"1,2,3,110", b"1, 2, 3, 110"]).expect("readable");
    assert_eq!(same.map(|load| load.work_percent), Some(110));
    for other in [&b"1,2,3,120"[..], b"1,2,3"] {
        let stated = load(&[b"1,2,3,110", other]);
        assert_eq!(stated, Err(InvalidLoadStatement::SeveralValues));
    }
    assert_eq!(load(&[b"\xff"]), Err(InvalidLoadStatement::NoNumbers));
}
