//! Counters, gauges and histograms of a daemon in the OpenMetrics text format.
//!
//! Names of routes and services come from route tables, so the number of their labels is bounded. Metrics don't
//! influence decisions. Users' dashboards depend on the names and help texts; what they call "repeat" is a retry in
//! the code.

use crate::http::ahead::AheadEvent;
use crate::in_progress::{Sender, Stage};
use crate::wire::AttemptResult;
use bramblewheel_decisions::admission::Displacement;
use bramblewheel_decisions::machine_identity::IdentityMismatch;
use bramblewheel_decisions::retry_budget::BoundUse;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::{ServiceName, TenantName};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::collections::HashSet;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

/// Upper bounds of the buckets of answer times, in seconds.
const ANSWER_TIME_BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];
/// Upper bounds of the buckets of the lateness of timers, in seconds.
const LATENESS_BUCKETS: [f64; 8] = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0];
/// Routes with labels of their own; the others share one.
const MAX_ROUTES: usize = 64;
/// Services with labels of their own; the others share one.
const MAX_SERVICES: usize = 64;
/// Tenants with labels of their own; the others share one.
const MAX_TENANTS: usize = 256;
/// Label of the routes and services beyond these limits.
const OTHERS: &str = "other";

/// Labels with the name of a route or service among their values.
type Labels = Vec<(&'static str, String)>;
/// Labels whose values are constants of the program.
type FixedLabels = Vec<(&'static str, &'static str)>;

/// Names that have a label of their own, up to a maximum.
#[derive(Debug)]
struct KnownNames {
    max_names: usize,
    names: Mutex<HashSet<String>>,
}

impl KnownNames {
    fn with_limit(max_names: usize) -> Self {
        let names = Mutex::default();
        Self { max_names, names }
    }

    fn label(&self, name: &str) -> String {
        let mut names = lock(&self.names);
        if names.contains(name) {
            return name.to_owned();
        }
        if names.len() >= self.max_names {
            return OTHERS.to_owned();
        }
        names.insert(name.to_owned());
        name.to_owned()
    }
}

fn answer_time_histogram() -> Histogram {
    Histogram::new(ANSWER_TIME_BUCKETS)
}

/// Declares the metrics: field, type, initial value, name and help text. They are exported in this order.
macro_rules! metrics {
    ($(
        $(#[$doc:meta])*
        $visibility:vis $field:ident: $kind:ty = $new:expr => $name:literal: $help:literal,
    )*) => {
        /// Counters, gauges and histograms of a daemon.
        #[derive(Debug)]
        pub struct Metrics {
            registry: Registry,
            routes: KnownNames,
            services: KnownNames,
            tenants: KnownNames,
            $($(#[$doc])* $visibility $field: $kind,)*
        }

        impl Default for Metrics {
            fn default() -> Self {
                let mut registry = Registry::default();
                $(
                    let $field: $kind = $new;
                    registry.register($name, $help, $field.clone());
                )*
                Self {
                    registry,
                    routes: KnownNames::with_limit(MAX_ROUTES),
                    services: KnownNames::with_limit(MAX_SERVICES),
                    tenants: KnownNames::with_limit(MAX_TENANTS),
                    $($field,)*
                }
            }
        }
    };
}

metrics! {
    requests: Family<Labels, Counter> = Family::default() =>
        "bramblewheel_requests": "Requests of callers by route and outcome",
    seconds: Family<Labels, Histogram, fn() -> Histogram> =
        Family::new_with_constructor(answer_time_histogram) =>
        "bramblewheel_request_seconds": "Time from a request to its answer's head",
    attempts: Family<FixedLabels, Counter> = Family::default() =>
        "bramblewheel_attempts": "Sends to daemons beside endpoints by result",
    inbound: Family<FixedLabels, Counter> = Family::default() =>
        "bramblewheel_inbound": "Requests for the local endpoint by result",
    displaced: Family<FixedLabels, Counter> = Family::default() =>
        "bramblewheel_displaced":
        "Requests that waited for the local endpoint and were refused in favour of others, by what decided",
    retries: Family<Labels, Counter> = Family::default() =>
        "bramblewheel_repeats":
        "Sends after one that an endpoint got or may have got, by service and how that one ended",
    over_budget: Family<Labels, Counter> = Family::default() =>
        "bramblewheel_over_budget":
        "Repeated sends that the bound on them forbade, by service and how the send before ended",
    bound_used: Family<Labels, Gauge<f64, AtomicU64>> = Family::default() =>
        "bramblewheel_retry_bound_used":
        "Sends beyond the first within the window that ends now, calls of repeated runs included, by service",
    bound_allowed: Family<Labels, Gauge<f64, AtomicU64>> = Family::default() =>
        "bramblewheel_retry_bound_allowed":
        "Sends beyond the first that this daemon allows itself in that window, by service",
    /// Requests sent to the local endpoint whose retried share is above zero.
    pub retried_runs: Counter = Counter::default() =>
        "bramblewheel_repeated_runs":
        "Requests sent to the local endpoint that count as repeated, in whole or in part",
    refused_calls: Family<Labels, Counter> = Family::default() =>
        "bramblewheel_refused_calls_of_repeats":
        "Calls of repeated runs that the bound on repeats forbade, by service",
    cut_off: Family<FixedLabels, Counter> = Family::default() =>
        "bramblewheel_cut_off":
        "Requests that the end of a planned stop cut off, by who sent them and how far they were",
    overdue_answers: Family<FixedLabels, Counter> = Family::default() =>
        "bramblewheel_overdue_answers":
        "Answers that had begun or were awaited from the endpoint and were ended at their deadline, by who sent the request",
    /// Early refusals: requests refused here because endpoints refuse others of their class.
    pub refused_early: Counter = Counter::default() =>
        "bramblewheel_refused_early":
        "Requests refused by the caller's daemon since endpoints refuse their like",
    /// Requests without a key that belongs to a tenant.
    pub unauthorized: Counter = Counter::default() =>
        "bramblewheel_unauthorized": "Requests without a key that a tenant holds",
    /// Requests beyond their tenant's quota.
    pub over_quota: Counter = Counter::default() =>
        "bramblewheel_over_quota": "Requests beyond their tenant's quota",
    tenant_admitted: Family<Labels, Gauge> = Family::default() =>
        "bramblewheel_tenant_admitted":
        "Requests of a tenant that all daemons admitted within the window, as this daemon last learned",
    tenant_limit: Family<Labels, Gauge> = Family::default() =>
        "bramblewheel_tenant_limit":
        "Requests of a tenant that its limit permits within the window, in the table in force",
    /// Requests refused because the lease on the table was over.
    pub without_lease: Counter = Counter::default() =>
        "bramblewheel_without_lease":
        "Requests refused since the lease on the route table was over",
    /// Whether the lease is valid, so that keys may be used: 1 or 0.
    pub has_lease: Gauge = Gauge::default() =>
        "bramblewheel_has_lease": "Whether keys may be used now",
    /// Requests whose caller closed the connection.
    pub cancelled: Counter = Counter::default() =>
        "bramblewheel_cancelled": "Requests whose caller went away",
    /// Heartbeats of the endpoint that are ignored because they can't be read or assigned to an incarnation.
    pub unreadable: Counter = Counter::default() =>
        "bramblewheel_unreadable":
        "Words of the endpoint left out since they can't be read or placed",
    /// Heartbeats and records that don't agree with the machine's settings, by the field that differs.
    identity_mismatches: Family<FixedLabels, Counter> = Family::default() =>
        "bramblewheel_identity_mismatches":
        "Heartbeats and records of endpoints that differ from the machine's settings",
    /// Requests whose stated caller is a service that the table in force does not contain.
    pub unknown_callers: Counter = Counter::default() =>
        "bramblewheel_unknown_callers":
        "Requests for the local endpoint whose caller is of no known service",
    /// Heartbeats of the endpoint that the control group did not record in time.
    pub unrecorded: Counter = Counter::default() =>
        "bramblewheel_unrecorded": "Words of the endpoint not recorded in time",
    /// Whether a rate limit of the local endpoint was in force at its last change: 1 or 0.
    pub rate_limits_in_force: Gauge = Gauge::default() =>
        "bramblewheel_rate_limits_in_force":
        "Whether the local endpoint had a rate limit when that last changed",
    /// Requests refused for the rate limit of the local endpoint.
    pub rate_limited: Counter = Counter::default() =>
        "bramblewheel_rate_limited": "Requests refused for the rate limit of the local endpoint",
    /// Requests sent to the local endpoint while it had a rate limit.
    pub sent_under_rate_limit: Counter = Counter::default() =>
        "bramblewheel_sent_under_rate_limit":
        "Requests sent to the local endpoint while it had a rate limit",
    /// Work time that the local endpoint stated last.
    pub stated_work_percent: Gauge = Gauge::default() =>
        "bramblewheel_stated_work_percent":
        "Work time in percent of the usual, as the local endpoint stated it last",
    /// Statements of the local endpoint that can't be read.
    pub invalid_statements: Counter = Counter::default() =>
        "bramblewheel_invalid_statements":
        "Statements in answers of the local endpoint that can't be read",
    /// Crashes of the local endpoint.
    pub endpoint_ends: Counter = Counter::default() =>
        "bramblewheel_endpoint_ends": "Starts of the local endpoint that ended without a word",
    /// Requests that were running at the local endpoint when it crashed.
    pub lost_with_endpoints: Counter = Counter::default() =>
        "bramblewheel_lost_with_endpoints":
        "Different requests that ran when the local endpoint ended",
    /// Requests refused because their content is quarantined.
    pub quarantined: Counter = Counter::default() =>
        "bramblewheel_quarantined": "Requests refused since endpoints ended under their content",
    /// Contents in quarantine.
    pub quarantined_contents: Gauge = Gauge::default() =>
        "bramblewheel_quarantined_contents": "Contents that are kept from endpoints",
    timer_lateness: Histogram = Histogram::new(LATENESS_BUCKETS) =>
        "bramblewheel_timer_lateness_seconds":
        "By how much this process woke up later than it asked for",
    /// Answers of daemons that counted as silent; `result` as in attempts.
    answers_after_silence: Family<FixedLabels, Counter> = Family::default() =>
        "bramblewheel_answers_after_silence":
        "Answers of daemons that had counted as silent, by result",
    requests_ahead: Family<FixedLabels, Counter> = Family::default() =>
        "bramblewheel_requests_ahead":
        "Requests sent before the answer to the one before on their connection, by what happened to them",
    /// Version of the route table in force.
    pub table_version: Gauge = Gauge::default() =>
        "bramblewheel_table_version": "Route table in force",
}

impl Metrics {
    /// Counts a request that was answered.
    pub fn request(&self, route: &str, outcome: &'static str, time: Duration) {
        let route = self.routes.label(route);
        let labels = vec![("route", route.clone()), ("outcome", outcome.to_owned())];
        self.requests.get_or_create(&labels).inc();
        let labels = vec![("route", route)];
        let seconds = self.seconds.get_or_create(&labels);
        seconds.observe(time.as_secs_f64());
    }

    /// Counts a retry, by the result of the previous attempt.
    pub fn retry(&self, service: &ServiceName, previous_result: AttemptResult) {
        let labels = self.retry_labels(service, previous_result);
        self.retries.get_or_create(&labels).inc();
    }

    /// Counts a retry that the bound on retries forbade.
    pub fn over_budget(&self, service: &ServiceName, previous_result: AttemptResult) {
        let labels = self.retry_labels(service, previous_result);
        self.over_budget.get_or_create(&labels).inc();
    }

    /// Counts a call that the bound on retries forbade because the run that made it was a retry.
    pub fn refused_call(&self, service: &ServiceName) {
        let labels = vec![("service", self.services.label(service.as_str()))];
        self.refused_calls.get_or_create(&labels).inc();
    }

    /// Sets the requests of a tenant at all daemons and its limit, both for the window.
    pub fn set_tenant_use(&self, tenant: &TenantName, admitted: u32, limit: f64) {
        let labels = vec![("tenant", self.tenants.label(tenant.as_str()))];
        let gauge = self.tenant_admitted.get_or_create(&labels);
        gauge.set(i64::from(admitted));
        let gauge = self.tenant_limit.get_or_create(&labels);
        gauge.set(limit as i64);
    }

    /// Counts a request that the end of a planned stop cuts off.
    pub fn cut_off(&self, sender: Sender, stage: Stage) {
        let labels = vec![("from", sender.as_str()), ("stage", stage.as_str())];
        self.cut_off.get_or_create(&labels).inc();
    }

    /// Counts an answer that is ended at its deadline while it is passed on.
    pub fn overdue_answer(&self, sender: Sender) {
        let labels = vec![("from", sender.as_str())];
        self.overdue_answers.get_or_create(&labels).inc();
    }

    /// Counts a heartbeat or record that differs from the machine's settings.
    pub fn identity_mismatch(&self, mismatch: IdentityMismatch) {
        let labels = vec![("differs", mismatch.as_str())];
        self.identity_mismatches.get_or_create(&labels).inc();
    }

    fn retry_labels(&self, service: &ServiceName, previous_result: AttemptResult) -> Labels {
        let service = self.services.label(service.as_str());
        vec![
            ("service", service),
            ("after", previous_result.as_str().to_owned()),
        ]
    }

    /// Sets the used and allowed parts of the bound on retries.
    pub fn set_bound(&self, bound: &BoundUse) {
        let labels = vec![("service", self.services.label(bound.service.as_str()))];
        let used = self.bound_used.get_or_create(&labels);
        used.set(bound.used());
        let allowed = self.bound_allowed.get_or_create(&labels);
        allowed.set(bound.allowed_for_calls);
    }

    /// Counts an attempt that has ended.
    pub fn attempt(&self, result: AttemptResult) {
        let labels = vec![("result", result.as_str())];
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts what happens to a request that was sent ahead on its connection.
    pub fn ahead(&self, event: AheadEvent) {
        let labels = vec![("event", event.as_str())];
        self.requests_ahead.get_or_create(&labels).inc();
    }

    /// Counts an answer of a daemon that counted as silent.
    pub fn answer_after_silence(&self, result: AttemptResult) {
        let labels = vec![("result", result.as_str())];
        self.answers_after_silence.get_or_create(&labels).inc();
    }

    /// Counts a wake-up of this process by its lateness.
    pub fn timer_lateness(&self, lateness: Duration) {
        self.timer_lateness.observe(lateness.as_secs_f64());
    }

    /// Counts a request for the local endpoint that has ended.
    pub fn inbound(&self, result: AttemptResult) {
        let labels = vec![("result", result.as_str())];
        self.inbound.get_or_create(&labels).inc();
    }

    /// Counts a request that was refused since another one took its place in the queue.
    pub fn displaced(&self, displacement: Displacement) {
        let labels = vec![("by", displacement.as_str())];
        self.displaced.get_or_create(&labels).inc();
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string can't fail");
        text
    }
}
