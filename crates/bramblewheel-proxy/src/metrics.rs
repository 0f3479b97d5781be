//! Counters and histograms of a daemon, as text in the format of OpenMetrics.

use crate::in_progress::{Sender, Stage};
use crate::wire::AttemptResult;
use bramblewheel_decisions::retry_budget::BoundUse;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::ServiceName;
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

/// Upper ends of the buckets of answer times, in seconds.
const BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];
/// Routes with labels of their own; the others share one.
const MAX_ROUTES: usize = 64;
/// Services with labels of their own; the others share one.
const MAX_SERVICES: usize = 64;
/// Label of the routes and services beyond that.
const OTHERS: &str = "other";

type Labels = Vec<(&'static str, String)>;
type Result = Vec<(&'static str, &'static str)>;

/// Names that have a label of their own; bounded, whatever tables come.
#[derive(Debug)]
struct KnownNames {
    most: usize,
    names: Mutex<HashSet<String>>,
}

impl KnownNames {
    fn at_most(most: usize) -> Self {
        let names = Mutex::default();
        Self { most, names }
    }

    fn label(&self, name: &str) -> String {
        let mut names = lock(&self.names);
        if names.contains(name) {
            return name.to_owned();
        }
        if names.len() >= self.most {
            return OTHERS.to_owned();
        }
        names.insert(name.to_owned());
        name.to_owned()
    }
}

/// Counters and histograms of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    routes: KnownNames,
    services: KnownNames,
    requests: Family<Labels, Counter>,
    seconds: Family<Labels, Histogram, fn() -> Histogram>,
    attempts: Family<Result, Counter>,
    inbound: Family<Result, Counter>,
    retries: Family<Labels, Counter>,
    over_budget: Family<Labels, Counter>,
    bound_used: Family<Labels, Gauge<f64, AtomicU64>>,
    bound_allowed: Family<Labels, Gauge<f64, AtomicU64>>,
    /// Requests sent to the local endpoint that count as repeated, in whole or in part.
    pub retried_runs: Counter,
    refused_calls: Family<Labels, Counter>,
    cut_off: Family<Result, Counter>,
    /// Requests refused here since endpoints refuse their like.
    pub refused_early: Counter,
    /// Requests without a key that somebody holds.
    pub unauthorized: Counter,
    /// Requests beyond their tenant's quota.
    pub over_quota: Counter,
    /// Requests refused since the lease on the table was over.
    pub without_lease: Counter,
    /// Whether keys may be used now: 1 or 0.
    pub has_lease: Gauge,
    /// Requests whose caller went away.
    pub cancelled: Counter,
    /// Words of the endpoint that can't be read or placed, and are left out.
    pub unreadable: Counter,
    /// Words of the endpoint that the control group did not record in time.
    pub unrecorded: Counter,
    /// Starts of the local endpoint that ended without a word.
    pub endpoint_ends: Counter,
    /// Requests that ran there at the time.
    pub lost_with_endpoints: Counter,
    /// Requests refused since endpoints ended under their content.
    pub quarantined: Counter,
    /// Contents that are kept from endpoints.
    pub quarantined_contents: Gauge,
    /// Version of the route table in force.
    pub table_version: Gauge,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::default(),
            routes: KnownNames::at_most(MAX_ROUTES),
            services: KnownNames::at_most(MAX_SERVICES),
            requests: Family::default(),
            seconds: Family::new_with_constructor(histogram),
            attempts: Family::default(),
            inbound: Family::default(),
            retries: Family::default(),
            over_budget: Family::default(),
            bound_used: Family::default(),
            bound_allowed: Family::default(),
            retried_runs: Counter::default(),
            refused_calls: Family::default(),
            cut_off: Family::default(),
            refused_early: Counter::default(),
            unauthorized: Counter::default(),
            over_quota: Counter::default(),
            without_lease: Counter::default(),
            has_lease: Gauge::default(),
            cancelled: Counter::default(),
            unreadable: Counter::default(),
            unrecorded: Counter::default(),
            endpoint_ends: Counter::default(),
            lost_with_endpoints: Counter::default(),
            quarantined: Counter::default(),
            quarantined_contents: Gauge::default(),
            table_version: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "bramblewheel_requests",
            "Requests of callers by route and outcome",
            self.requests.clone(),
        );
        registry.register(
            "bramblewheel_request_seconds",
            "Time from a request to its answer's head",
            self.seconds.clone(),
        );
        registry.register(
            "bramblewheel_attempts",
            "Sends to daemons beside endpoints by result",
            self.attempts.clone(),
        );
        registry.register(
            "bramblewheel_inbound",
            "Requests for the local endpoint by result",
            self.inbound.clone(),
        );
        registry.register(
            "bramblewheel_repeats",
            "Sends after one that an endpoint got or may have got, by service and how that one ended",
            self.retries.clone(),
        );
        registry.register(
            "bramblewheel_over_budget",
            "Repeated sends that the bound on them forbade, by service and how the send before ended",
            self.over_budget.clone(),
        );
        registry.register(
            "bramblewheel_retry_bound_used",
            "Sends beyond the first within the window that ends now, calls of repeated runs included, by service",
            self.bound_used.clone(),
        );
        registry.register(
            "bramblewheel_retry_bound_allowed",
            "Sends beyond the first that this daemon allows itself in that window, by service",
            self.bound_allowed.clone(),
        );
        registry.register(
            "bramblewheel_repeated_runs",
            "Requests sent to the local endpoint that count as repeated, in whole or in part",
            self.retried_runs.clone(),
        );
        registry.register(
            "bramblewheel_refused_calls_of_repeats",
            "Calls of repeated runs that the bound on repeats forbade, by service",
            self.refused_calls.clone(),
        );
        registry.register(
            "bramblewheel_cut_off",
            "Requests that the end of a planned stop cut off, by who sent them and how far they were",
            self.cut_off.clone(),
        );
        registry.register(
            "bramblewheel_refused_early",
            "Requests refused by the caller's daemon since endpoints refuse their like",
            self.refused_early.clone(),
        );
        registry.register(
            "bramblewheel_unauthorized",
            "Requests without a key that a tenant holds",
            self.unauthorized.clone(),
        );
        registry.register(
            "bramblewheel_over_quota",
            "Requests beyond their tenant's quota",
            self.over_quota.clone(),
        );
        registry.register(
            "bramblewheel_without_lease",
            "Requests refused since the lease on the route table was over",
            self.without_lease.clone(),
        );
        registry.register(
            "bramblewheel_has_lease",
            "Whether keys may be used now",
            self.has_lease.clone(),
        );
        registry.register(
            "bramblewheel_cancelled",
            "Requests whose caller went away",
            self.cancelled.clone(),
        );
        registry.register(
            "bramblewheel_unreadable",
            "Words of the endpoint left out since they can't be read or placed",
            self.unreadable.clone(),
        );
        registry.register(
            "bramblewheel_unrecorded",
            "Words of the endpoint not recorded in time",
            self.unrecorded.clone(),
        );
        registry.register(
            "bramblewheel_endpoint_ends",
            "Starts of the local endpoint that ended without a word",
            self.endpoint_ends.clone(),
        );
        registry.register(
            "bramblewheel_lost_with_endpoints",
            "Different requests that ran when the local endpoint ended",
            self.lost_with_endpoints.clone(),
        );
        registry.register(
            "bramblewheel_quarantined",
            "Requests refused since endpoints ended under their content",
            self.quarantined.clone(),
        );
        registry.register(
            "bramblewheel_quarantined_contents",
            "Contents that are kept from endpoints",
            self.quarantined_contents.clone(),
        );
        registry.register(
            "bramblewheel_table_version",
            "Route table in force",
            self.table_version.clone(),
        );
    }

    /// Counts a request that was answered.
    pub fn request(&self, route: &str, outcome: &'static str, time: Duration) {
        let route = self.routes.label(route);
        let labels = vec![("route", route.clone()), ("outcome", outcome.to_owned())];
        self.requests.get_or_create(&labels).inc();
        let labels = vec![("route", route)];
        let seconds = self.seconds.get_or_create(&labels);
        seconds.observe(time.as_secs_f64());
    }

    /// Counts a send after one that an endpoint got or may have got, and that ended so.
    pub fn retry(&self, service: &ServiceName, after: AttemptResult) {
        let labels = self.repeat_labels(service, after);
        self.retries.get_or_create(&labels).inc();
    }

    /// Counts a repeated send that the bound forbade.
    pub fn over_budget(&self, service: &ServiceName, after: AttemptResult) {
        let labels = self.repeat_labels(service, after);
        self.over_budget.get_or_create(&labels).inc();
    }

    /// Counts a call of a repeated run that the bound forbade.
    pub fn refused_call(&self, service: &ServiceName) {
        let labels = vec![("service", self.services.label(service.as_str()))];
        self.refused_calls.get_or_create(&labels).inc();
    }

    /// Counts a request that the end of a planned stop cuts off.
    pub fn cut_off(&self, sender: Sender, stage: Stage) {
        let labels = vec![("from", sender.as_str()), ("stage", stage.as_str())];
        self.cut_off.get_or_create(&labels).inc();
    }

    fn repeat_labels(&self, service: &ServiceName, after: AttemptResult) -> Labels {
        let service = self.services.label(service.as_str());
        vec![("service", service), ("after", after.as_str().to_owned())]
    }

    /// Shows what is used of the bound on repeated sends.
    pub fn show_bound(&self, bound: &BoundUse) {
        let labels = vec![("service", self.services.label(bound.service.as_str()))];
        let used = self.bound_used.get_or_create(&labels);
        used.set(bound.used());
        let allowed = self.bound_allowed.get_or_create(&labels);
        allowed.set(bound.allowed_for_calls);
    }

    /// Counts a send that has ended.
    pub fn attempt(&self, result: AttemptResult) {
        let labels = vec![("result", result.as_str())];
        self.attempts.get_or_create(&labels).inc();
    }

    /// Counts a request for the local endpoint that has ended.
    pub fn inbound(&self, result: AttemptResult) {
        let labels = vec![("result", result.as_str())];
        self.inbound.get_or_create(&labels).inc();
    }

    /// All of it as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("a string takes every write");
        text
    }
}
