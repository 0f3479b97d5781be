//! Puts a daemon together, runs it, and stops it without interrupting anything.

use crate::admin::{Admin, AdminState};
use crate::clock::Clock;
use crate::control::ledger::{CLAIM_TIMEOUT, LedgerClient, LedgerJob};
use crate::control::store::{BundleStore, StoreError};
use crate::control::{PollConfig, Poller};
use crate::driver::Driver;
use crate::http::pool::{Pool, Pools};
use crate::http::server::{Handler, ServerConfig, serve};
use crate::inbound::Inbound;
use crate::load_report;
use crate::metrics::Metrics;
use crate::outbound::Outbound;
use crate::sessions::{SessionKeyError, SessionKeys};
use crate::settings::{EndpointSettings, Settings};
use crate::shared::{IdSource, Shared};
use arc_swap::ArcSwapOption;
use bramblewheel_core::engine::{Engine, EngineConfig, LocalEndpoint};
use bramblewheel_core::event::Event;
use bramblewheel_protocol::control::{EndpointRegistration, Registration};
use bramblewheel_storage::DiskFileSystem;
use slog::Logger;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Time between a complete drain and the closing of connections. Meanwhile late requests are
/// still refused with proof, instead of meeting a closed connection that proves nothing.
const DRAIN_LINGER: Duration = Duration::from_secs(1);
/// Time after which a drain that is still going on is logged, again and again.
const DRAIN_REMINDER: Duration = Duration::from_secs(60);
/// Time between two looks for pools that are no longer used.
const POOL_CHECK_PERIOD: Duration = Duration::from_secs(30);

/// A daemon can't start; the text is one line.
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
    /// The data folder can't be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The session keys can't be used.
    #[error(transparent)]
    SessionKeys(#[from] SessionKeyError),
    /// The operating system gives no random numbers.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
}

impl From<getrandom::Error> for StartError {
    fn from(error: getrandom::Error) -> Self {
        Self::Random(error)
    }
}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// Calls from other daemons; none at a gateway.
    pub inbound: Option<SocketAddr>,
    /// Calls from applications or outside callers.
    pub outbound: SocketAddr,
    /// Health and metrics.
    pub admin: SocketAddr,
}

/// A running daemon. Dropping it ends the daemon at once, as a crash would.
#[derive(Debug)]
pub struct DaemonHandle {
    addresses: BoundAddresses,
    driver: Arc<Driver>,
    draining: watch::Sender<bool>,
    stopped: watch::Receiver<bool>,
    _tasks: JoinSet<()>,
}

impl DaemonHandle {
    /// Addresses that the daemon listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Begins a planned stop: no new work is taken, what is in progress is finished.
    pub fn drain(&self) {
        self.draining.send_replace(true);
        self.driver.submit(Event::DrainRequested);
    }

    /// Waits until a planned stop is complete.
    pub async fn stopped(&mut self) {
        // The sender is dropped only after it has sent, or when the runtime goes down.
        let _ = self.stopped.wait_for(|stopped| *stopped).await;
    }
}

