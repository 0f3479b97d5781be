//! Puts a daemon together, runs it, and stops it without interrupting anything.

use crate::control::content_reports::{self, ContentReporter};
use crate::control::group::ControlGroup;
use crate::control::registrar::Registrar;
use crate::control::renewal::Renewer;
use crate::control::watch::{ReadTable, Watcher};
use crate::http::pool::{IdlePolicy, Pools};
use crate::http::server::{KeepPolicy, bind, serve};
use crate::inbound::Inbound;
use crate::local::LocalEndpoint;
use crate::metrics::Metrics;
use crate::outbound::{Outbound, bound_watch, caller_rest};
use crate::planned_stop;
use crate::settings::Settings;
use crate::shared::{Routing, Shared, TenantAccess};
use arc_swap::ArcSwapOption;
use bramblewheel_decisions::directory::Directory;
use bramblewheel_decisions::early_refusal::EarlyRefusal;
use bramblewheel_decisions::retry_bound::RetryBound;
use bramblewheel_decisions::table_lease::TableLease;
use bramblewheel_decisions::tenant_quota::TenantQuotas;
use bramblewheel_process::clock::Clock;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slog::Logger;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Idle connections to another daemon.
const IDLE_DAEMON_CONNECTIONS: IdlePolicy = IdlePolicy {
    longest: Duration::from_secs(4),
    most: 64,
};
/// Rest after which a connection of another daemon is closed: longer than the other keeps it.
const DAEMON_CONNECTION_REST: Duration = Duration::from_secs(8);
/// Callers' connections at rest beyond which new ones are closed after their first answer.
const CALLER_CONNECTIONS_AT_REST: usize = 128;
/// Idle connections to the endpoint: more than most endpoints have slots, since each new one occupies
/// a slot for a moment.
const IDLE_ENDPOINT_CONNECTIONS: IdlePolicy = IdlePolicy {
    longest: Duration::from_secs(7),
    most: 256,
};
/// Time between two looks for connections that were idle for long.
const POOL_CHECK_PERIOD: Duration = Duration::from_secs(2);
/// A daemon can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener can't be opened.
    #[error("listener {listener} at {address}: {error}")]
    Bind {
        /// Which listener.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// What the operating system says.
        error: io::Error,
    },
    /// The operating system gives no random numbers.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
}

/// A running daemon. Dropping it ends the daemon at once, as a crash would.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    registrar: Arc<Registrar>,
    stop: watch::Sender<bool>,
    servers: JoinSet<()>,
    _background: JoinSet<()>,
}

