//! The decisions of one daemon: takes events and the time, returns actions.
//!
//! What the shell owes the engine: each attempt sent ends with one `AttemptEnded` unless it was
//! cancelled; each dispatch ends with one `DispatchEnded` unless it was cancelled; `Tick` comes at
//! or soon after [`Engine::next_wakeup`]. Each call and each inbound attempt gets exactly one
//! answer; a repeated message of an attempt in progress gets none of its own. Actions are carried
//! out in order: a ledger request that precedes an answer is begun before the answer is sent.

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

/// Limits while there is no bundle: nothing may be retried.
const NO_LIMITS: RequestLimits = RequestLimits {
    retry_tokens: 0,
    retry_ratio_percent: 0,
    max_depth: 0,
    max_free_reroutes: 0,
    operation_retention: Millis(0),
};

/// What an engine is told at its start.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Zone of the daemon.
    pub zone: ZoneName,
    /// The local endpoint, or none for a gateway.
    pub endpoint: Option<LocalEndpoint>,
    /// Seed of the engine's own random choices; also makes its ids differ from other daemons'.
    pub seed: u64,
    /// How long an unanswered claim is waited for before the answer is given up.
    pub claim_timeout: Duration,
}

/// The endpoint that a daemon stands beside.
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
    /// Time of the event that is handled.
    pub(crate) now: Timestamp,
    is_drained: bool,
}

impl Engine {
    /// Creates an engine that is not ready until a bundle is installed.
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

    /// What the engine was told at its start.
    pub fn config(&self) -> &EngineConfig {
        &self.config
    }

    /// Counters, with the gauges as they are now.
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

    /// Takes one event and appends what is to be done, in order.
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
            Event::Tick => self.pump(now, actions),
        }
        self.report_drained(actions);
    }

    /// When [`Event::Tick`] is due next, if at all.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.timers.next()
    }

    /// Timers come before the event: after a pause of the process, what has run out of time is
    /// ended before anything else is decided.
    fn run_due_timers(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::CallDeadline(call) => self.expire_call(now, call, actions),
                Timer::AttemptDeadline(attempt) => self.expire_attempt(now, attempt, actions),
                Timer::ClaimTimeout(attempt) => self.claim_timed_out(now, attempt, actions),
                Timer::ClaimAgain(attempt) => self.claim_again(now, attempt, actions),
                Timer::DetachedDispatch(attempt) => self.detached_timed_out(now, attempt, actions),
            }
        }
    }

    /// Takes a bundle into force. An older one is refused: a bundle in force never goes back.
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

    /// Attempts that may wait at the local endpoint.
    pub(crate) fn queue_capacity(&self) -> usize {
        self.admission_policy()
            .map_or(0, |policy| policy.queue_length as usize)
    }

    /// Attempts that may run at the local endpoint now.
    pub(crate) fn concurrency_limit(&self) -> u32 {
        let slots = self.inbound.report.map(|(_, report)| report.slots);
        self.inbound.limit.with_reported_slots(slots)
    }

    pub(crate) fn load_percent(&self) -> u32 {
        self.inbound.load_percent(self.concurrency_limit())
    }

    /// Whether the daemon or its endpoint takes no new work.
    pub(crate) fn is_leaving(&self) -> bool {
        let wants_no_work = |report: EndpointReport| report.draining;
        let reported = self.inbound.report;
        self.is_draining || reported.is_some_and(|(_, report)| wants_no_work(report))
    }
}
