//! Creates the shared state of a daemon and starts its background tasks.

use crate::control::content_reports::{self, ContentReporter, QueuedReports};
use crate::control::group::ControlGroup;
use crate::control::registrar::{DaemonAddress, RecordTask, Registrar};
use crate::control::renewal::Renewer;
use crate::control::watch::{ReadTable, Watcher};
use crate::http::pool::{IdlePolicy, Pools};
use crate::local::LocalEndpoint;
use crate::metrics::Metrics;
use crate::outbound::bound_watch;
use crate::outbound::liveness::Liveness;
use crate::settings::Settings;
use crate::shared::{Routing, Shared, TenantAccess};
use arc_swap::ArcSwapOption;
use bramblewheel_decisions::directory::Directory;
use bramblewheel_decisions::early_refusal::EarlyRefusal;
use bramblewheel_decisions::retry_bound::RetryBound;
use bramblewheel_decisions::table_lease::TableLease;
use bramblewheel_decisions::tenant_quota::TenantQuotas;
use bramblewheel_process::clock::Clock;
use bramblewheel_process::lateness::Lateness;
use bramblewheel_types::Timestamp;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slog::Logger;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Idle connections to another daemon. A limit of 8 per address instead of 64, with a smaller read buffer, raised the
/// connections opened to endpoints from 616 to 7,921 and lowered the open files of a daemon only from 1,149 to 1,132
/// (one run each).
pub(super) const IDLE_DAEMON_CONNECTIONS: IdlePolicy = IdlePolicy {
    max_idle_time: Duration::from_secs(4),
    max_connections: 64,
};
/// Idle connections to the endpoint: more than the 74 to 217 slots of endpoints, since opening a connection briefly
/// occupies a slot. With a limit of 64, some 100,000 connections were opened under changing load and 6,464 under
/// steady load.
const IDLE_ENDPOINT_CONNECTIONS: IdlePolicy = IdlePolicy {
    max_idle_time: Duration::from_secs(7),
    max_connections: 256,
};
/// Time between two checks for connections that have been idle for too long.
const POOL_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// A daemon's shared state and the inputs of its background tasks.
pub(super) struct Parts {
    /// State shared by all parts.
    pub(super) shared: Arc<Shared>,
    /// Registrar that takes the local endpoint's heartbeats.
    pub(super) registrar: Arc<Registrar>,
    record_task: RecordTask,
    reports: QueuedReports,
    incarnation: u64,
}

impl Parts {
    /// Creates a daemon's state; `incarnation` also seeds its random choices.
    pub(super) fn new(settings: Settings, incarnation: u64, log: Logger) -> Self {
        let clock = Clock::start();
        let started = clock.now();
        let local = Arc::new(LocalEndpoint::new(settings.identity.clone()));
        let control = Arc::new(ControlGroup::new(settings.replicas.clone()));
        let (reporter, reports) = ContentReporter::new(log.clone());
        let endpoint_pools = Arc::new(Pools::new(IDLE_ENDPOINT_CONNECTIONS, clock));
        let own = DaemonAddress {
            name: settings.name.clone(),
            inbound: settings.inbound,
        };
        let (registrar, record_task) = Registrar::new(
            own,
            Arc::clone(&local),
            Arc::clone(&control),
            reporter.clone(),
            Arc::clone(&endpoint_pools),
            clock,
            log.clone(),
        );
        let lateness = Arc::new(Lateness::default());
        let shared = Shared {
            routing: Mutex::new(routing(&settings, clock, incarnation)),
            tenant_access: Mutex::new(tenant_access(&settings, started)),
            quarantine: Default::default(),
            reporter,
            router: ArcSwapOption::empty(),
            liveness: Liveness::new(Arc::clone(&lateness)),
            lateness,
            daemon_pools: Pools::new(IDLE_DAEMON_CONNECTIONS, clock),
            endpoint_pools,
            metrics: Metrics::default(),
            in_progress: Default::default(),
            heartbeat_lines: Default::default(),
            statement_lines: Default::default(),
            sender_statement_lines: Default::default(),
            tenant_lines: Default::default(),
            endpoint_updates: registrar.updates(),
            stop: Default::default(),
            settings,
            clock,
            started,
            new_tenant: Notify::new(),
            local,
            control,
            log,
        };
        Self {
            shared: Arc::new(shared),
            registrar,
            record_task,
            reports,
            incarnation,
        }
    }

    /// Starts the background tasks; they end when the set is dropped.
    pub(super) fn start_background(self, read_table: ReadTable) -> JoinSet<()> {
        let shared = &self.shared;
        let watcher = Watcher::new(
            Arc::clone(shared),
            self.registrar,
            read_table,
            self.incarnation,
        );
        let renewer = Renewer::new(Arc::clone(shared), self.incarnation);
        let mut background = JoinSet::new();
        background.spawn(self.record_task.run(shared.settings.heartbeat));
        background.spawn(measure_lateness(Arc::clone(shared)));
        background.spawn(close_stale_connections(Arc::clone(shared)));
        background.spawn(watcher.run());
        background.spawn(renewer.run());
        background.spawn(content_reports::run(Arc::clone(shared), self.reports));
        background.spawn(bound_watch::run(Arc::clone(shared)));
        background
    }
}

fn routing(settings: &Settings, clock: Clock, incarnation: u64) -> Routing {
    Routing {
        directory: Directory::new(settings.identity.zone.clone(), settings.name.clone()),
        early_refusal: EarlyRefusal::default(),
        nested_routes: Default::default(),
        reported_nested: Default::default(),
        retry_bound: RetryBound::new(settings.retry, clock.now()),
        random: Pcg64Mcg::seed_from_u64(incarnation),
    }
}

fn tenant_access(settings: &Settings, started: Timestamp) -> TenantAccess {
    TenantAccess {
        lease: TableLease::new(settings.key_revocation),
        quotas: TenantQuotas::new(settings.quota, started),
    }
}

async fn close_stale_connections(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(POOL_CHECK_PERIOD);
    loop {
        ticks.tick().await;
        shared.daemon_pools.close_stale();
        shared.endpoint_pools.close_stale();
    }
}

async fn measure_lateness(shared: Arc<Shared>) {
    let observe = |lateness: Duration| shared.metrics.timer_lateness(lateness);
    let running = shared
        .lateness
        .run(shared.clock, shared.log.clone(), observe);
    running.await;
}