/// Starts a daemon; returns once it listens.
///
/// # Errors
/// [`StartError`] when a listener, file or folder can't be opened.
pub async fn run(settings: Settings, log: Logger) -> Result<DaemonHandle, StartError> {
    let store = BundleStore::open(DiskFileSystem, &settings.data_folder)?;
    let persisted = store.load()?.map(Arc::new);
    let sessions = match &settings.sessions {
        Some(sessions) => SessionKeys::load(&sessions.key_file)?,
        None => SessionKeys::default(),
    };
    let listeners = Listeners::bind(&settings).await?;
    let addresses = listeners.addresses;
    let incarnation = getrandom::u64()?;
    let (ledger, ledger_jobs) = mpsc::unbounded_channel();
    let engine = Engine::new(engine_config(&settings, getrandom::u64()?));
    let driver = Arc::new(Driver::new(engine, Clock::start(), ledger.clone()));
    let metrics = Arc::new(Metrics::default());
    if let Some(bundle) = &persisted {
        driver.submit(Event::BundleInstalled(Arc::clone(bundle)));
        slog::info!(log, "bundle in force"; "version" => bundle.version.0, "source" => "disk");
    }
    let shared = Arc::new(Shared {
        driver: Arc::clone(&driver),
        pools: Pools::default(),
        limits: settings.limits.clone(),
        sessions,
        bundle: Arc::new(ArcSwapOption::new(persisted)),
        endpoint: settings.endpoint.as_ref().map(|endpoint| endpoint.address),
        metrics,
        ids: IdSource::new(getrandom::u64()?),
    });
    let draining = watch::Sender::new(false);
    let parts = Parts {
        settings,
        shared,
        store,
        incarnation,
        draining: draining.subscribe(),
        log,
    };
    let mut tasks = JoinSet::new();
    parts.start_background(&mut tasks, addresses, ledger_jobs);
    let stopped = parts.start_listeners(&mut tasks, listeners, ledger);
    Ok(DaemonHandle {
        addresses,
        driver,
        draining,
        stopped,
        _tasks: tasks,
    })
}

fn engine_config(settings: &Settings, seed: u64) -> EngineConfig {
    EngineConfig {
        daemon: settings.name.clone(),
        zone: settings.zone.clone(),
        endpoint: settings.endpoint.as_ref().map(|endpoint| LocalEndpoint {
            endpoint: endpoint.name.clone(),
            service: endpoint.service.clone(),
        }),
        seed,
        claim_timeout: CLAIM_TIMEOUT,
    }
}

struct Listeners {
    inbound: Option<TcpListener>,
    outbound: TcpListener,
    admin: TcpListener,
    addresses: BoundAddresses,
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, StartError> {
        let inbound = match settings.listen.inbound {
            Some(address) => Some(bind("inbound", address).await?),
            None => None,
        };
        let (outbound, outbound_address) = bind("outbound", settings.listen.outbound).await?;
        let (admin, admin_address) = bind("admin", settings.listen.admin).await?;
        let addresses = BoundAddresses {
            inbound: inbound.as_ref().map(|(_, address)| *address),
            outbound: outbound_address,
            admin: admin_address,
        };
        Ok(Self {
            inbound: inbound.map(|(listener, _)| listener),
            outbound,
            admin,
            addresses,
        })
    }
}

async fn bind(
    listener: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr), StartError> {
    let failed = |error| StartError::Bind {
        listener,
        address,
        error,
    };
    let socket = TcpListener::bind(address).await.map_err(failed)?;
    let bound = socket.local_addr().map_err(failed)?;
    Ok((socket, bound))
}

/// What the daemon's tasks are made from.
struct Parts {
    settings: Settings,
    shared: Arc<Shared>,
    store: BundleStore,
    incarnation: u64,
    draining: watch::Receiver<bool>,
    log: Logger,
}

impl Parts {
    fn start_background(
        &self,
        tasks: &mut JoinSet<()>,
        addresses: BoundAddresses,
        jobs: mpsc::UnboundedReceiver<LedgerJob>,
    ) {
        let shared = &self.shared;
        let driver = Arc::clone(&shared.driver);
        tasks.spawn(async move { driver.run_timer().await });
        let ledger = LedgerClient::new(
            jobs,
            self.settings.control.clone(),
            self.incarnation,
            Arc::clone(&shared.driver),
            Arc::clone(&shared.metrics),
            self.log.clone(),
        );
        tasks.spawn(ledger.run());
        tasks.spawn(self.poller(addresses).run());
        tasks.spawn(check_pools(Arc::clone(shared)));
        if let Some(endpoint) = shared.endpoint {
            let pool = Arc::new(Pool::new(endpoint));
            tasks.spawn(load_report::run(Arc::clone(&shared.driver), pool));
        }
    }

