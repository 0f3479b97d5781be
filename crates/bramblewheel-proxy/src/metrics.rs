//! Counters and histograms of a daemon, as text in the format of OpenMetrics.

use crate::wire::AttemptResult;
use bramblewheel_process::invariants::lock;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

/// Upper ends of the buckets of answer times, in seconds.
const BUCKETS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];
/// Routes with labels of their own; the others share one.
const MAX_ROUTES: usize = 64;
/// Label of the routes beyond that.
const OTHER_ROUTES: &str = "other";

type RouteOutcome = Vec<(&'static str, String)>;
type Result = Vec<(&'static str, &'static str)>;

/// Counters and histograms of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    routes: Mutex<HashMap<String, ()>>,
    requests: Family<RouteOutcome, Counter>,
    seconds: Family<RouteOutcome, Histogram, fn() -> Histogram>,
    attempts: Family<Result, Counter>,
    inbound: Family<Result, Counter>,
    /// Sends after the first.
    pub repeats: Counter,
    /// Sends that the retry budget forbade.
    pub over_budget: Counter,
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
            routes: Mutex::default(),
            requests: Family::default(),
            seconds: Family::new_with_constructor(histogram),
            attempts: Family::default(),
            inbound: Family::default(),
            repeats: Counter::default(),
            over_budget: Counter::default(),
            refused_early: Counter::default(),
            unauthorized: Counter::default(),
            over_quota: Counter::default(),
            without_lease: Counter::default(),
            has_lease: Gauge::default(),
            cancelled: Counter::default(),
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
            "Sends after the first",
            self.repeats.clone(),
        );
        registry.register(
            "bramblewheel_over_budget",
            "Sends that the retry budget forbade",
            self.over_budget.clone(),
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
        let route = self.label(route);
        let labels = vec![("route", route.clone()), ("outcome", outcome.to_owned())];
        self.requests.get_or_create(&labels).inc();
        let labels = vec![("route", route)];
        let seconds = self.seconds.get_or_create(&labels);
        seconds.observe(time.as_secs_f64());
    }

    /// Labels are bounded, whatever tables come.
    fn label(&self, route: &str) -> String {
        let mut routes = lock(&self.routes);
        if routes.contains_key(route) {
            return route.to_owned();
        }
        if routes.len() >= MAX_ROUTES {
            return OTHER_ROUTES.to_owned();
        }
        routes.insert(route.to_owned(), ());
        route.to_owned()
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
