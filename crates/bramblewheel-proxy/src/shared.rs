//! What all parts of a daemon share.
//!
//! Owns the state of the daemon in memory, each part under a lock of its own. What a daemon restarts with is in
//! none of it: route tables and endpoints come from the control group, the rest is learned anew.

use crate::control::content_reports::ContentReporter;
use crate::control::group::ControlGroup;
use crate::control::line_limit::LineLimit;
use crate::http::pool::Pools;
use crate::in_progress::RequestsInProgress;
use crate::local::LocalEndpoint;
use crate::metrics::Metrics;
use crate::outbound::liveness::Liveness;
use crate::planned_stop::PlannedStop;
use crate::settings::Settings;
use crate::wire::AnswerReport;
use arc_swap::ArcSwapOption;
use bramblewheel_decisions::directory::Directory;
use bramblewheel_decisions::early_refusal::EarlyRefusal;
use bramblewheel_decisions::nested_routes::NestedRoutes;
use bramblewheel_decisions::quarantine::QuarantineView;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::retry_bound::RetryBound;
use bramblewheel_decisions::table::Router;
use bramblewheel_decisions::table_lease::TableLease;
use bramblewheel_decisions::tenant_quota::TenantQuotas;
use bramblewheel_process::clock::Clock;
use bramblewheel_process::invariants::lock;
use rand_pcg::Pcg64Mcg;
use slog::Logger;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard};

/// What the choice of endpoints needs; kept together, so that one lock serves a request.
#[derive(Debug)]
pub struct Routing {
    /// Endpoints of all services.
    pub directory: Directory,
    /// What is refused here since endpoints refuse it.
    pub early_refusal: EarlyRefusal,
    /// Which classes of the local endpoint's requests are likely called by endpoints only.
    pub nested_routes: NestedRoutes,
    /// Classes of which the daemons beside endpoints report that they are likely nested calls.
    pub reported_nested: HashSet<RequestClass>,
    /// Bound on retries.
    pub retry_bound: RetryBound,
    /// Random part of choices.
    pub random: Pcg64Mcg,
}

impl Routing {
    /// Classes of nested calls that are kept, so that memory is bounded.
    const MAX_NESTED: usize = 512;

    /// Notes what the daemon beside an endpoint reported of a class; returns whether that is new.
    pub fn record_nested(&mut self, class: RequestClass, report: &AnswerReport) -> bool {
        // A daemon that reports its load reports on the class too; another one did not get that far.
        if report.load.is_none() {
            return false;
        }
        if !report.is_likely_nested {
            return self.reported_nested.remove(&class);
        }
        self.reported_nested.len() < Self::MAX_NESTED && self.reported_nested.insert(class)
    }
}

/// What the use of keys needs.
#[derive(Debug)]
pub struct TenantAccess {
    /// How long the tenants of the table in force may be gone by.
    pub lease: TableLease,
    /// What was admitted for each tenant.
    pub quotas: TenantQuotas,
}

/// What all parts of a daemon share.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Clock of all timestamps.
    pub clock: Clock,
    /// Route table in force, none before the first was confirmed.
    pub router: ArcSwapOption<Router>,
    /// Choice of endpoints.
    pub routing: Mutex<Routing>,
    /// Use of keys.
    pub tenant_access: Mutex<TenantAccess>,
    /// Contents under which endpoints crash.
    pub quarantine: Mutex<QuarantineView>,
    /// Takes reports on such contents.
    pub reporter: ContentReporter,
    /// The endpoint beside the daemon.
    pub local: Arc<LocalEndpoint>,
    /// When other daemons answered last.
    pub liveness: Liveness,
    /// Connections to other daemons.
    pub daemon_pools: Pools,
    /// Connections to the local endpoint.
    pub endpoint_pools: Arc<Pools>,
    /// Control replicas.
    pub control: Arc<ControlGroup>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Requests that are not answered.
    pub in_progress: RequestsInProgress,
    /// Bounds the lines on heartbeats.
    pub heartbeat_lines: LineLimit,
    /// The planned stop of the daemon.
    pub stop: PlannedStop,
    /// Log.
    pub log: Logger,
}

impl Shared {
    /// Locks the choice of endpoints.
    pub fn routing(&self) -> MutexGuard<'_, Routing> {
        lock(&self.routing)
    }

    /// Locks the use of keys.
    pub fn tenant_access(&self) -> MutexGuard<'_, TenantAccess> {
        lock(&self.tenant_access)
    }

    /// Locks what is known of contents under which endpoints crash.
    pub fn quarantine(&self) -> MutexGuard<'_, QuarantineView> {
        lock(&self.quarantine)
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.schedule().is_some()
    }

    /// Whether new callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.router.load().is_some() && self.may_use_keys()
    }

    /// Whether the table in force needs no keys, or they may be used now.
    fn may_use_keys(&self) -> bool {
        let is_valid = self.tenant_access().lease.is_valid(self.clock.now());
        let router = self.router.load();
        let needs_keys = |router: &Arc<Router>| router.tenants().has_tenants();
        is_valid || !router.as_ref().is_some_and(needs_keys)
    }
}
