//! Headers between daemons: handovers and reports survive a round trip, and invalid ones are refused or ignored.

use bramblewheel_decisions::directory::LoadReport;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_proxy::wire::{AnswerReport, AttemptResult, Handover};
use bramblewheel_types::{EndpointId, ServiceName};
use http::{HeaderMap, HeaderValue};
use std::time::Duration;

fn handover() -> Handover {
    Handover {
        endpoint: EndpointId::new("kassa-1").expect("a name"),
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
        known_limit: None,
    }
}

fn report() -> AnswerReport {
    AnswerReport {
        load: Some(LoadReport {
            busy: 3,
            limit: 18,
            failed_percent: 4,
        }),
        is_likely_nested: true,
        full_downstream: Some(ServiceName::new("lager").expect("a name")),
        bound_used_percent: 42,
        rate_limit: None,
        is_draining: false,
        needed_time: Duration::ZERO,
        stated_load: None,
    }
}

#[test]
fn handover_round_trip_preserves_all_fields() {
    let mut headers = HeaderMap::new();
    handover().write(&mut headers);
    assert!(Handover::is_present(&headers));
    assert_eq!(Handover::take(&mut headers), Ok(handover()));
    assert!(headers.is_empty(), "{headers:?}");
}

/// A caller must not be able to set headers that its daemon omits.
#[test]
fn handover_without_tenant_and_caller_removes_headers_set_by_the_caller() {
    let mut headers = HeaderMap::new();
    headers.insert("bw-for-tenant", HeaderValue::from_static("somebody"));
    headers.insert("bw-tree-tenant", HeaderValue::from_static("somebody"));
    headers.insert("bw-caller", HeaderValue::from_static("somebody"));
    let anonymous = Handover {
        tenant: None,
        tree_tenant: None,
        caller: None,
        ..handover()
    };
    anonymous.write(&mut headers);
    assert_eq!(Handover::take(&mut headers), Ok(anonymous));
}

/// A caller must not be able to choose the tenant whose share its request counts towards.
#[test]
fn tenants_set_by_a_caller_are_stripped() {
    let mut headers = HeaderMap::new();
    handover().write(&mut headers);
    Handover::strip(&mut headers);
    assert!(headers.is_empty(), "{headers:?}");
}

#[test]
fn own_tenant_of_a_request_goes_before_that_of_its_call_tree() {
    let own = handover();
    assert_eq!(own.sharing_tenant(), own.tenant.as_ref());
    let call = Handover {
        tenant: None,
        ..handover()
    };
    assert_eq!(call.sharing_tenant(), call.tree_tenant.as_ref());
}

#[test]
fn handover_with_an_invalid_root_rank_is_refused() {
    let mut headers = HeaderMap::new();
    handover().write(&mut headers);
    headers.insert("bw-root-rank", HeaderValue::from_static("-1"));
    let error = Handover::take(&mut headers).expect_err("the root rank is invalid");
    assert!(error.to_string().contains("bw-root-rank"), "{error}");
}

#[test]
fn answer_report_round_trip_preserves_all_fields() {
    for report in [report(), AnswerReport::default()] {
        let mut headers = HeaderMap::new();
        report.write(AttemptResult::Answered, &mut headers);
        let taken = AnswerReport::take(&mut headers);
        assert_eq!(taken, Some((AttemptResult::Answered, report)));
        assert!(headers.is_empty(), "{headers:?}");
    }
}

#[test]
fn missing_root_rank_defaults_to_the_rank_of_the_request() {
    let mut headers = HeaderMap::new();
    handover().write(&mut headers);
    headers.remove("bw-root-rank");
    let taken = Handover::take(&mut headers).expect("valid");
    assert_eq!(taken.root_rank, taken.rank);
}

#[test]
fn invalid_report_headers_count_as_missing() {
    let mut headers = HeaderMap::new();
    report().write(AttemptResult::Full, &mut headers);
    headers.insert("bw-short-below", HeaderValue::from_static("no name at all"));
    headers.insert("bw-load", HeaderValue::from_static("many"));
    let (result, report) = AnswerReport::take(&mut headers).expect("a result");
    assert_eq!(result, AttemptResult::Full);
    assert_eq!(report.full_downstream, None);
    assert_eq!(report.load, None);
}
