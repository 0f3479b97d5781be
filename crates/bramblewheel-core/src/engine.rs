//! The decision engine of one daemon: takes events with the current time and returns actions.
//!
//! The driver must deliver exactly one `AttemptEnded` for each attempt sent and one
//! `DispatchEnded` for each dispatch, unless it was cancelled, and a `Tick` at or soon after
//! [`Engine::next_wakeup`]. The engine answers each call and each inbound attempt exactly once; a
//! duplicate message of an attempt in progress gets no answer of its own. Actions must be carried
//! out in order: a ledger request that precedes an answer is started before the answer is sent.

use crate::action::Action;
use crate::event::{EndpointReport, Event};
use crate::inbound::Inbound;
use crate::metrics::Metrics;
use crate::outbound::Outbound;
use crate::retry::ratio::RatioBudgets;
use crate::retry::resend::RecentRequests;
use crate::route::directory::Directory;
use crate::timers::{Timer, Timers};
use bramblewheel_bundle::Bundle;
use bramblewheel_bundle::model::{AdmissionPolicy, RequestLimits};
use bramblewheel_types::{
    BundleVersion, DaemonId, EndpointId, Millis, ServiceName, Timestamp, ZoneName,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::Duration;

/// Limits that apply without a bundle: no retries.
const NO_LIMITS: RequestLimits = RequestLimits {
    retry_tokens: 0,
    retry_ratio_percent: 0,
    max_depth: 0,
    max_free_reroutes: 0,
    operation_retention: Millis(0),
};

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Zone of the daemon.
    pub zone: ZoneName,
    /// The local endpoint; `None` for a gateway.
    pub endpoint: Option<LocalEndpoint>,
    /// Seed of the engine's random generator; it must differ between daemons, so that their ids do.
    pub seed: u64,
    /// Time-out of a claim request to the ledger.
    pub claim_timeout: Duration,
}

/// The endpoint that a daemon serves.
#[derive(Clone, Debug)]
pub struct LocalEndpoint {
    /// Its name.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
}

/// The decisions of one daemon.
#[derive(Debug)]
pub struct Engine {
    pub(crate) config: EngineConfig,
    pub(crate) bundle: Option<Arc<Bundle>>,
    pub(crate) directory: Directory,
    pub(crate) outbound: Outbound,
    pub(crate) inbound: Inbound,
    pub(crate) ratios: RatioBudgets,
    pub(crate) recent_requests: RecentRequests,
    pub(crate) timers: Timers,
    pub(crate) random: Pcg64Mcg,
    pub(crate) metrics: Metrics,
    pub(crate) is_draining: bool,
    /// Time of the event being handled.
    pub(crate) now: Timestamp,
    is_drained: bool,
}

impl Engine {
    /// Creates an engine; it answers `NotReady` until a bundle is installed.
    pub fn new(config: EngineConfig) -> Self {
        Self {
            bundle: None,
            directory: Directory::new(config.zone.clone()),
            outbound: Outbound::default(),
            inbound: Inbound::new(),
            ratios: RatioBudgets::new(),
            recent_requests: RecentRequests::new(),
            timers: Timers::default(),
            random: Pcg64Mcg::seed_from_u64(config.seed),
            metrics: Metrics::default(),
            is_draining: false,
            now: Timestamp::ZERO,
            is_drained: false,
            config,
        }
    }

    /// Configuration with which the engine was created.
    pub fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Counters, with current values of the gauges.
    pub fn metrics(&self) -> Metrics {
        Metrics {
            queue_length: self.inbound.queue.len() as u64,
            running: u64::from(self.inbound.running),
            concurrency_limit: u64::from(self.concurrency_limit()),
            calls_in_progress: self.outbound.calls.len() as u64,
            ..self.metrics.clone()
        }
    }

    /// Version of the bundle in force, 0 if there is none.
    pub fn bundle_version(&self) -> BundleVersion {
        self.bundle
            .as_ref()
            .map(|bundle| bundle.version)
            .unwrap_or_default()
    }

