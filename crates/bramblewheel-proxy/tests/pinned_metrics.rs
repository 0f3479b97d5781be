//! Names and labels of the metrics don't change: users' dashboards and alerts depend on them.

use bramblewheel_decisions::admission::Displacement;
use bramblewheel_decisions::machine_identity::IdentityMismatch;
use bramblewheel_decisions::retry_budget::BoundUse;
use bramblewheel_proxy::http::ahead::AheadEvent;
use bramblewheel_proxy::in_progress::{Sender, Stage};
use bramblewheel_proxy::metrics::Metrics;
use bramblewheel_proxy::wire::AttemptResult;
use bramblewheel_types::{ServiceName, TenantName};
use std::time::Duration;

/// Metrics of a daemon and their types, sorted by name.
const METRICS: [&str; 38] = [
    "bramblewheel_answers_after_silence counter",
    "bramblewheel_attempts counter",
    "bramblewheel_cancelled counter",
    "bramblewheel_cut_off counter",
    "bramblewheel_displaced counter",
    "bramblewheel_endpoint_ends counter",
    "bramblewheel_has_lease gauge",
    "bramblewheel_identity_mismatches counter",
    "bramblewheel_inbound counter",
    "bramblewheel_invalid_statements counter",
    "bramblewheel_lost_with_endpoints counter",
    "bramblewheel_over_budget counter",
    "bramblewheel_over_quota counter",
    "bramblewheel_overdue_answers counter",
    "bramblewheel_quarantined counter",
    "bramblewheel_quarantined_contents gauge",
    "bramblewheel_rate_limited counter",
    "bramblewheel_rate_limits_in_force gauge",
    "bramblewheel_refused_calls_of_repeats counter",
    "bramblewheel_refused_early counter",
    "bramblewheel_repeated_runs counter",
    "bramblewheel_repeats counter",
    "bramblewheel_request_seconds histogram",
    "bramblewheel_requests counter",
    "bramblewheel_requests_ahead counter",
    "bramblewheel_retry_bound_allowed gauge",
    "bramblewheel_retry_bound_used gauge",
    "bramblewheel_sent_under_rate_limit counter",
    "bramblewheel_stated_work_percent gauge",
    "bramblewheel_table_version gauge",
    "bramblewheel_tenant_admitted gauge",
    "bramblewheel_tenant_limit gauge",
    "bramblewheel_timer_lateness_seconds histogram",
    "bramblewheel_unauthorized counter",
    "bramblewheel_unknown_callers counter",
    "bramblewheel_unreadable counter",
    "bramblewheel_unrecorded counter",
    "bramblewheel_without_lease counter",
];

/// One line of each metric that has labels.
const LABELLED: [&str; 18] = [
    "bramblewheel_requests_total{route=\"pay\",outcome=\"answered\"} 1",
    "bramblewheel_request_seconds_bucket{le=\"0.05\",route=\"pay\"} 1",
    "bramblewheel_attempts_total{result=\"full\"} 1",
    "bramblewheel_requests_ahead_total{event=\"started\"} 1",
    "bramblewheel_answers_after_silence_total{result=\"answered\"} 1",
    "bramblewheel_timer_lateness_seconds_bucket{le=\"0.1\"} 1",
    "bramblewheel_displaced_total{by=\"tenant\"} 1",
    "bramblewheel_inbound_total{result=\"answered\"} 1",
    "bramblewheel_repeats_total{service=\"kassa\",after=\"lost\"} 1",
    "bramblewheel_over_budget_total{service=\"kassa\",after=\"rejected\"} 1",
    "bramblewheel_refused_calls_of_repeats_total{service=\"kassa\"} 1",
    "bramblewheel_cut_off_total{from=\"caller\",stage=\"reading-its-body\"} 1",
    "bramblewheel_overdue_answers_total{from=\"caller\"} 1",
    "bramblewheel_identity_mismatches_total{differs=\"other-service\"} 1",
    "bramblewheel_retry_bound_used{service=\"kassa\"} 3.0",
    "bramblewheel_retry_bound_allowed{service=\"kassa\"} 5.0",
    "bramblewheel_tenant_admitted{tenant=\"anna\"} 31",
    "bramblewheel_tenant_limit{tenant=\"anna\"} 24",
];

/// Metrics in which each one that has labels was set once.
fn metrics() -> Metrics {
    let metrics = Metrics::default();
    let service = ServiceName::new("kassa").expect("a name");
    metrics.request("pay", "answered", Duration::from_millis(30));
    metrics.attempt(AttemptResult::Full);
    metrics.displaced(Displacement::ByTenant);
    metrics.inbound(AttemptResult::Answered);
    metrics.ahead(AheadEvent::Started);
    metrics.answer_after_silence(AttemptResult::Answered);
    metrics.timer_lateness(Duration::from_millis(70));
    metrics.retry(&service, AttemptResult::Lost);
    metrics.over_budget(&service, AttemptResult::Rejected);
    metrics.refused_call(&service);
    metrics.identity_mismatch(IdentityMismatch::Service);
    metrics.cut_off(Sender::Caller, Stage::Reading);
    metrics.overdue_answer(Sender::Caller);
    let tenant = TenantName::new("anna").expect("a name");
    metrics.set_tenant_use(&tenant, 31, 24.0);
    metrics.set_bound(&BoundUse {
        service,
        first_sends: 20.0,
        retries: 2.0,
        calls_of_retried_runs: 1.0,
        allowed: 4.0,
        allowed_for_calls: 5.0,
    });
    metrics
}

#[test]
fn metric_names_and_types_are_unchanged() {
    let text = metrics().text();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let mut types: Vec<&str> = types.collect();
    types.sort_unstable();
    assert_eq!(types, METRICS);
}

#[test]
fn label_names_are_unchanged() {
    let text = metrics().text();
    for line in LABELLED {
        assert!(text.lines().any(|shown| shown == line), "{line}\n{text}");
    }
}
