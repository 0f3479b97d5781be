//! Start and planned stop of the daemon for signed bundles.
//!
//! Files are opened first, then the listeners, then the tasks are started. The settings were already
//! checked when they were read.

mod drain;
mod error;
mod listeners;

pub use error::StartError;
pub use listeners::BoundAddresses;

use crate::admin::{Admin, AdminState};
use crate::clock::Clock;
use crate::control::ledger::{CLAIM_TIMEOUT, LedgerClient, LedgerJob};
use crate::control::store::BundleStore;
use crate::control::{PollConfig, Poller};
use crate::driver::Driver;
use crate::http::pool::{Pool, Pools};
use crate::inbound::Inbound;
use crate::load_report;
use crate::metrics::Metrics;
use crate::outbound::Outbound;
use crate::sessions::{SessionKeyError, SessionKeys};
use crate::settings::{EndpointSettings, Settings};
use crate::shared::{IdSource, Shared};
use arc_swap::ArcSwapOption;
use bramblewheel_bundle::Bundle;
use bramblewheel_core::engine::{Engine, EngineConfig, LocalEndpoint};
use bramblewheel_core::event::Event;
use bramblewheel_protocol::control::{EndpointRegistration, Registration};
use bramblewheel_storage::DiskFileSystem;
use drain::wait_for_drain;
use listeners::{Listeners, Servers};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

/// Interval of the check for unused pools.
const POOL_CHECK_PERIOD: Duration = Duration::from_secs(30);

/// A running daemon. Dropping the handle stops the daemon at once, like a crash.
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

    /// Begins a planned stop: new work is refused and work in progress is finished.
    pub fn drain(&self) {
        self.draining.send_replace(true);
        self.driver.submit(Event::DrainRequested);
    }

    /// Waits until a planned stop is complete.
    pub async fn stopped(&mut self) {
        // The sender is dropped only after it has sent, or when the runtime shuts down.
        let _ = self.stopped.wait_for(|stopped| *stopped).await;
    }
}

/// Starts a daemon; returns once it is listening.
///
/// # Errors
/// [`StartError`] when a listener, file or folder can't be opened, or no random seed is available.
pub async fn run(settings: Settings, log: Logger) -> Result<DaemonHandle, StartError> {
    let store = BundleStore::open(DiskFileSystem, &settings.data_folder)?;
    let persisted = store.load()?.map(Arc::new);
    let sessions = session_keys(&settings)?;
    let listeners = Listeners::bind(&settings).await?;
    let addresses = listeners.addresses;
    let incarnation = getrandom::u64()?;
    let (ledger, ledger_jobs) = mpsc::unbounded_channel();
    let engine = Engine::new(engine_config(&settings, getrandom::u64()?));
    let driver = Arc::new(Driver::new(engine, Clock::start(), ledger.clone()));
    let metrics = Arc::new(Metrics::default());
    install_persisted(&driver, persisted.as_ref(), &log);
    let shared = Arc::new(Shared {
        driver: Arc::clone(&driver),
        pools: Pools::default(),
        limits: settings.limits.clone(),
        sessions,
        zone: settings.zone.clone(),
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

fn session_keys(settings: &Settings) -> Result<SessionKeys, SessionKeyError> {
    match &settings.sessions {
        Some(sessions) => SessionKeys::load(&sessions.key_file),
        None => Ok(SessionKeys::default()),
    }
}

/// Installs the bundle that was in force when the daemon last stopped.
fn install_persisted(driver: &Driver, persisted: Option<&Arc<Bundle>>, log: &Logger) {
    if let Some(bundle) = persisted {
        driver.submit(Event::BundleInstalled(Arc::clone(bundle)));
        slog::info!(log, "bundle in force"; "version" => bundle.version.0, "source" => "disk");
    }
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

/// Values needed to start the daemon's tasks.
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

async fn check_pools(shared: Arc<Shared>) {
    let mut ticks = tokio::time::interval(POOL_CHECK_PERIOD);
    loop {
        ticks.tick().await;
        shared.pools.retain_used();
    }
}
