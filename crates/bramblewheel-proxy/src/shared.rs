//! State shared by all parts of a daemon, each part under its own lock.
//!
//! None of it survives a restart: route tables and endpoints come from the control group, the rest is learned anew.

use crate::control::content_reports::ContentReporter;
use crate::control::group::ControlGroup;
use crate::control::line_limit::LineLimit;
use crate::control::registrar::EndpointUpdates;
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
use bramblewheel_process::lateness::Lateness;
use bramblewheel_types::Timestamp;
use rand_pcg::Pcg64Mcg;
use slog::Logger;
use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::Notify;

/// State for the choice of endpoints; kept together, so that a request takes one lock.
#[derive(Debug)]
pub struct Routing {
    /// Endpoints of all services.
    pub directory: Directory,
    /// Shares of classes that are refused here because endpoints refuse them.
    pub early_refusal: EarlyRefusal,
    /// Classes of the local endpoint's requests that are likely called by endpoints only.
    pub nested_routes: NestedRoutes,
    /// Classes that daemons beside endpoints report as likely nested calls.
    pub reported_nested: HashSet<RequestClass>,
    /// Bound on retries.
    pub retry_bound: RetryBound,
    /// Random source of decisions.
    pub random: Pcg64Mcg,
}

impl Routing {
    /// Maximum number of nested classes that are kept, to bound memory.
    const MAX_NESTED: usize = 512;

    /// Records whether the daemon beside an endpoint reported a class as nested; returns whether that is new.
    pub fn record_nested(&mut self, class: RequestClass, report: &AnswerReport) -> bool {
        // A report with a load also covers the class; without a load, the attempt ended before that daemon knew it.
        if report.load.is_none() {
            return false;
        }
        if !report.is_likely_nested {
            return self.reported_nested.remove(&class);
        }
        self.reported_nested.len() < Self::MAX_NESTED && self.reported_nested.insert(class)
    }
}

/// State for the authorization of tenants.
#[derive(Debug)]
pub struct TenantAccess {
    /// Lease on the table in force, during which its tenants may be relied on.
    pub lease: TableLease,
    /// Requests admitted for each tenant.
    pub quotas: TenantQuotas,
}

/// State shared by all parts of a daemon.
#[derive(Debug)]
pub struct Shared {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Clock of all timestamps.
    pub clock: Clock,
    /// Woken when a tenant that is new at this daemon has sent requests.
    pub new_tenant: Notify,
    /// Start of this process.
    pub started: Timestamp,
    /// Route table in force; `None` before the first one.
    pub router: ArcSwapOption<Router>,
    /// State for the choice of endpoints.
    pub routing: Mutex<Routing>,
    /// State for the authorization of tenants.
    pub tenant_access: Mutex<TenantAccess>,
    /// Contents on which endpoints crash.
    pub quarantine: Mutex<QuarantineView>,
    /// Reports on such contents to the control group.
    pub reporter: ContentReporter,
    /// The endpoint beside the daemon.
    pub local: Arc<LocalEndpoint>,
    /// Lateness of this process's timers.
    pub lateness: Arc<Lateness>,
    /// Times of the last answers of other daemons.
    pub liveness: Liveness,
    /// Connections to other daemons.
    pub daemon_pools: Pools,
    /// Connections to the local endpoint.
    pub endpoint_pools: Arc<Pools>,
    /// Control replicas.
    pub control: Arc<ControlGroup>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Requests in progress.
    pub in_progress: RequestsInProgress,
    /// Limit on log lines about heartbeats.
    pub heartbeat_lines: LineLimit,
    /// Limit on log lines about statements of the endpoint.
    pub statement_lines: LineLimit,
    /// Limit on log lines about statements that other daemons report.
    pub sender_statement_lines: LineLimit,
    /// Limit on log lines about tenants beyond their limits.
    pub tenant_lines: LineLimit,
    /// Updates of the endpoint's record, to be sent to the control group.
    pub endpoint_updates: EndpointUpdates,
    /// Planned stop of the daemon.
    pub stop: PlannedStop,
    /// Log.
    pub log: Logger,
}

impl Shared {
    /// Locks the state for the choice of endpoints.
    pub fn routing(&self) -> MutexGuard<'_, Routing> {
        lock(&self.routing)
    }

    /// Locks the state for the authorization of tenants.
    pub fn tenant_access(&self) -> MutexGuard<'_, TenantAccess> {
        lock(&self.tenant_access)
    }

    /// Locks the contents on which endpoints crash.
    pub fn quarantine(&self) -> MutexGuard<'_, QuarantineView> {
        lock(&self.quarantine)
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop.schedule().is_some()
    }

    /// Whether the daemon is ready to serve new callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.router.load().is_some() && self.can_authorize()
    }

    /// Whether requests can be authorized: the lease on the table is valid, or the table has no tenants.
    fn can_authorize(&self) -> bool {
        let is_valid = self.tenant_access().lease.is_valid(self.clock.now());
        let router = self.router.load();
        let needs_keys = |router: &Arc<Router>| router.tenants().has_tenants();
        is_valid || !router.as_ref().is_some_and(needs_keys)
    }
}