    fn poller(&self, addresses: BoundAddresses) -> Poller {
        let settings = &self.settings;
        let endpoint = settings.endpoint.as_ref().zip(addresses.inbound);
        let config = PollConfig {
            replicas: settings.control.clone(),
            registration: Registration {
                daemon: settings.name.clone(),
                incarnation: self.incarnation,
                zone: settings.zone.clone(),
                region: settings.region.clone(),
                endpoint: endpoint.map(|(endpoint, address)| registration(endpoint, address)),
            },
            services: settings.calls.clone(),
            store: self.store.clone(),
            draining: self.draining.clone(),
            log: self.log.clone(),
        };
        Poller::new(
            config,
            Arc::clone(&self.shared.driver),
            Arc::clone(&self.shared.bundle),
            Arc::clone(&self.shared.metrics),
        )
    }

    fn start_listeners(
        &self,
        tasks: &mut JoinSet<()>,
        listeners: Listeners,
        ledger: mpsc::UnboundedSender<LedgerJob>,
    ) -> watch::Receiver<bool> {
        let shared = &self.shared;
        let mut servers = Servers::new(&self.settings, &self.log);
        if let Some((listener, endpoint)) = listeners.inbound.zip(shared.endpoint) {
            let inbound = Inbound::new(Arc::clone(shared), endpoint);
            servers.start("inbound", listener, inbound);
        }
        let outbound = Outbound::new(Arc::clone(shared));
        servers.start("outbound", listeners.outbound, outbound);
        let admin = Admin::new(AdminState {
            shared: Arc::clone(shared),
            draining: self.draining.clone(),
            ledger,
        });
        servers.start("admin", listeners.admin, admin);
        let stopped = watch::Sender::new(false);
        let is_stopped = stopped.subscribe();
        let driver = Arc::clone(&shared.driver);
        let draining = self.draining.clone();
        let log = self.log.clone();
        tasks.spawn(async move {
            wait_for_drain(&driver, draining, &log).await;
            servers.stop().await;
            stopped.send_replace(true);
        });
        is_stopped
    }
}

fn registration(endpoint: &EndpointSettings, address: SocketAddr) -> EndpointRegistration {
    EndpointRegistration {
        endpoint: endpoint.name.clone(),
        service: endpoint.service.clone(),
        address,
        draining: false,
    }
}

/// The listeners of a daemon, which end together.
struct Servers {
    tasks: JoinSet<()>,
    config: ServerConfig,
    stop: watch::Sender<bool>,
}

impl Servers {
    fn new(settings: &Settings, log: &Logger) -> Self {
        let stop = watch::Sender::new(false);
        Self {
            tasks: JoinSet::new(),
            config: ServerConfig {
                limits: settings.limits.clone(),
                stop: stop.subscribe(),
                log: log.clone(),
            },
            stop,
        }
    }

    fn start<H: Handler>(&mut self, name: &'static str, listener: TcpListener, handler: H) {
        if let Ok(address) = listener.local_addr() {
            let address = address.to_string();
            slog::info!(self.config.log, "listening"; "address" => address, "listener" => name);
        }
        let config = self.config.clone();
        self.tasks.spawn(serve(listener, Arc::new(handler), config));
    }

    /// Closes connections after the request in progress and waits for them.
    async fn stop(mut self) {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn wait_for_drain(driver: &Driver, mut draining: watch::Receiver<bool>, log: &Logger) {
    // The sender lives in the handle; when that is dropped, so is this task.
    let _ = draining.wait_for(|draining| *draining).await;
    let mut drained = driver.drained();
    loop {
        let complete = drained.wait_for(|drained| *drained);
        if tokio::time::timeout(DRAIN_REMINDER, complete).await.is_ok() {
            break;
        }
        slog::warn!(log, "still draining"; "reason" => "calls are in progress");
    }
    tokio::time::sleep(DRAIN_LINGER).await;
}

async fn check_pools(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(POOL_CHECK_PERIOD);
    loop {
        ticks.tick().await;
        shared.pools.retain_used();
    }
}