    /// Handles one event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.run_due_timers(now, actions);
        match event {
            Event::OutboundCall { call, request } => self.accept_call(now, call, request, actions),
            Event::OutboundCancelled { call } => self.cancel_call(call, actions),
            Event::AttemptEnded { attempt, result } => {
                self.attempt_ended(now, attempt, result, actions);
            }
            Event::InboundCall { context } => self.accept_attempt(now, context, actions),
            Event::InboundCancelled { attempt } => self.cancel_attempt(now, attempt, actions),
            Event::DispatchEnded { attempt, result } => {
                self.dispatch_ended(now, attempt, result, actions);
            }
            Event::LocalReport(report) => self.inbound.report = Some((now, report)),
            Event::ClaimAnswered { attempt, answer } => {
                self.claim_answered(now, attempt, answer, actions);
            }
            Event::BundleInstalled(bundle) => self.install(bundle),
            Event::DirectoryUpdated(update) => self.directory.apply(now, update),
            Event::DrainRequested => self.is_draining = true,
            Event::Tick => self.fill_slots(now, actions),
        }
        self.report_drained(actions);
    }

    /// Time at which the next [`Event::Tick`] is due, if any.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// Timers are handled before the event, so that after a pause of the process everything past
    /// its deadline ends before any other decision is made.
    fn run_due_timers(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::CallDeadline(call) => self.expire_call(now, call, actions),
                Timer::AttemptDeadline(attempt) => self.expire_attempt(now, attempt, actions),
                Timer::ClaimTimeout(attempt) => self.claim_timed_out(now, attempt, actions),
                Timer::RepeatClaim(attempt) => self.repeat_claim(now, attempt, actions),
                Timer::DetachedDispatch(attempt) => self.detached_timed_out(now, attempt, actions),
            }
        }
    }

    /// Installs a bundle. Versions up to the current one are ignored, so the version never decreases.
    fn install(&mut self, bundle: Arc<Bundle>) {
        if self.bundle.is_some() && bundle.version <= self.bundle_version() {
            return;
        }
        self.bundle = Some(bundle);
        self.inbound.service_times.clear();
        self.inbound.path_levels.clear();
        let bounds = self
            .admission_policy()
            .map(|policy| (policy.min_concurrency, policy.max_concurrency));
        if let Some((min, max)) = bounds {
            self.inbound.limit.set_bounds(min, max);
        }
    }

    fn report_drained(&mut self, actions: &mut Vec<Action>) {
        let is_idle = self.outbound.calls.is_empty() && self.inbound.attempts.is_empty();
        if self.is_draining && is_idle && !self.is_drained {
            self.is_drained = true;
            actions.push(Action::Drained);
        }
    }

    pub(crate) fn limits(&self) -> &RequestLimits {
        self.bundle
            .as_ref()
            .map_or(&NO_LIMITS, |bundle| &bundle.limits)
    }

    fn admission_policy(&self) -> Option<&AdmissionPolicy> {
        let local = self.config.endpoint.as_ref()?;
        let policy = self.bundle.as_ref()?.service(&local.service)?;
        Some(&policy.admission)
    }

    /// Length limit of the local endpoint's queue.
    pub(crate) fn queue_capacity(&self) -> usize {
        self.admission_policy()
            .map_or(0, |policy| policy.queue_length as usize)
    }

    /// Current limit on attempts running at the local endpoint.
    pub(crate) fn concurrency_limit(&self) -> u32 {
        let slots = self.inbound.report.map(|(_, report)| report.slots);
        self.inbound.limit.with_reported_slots(slots)
    }

    pub(crate) fn load_percent(&self) -> u32 {
        self.inbound.load_percent(self.concurrency_limit())
    }

    /// Whether the daemon or its endpoint is draining.
    pub(crate) fn refuses_new_work(&self) -> bool {
        let is_endpoint_draining = |report: EndpointReport| report.draining;
        let reported = self.inbound.report;
        self.is_draining || reported.is_some_and(|(_, report)| is_endpoint_draining(report))
    }
}