impl Daemon {
    /// Starts a daemon; returns once it listens.
    ///
    /// # Errors
    /// [`StartError`] when a listener can't be opened.
    pub async fn start(
        settings: Settings,
        read_table: ReadTable,
        log: Logger,
    ) -> Result<Self, StartError> {
        let outbound = listen("outbound", settings.outbound).await?;
        let inbound = listen("inbound", settings.inbound_bound()).await?;
        let metrics = listen("metrics", settings.metrics).await?;
        let incarnation = getrandom::u64().map_err(StartError::Random)?;
        let clock = Clock::start();
        let local = Arc::new(LocalEndpoint::default());
        let control = Arc::new(ControlGroup::new(settings.replicas.clone()));
        let (reporter, reports) = ContentReporter::new(log.clone());
        let endpoint_pools = Arc::new(Pools::new(IDLE_ENDPOINT_CONNECTIONS, clock));
        let (registrar, recording) = Registrar::new(
            Arc::clone(&local),
            Arc::clone(&control),
            reporter.clone(),
            Arc::clone(&endpoint_pools),
            clock,
            log.clone(),
        );
        let heartbeat = settings.heartbeat;
        let shared = Arc::new(Shared {
            routing: Mutex::new(Routing {
                directory: Directory::new(settings.zone.clone(), settings.name.clone()),
                early_refusal: EarlyRefusal::default(),
                nested_routes: Default::default(),
                reported_nested: Default::default(),
                retry_bound: RetryBound::new(settings.retry, clock.now()),
                random: Pcg64Mcg::seed_from_u64(incarnation),
            }),
            tenant_access: Mutex::new(TenantAccess {
                lease: TableLease::new(settings.key_revocation),
                quotas: TenantQuotas::new(settings.quota),
            }),
            quarantine: Default::default(),
            reporter,
            router: ArcSwapOption::empty(),
            liveness: Default::default(),
            daemon_pools: Pools::new(IDLE_DAEMON_CONNECTIONS, clock),
            endpoint_pools,
            metrics: Metrics::default(),
            in_progress: Default::default(),
            stop: Default::default(),
            settings,
            clock,
            local,
            control,
            log: log.clone(),
        });
        let mut background = JoinSet::new();
        background.spawn(recording.run(heartbeat));
        background.spawn(close_stale(Arc::clone(&shared)));
        let watcher = Watcher::new(
            Arc::clone(&shared),
            Arc::clone(&registrar),
            read_table,
            incarnation,
        );
        background.spawn(watcher.run());
        background.spawn(Renewer::new(Arc::clone(&shared), incarnation).run());
        background.spawn(content_reports::run(Arc::clone(&shared), reports));
        background.spawn(bound_watch::run(Arc::clone(&shared)));
        background.spawn(serve_metrics(metrics, Arc::clone(&shared)));
        let stop = watch::Sender::new(false);
        let mut servers = JoinSet::new();
        let handler = Arc::new(Outbound::new(Arc::clone(&shared)));
        let resting = Arc::clone(&shared);
        let keep = KeepPolicy {
            longest_rest: Arc::new(move || caller_rest(&resting)),
            most_at_rest: CALLER_CONNECTIONS_AT_REST,
        };
        servers.spawn(serve(
            outbound,
            handler,
            keep,
            stop.subscribe(),
            log.clone(),
        ));
        let handler = Arc::new(Inbound::new(Arc::clone(&shared)));
        let keep = KeepPolicy {
            longest_rest: Arc::new(|| DAEMON_CONNECTION_REST),
            most_at_rest: usize::MAX,
        };
        servers.spawn(serve(inbound, handler, keep, stop.subscribe(), log.clone()));
        slog::info!(log, "daemon started"; "name" => %shared.settings.name,
            "incarnation" => incarnation);
        Ok(Self {
            shared,
            registrar,
            stop,
            servers,
            _background: background,
        })
    }

    /// What the daemon's parts share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Takes the local endpoint's words.
    pub fn registrar(&self) -> &Arc<Registrar> {
        &self.registrar
    }

    /// Stops as planned: no new caller is sent here, what has come is answered, then connections
    /// are closed.
    pub async fn stop(mut self) {
        let end = planned_stop::until_quiet(&self.shared).await;
        self.stop.send_replace(true);
        let ended = async { while self.servers.join_next().await.is_some() {} };
        let is_clean = self.shared.clock.timeout_at(end, ended).await.is_ok();
        planned_stop::note_cut_off(&self.shared);
        slog::info!(self.shared.log, "stopped"; "in_progress" => self.shared.in_progress.count(),
            "all_connections_ended" => is_clean);
    }
}

async fn listen(
    listener: &'static str,
    address: SocketAddr,
) -> Result<tokio::net::TcpListener, StartError> {
    bind(address).await.map_err(|error| StartError::Bind {
        listener,
        address,
        error,
    })
}

async fn close_stale(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(POOL_CHECK_PERIOD);
    loop {
        ticks.tick().await;
        shared.daemon_pools.close_stale();
        shared.endpoint_pools.close_stale();
    }
}

async fn serve_metrics(listener: tokio::net::TcpListener, shared: Arc<Shared>) {
    let text = move || std::future::ready(shared.metrics.text());
    let router = axum::Router::new().route("/metrics", axum::routing::get(text));
    if let Err(error) = axum::serve(listener, router).await {
        // Only the listener's own failure ends it, and the daemon goes on without metrics.
        eprintln!("metrics: {error}");
    }
}
