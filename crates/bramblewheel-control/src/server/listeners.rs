//! The three listeners of a replica. Each is served by a task of its own, the admin listener before the
//! data folder is open.
//!
//! `accept` limits the number of connections.

use super::connection_metrics::{ConnectionMetrics, ListenerMetrics};
use super::current_connections::CurrentConnections;
use super::error::StartError;
use super::handle::BoundAddresses;
use super::input::{ConnectionId, Inputs};
use super::listener::accept;
use super::peer_in::{self, PeerListener};
use super::{admin, exposition, service};
use crate::settings::{AdminSettings, ListenSettings, ServiceSettings};
use bramblewheel_process::clock::Clock as ProcessClock;
use bramblewheel_process::lateness::Lateness;
use prometheus_client::metrics::histogram::Histogram;
use slog::Logger;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A socket that is bound but not served yet.
struct Bound {
    socket: TcpListener,
    address: SocketAddr,
}

/// The admin listener, bound but not served yet. It is served before the others.
pub(super) struct AdminListener {
    bound: Bound,
    advertised: SocketAddr,
}

impl AdminListener {
    /// Binds the admin listener named in the settings.
    ///
    /// # Errors
    /// [`StartError::Bind`] if it can't be bound.
    pub(super) async fn bind(listen: &ListenSettings, log: &Logger) -> Result<Self, StartError> {
        let bound = bind("admin", listen.bind_address(listen.admin), log).await?;
        let advertised = listen.advertised_address(listen.admin, bound.address);
        Ok(Self { bound, advertised })
    }

    /// Starts the tasks that serve the listener until `stop`. Returns the address at which others reach it.
    pub(super) fn serve(
        self,
        tasks: &mut JoinSet<()>,
        settings: AdminSettings,
        inputs: &Inputs,
        connections: &ConnectionMetrics,
        stop: &watch::Sender<bool>,
        log: &Logger,
    ) -> SocketAddr {
        let timer_lateness = exposition::lateness_histogram();
        spawn_lateness(tasks, timer_lateness.clone(), stop, log);
        let sources = admin::Sources {
            inputs: inputs.clone(),
            connections: connections.clone(),
            timer_lateness,
        };
        spawn_admin(tasks, self.bound.socket, settings, sources, stop, log);
        self.advertised
    }
}

/// The listeners for replicas and clients, bound but not served yet.
pub(super) struct Listeners {
    /// Addresses at which others reach all listeners.
    pub(super) addresses: BoundAddresses,
    peer: TcpListener,
    service: TcpListener,
}

impl Listeners {
    /// Binds the listeners named in the settings; `admin` is the address of the admin listener.
    ///
    /// # Errors
    /// [`StartError::Bind`] for the first listener that can't be bound.
    pub(super) async fn bind(
        listen: &ListenSettings,
        admin: SocketAddr,
        log: &Logger,
    ) -> Result<Self, StartError> {
        let peer = bind("peer", listen.bind_address(listen.peer), log).await?;
        let service = bind("service", listen.bind_address(listen.service), log).await?;
        Ok(Self {
            addresses: BoundAddresses {
                peer: listen.advertised_address(listen.peer, peer.address),
                service: listen.advertised_address(listen.service, service.address),
                admin,
            },
            peer: peer.socket,
            service: service.socket,
        })
    }

    /// Starts the tasks that serve the listeners until `stop`.
    pub(super) fn serve(
        self,
        tasks: &mut JoinSet<()>,
        settings: ServiceSettings,
        inputs: &Inputs,
        connections: &ConnectionMetrics,
        stop: &watch::Sender<bool>,
        log: &Logger,
    ) {
        let metrics = connections.of("peer");
        spawn_peer(tasks, self.peer, inputs, metrics, stop, log);
        let metrics = connections.of("service");
        spawn_service(tasks, self.service, settings, inputs, metrics, stop, log);
    }
}

async fn bind(
    listener: &'static str,
    address: SocketAddr,
    log: &Logger,
) -> Result<Bound, StartError> {
    let bind_error = |error| StartError::Bind {
        listener,
        address,
        error,
    };
    let socket = TcpListener::bind(address).await.map_err(bind_error)?;
    let address = socket.local_addr().map_err(bind_error)?;
    slog::info!(log, "listening"; "address" => address.to_string(), "listener" => listener);
    Ok(Bound { socket, address })
}

fn spawn_peer(
    tasks: &mut JoinSet<()>,
    listener: TcpListener,
    inputs: &Inputs,
    metrics: ListenerMetrics,
    stop: &watch::Sender<bool>,
    log: &Logger,
) {
    let served = PeerListener {
        inputs: inputs.clone(),
        connections: CurrentConnections::default(),
        log: log.clone(),
    };
    let stopped = stop.subscribe();
    let serve = move |stream, peer| {
        let serving = served.clone().serve(stream, peer);
        let mut stop = stopped.clone();
        async move {
            tokio::select! {
                () = serving => {}
                _ = stop.wait_for(|stop| *stop) => {}
            }
        }
    };
    tasks.spawn(accept(
        listener,
        peer_in::LIMITS,
        metrics,
        stop.subscribe(),
        log.clone(),
        serve,
    ));
}

fn spawn_service(
    tasks: &mut JoinSet<()>,
    listener: TcpListener,
    settings: ServiceSettings,
    inputs: &Inputs,
    metrics: ListenerMetrics,
    stop: &watch::Sender<bool>,
    log: &Logger,
) {
    let (inputs, stopped, serve_log) = (inputs.clone(), stop.subscribe(), log.clone());
    let next = AtomicU64::new(0);
    let streams = CurrentConnections::default();
    let serve = move |stream, peer| {
        let connection = service::Connection {
            id: ConnectionId(next.fetch_add(1, Ordering::Relaxed)),
            peer,
            inputs: inputs.clone(),
            streams: streams.clone(),
            idle_timeout: settings.idle_timeout(),
            stop: stopped.clone(),
            log: serve_log.clone(),
        };
        connection.serve(stream)
    };
    tasks.spawn(accept(
        listener,
        service::LIMITS,
        metrics,
        stop.subscribe(),
        log.clone(),
        serve,
    ));
}

/// Measures the lateness of the process's timers until `stop`.
fn spawn_lateness(
    tasks: &mut JoinSet<()>,
    histogram: Histogram,
    stop: &watch::Sender<bool>,
    log: &Logger,
) {
    let (log, mut stop) = (log.clone(), stop.subscribe());
    tasks.spawn(async move {
        let observe = |lateness: Duration| histogram.observe(lateness.as_secs_f64());
        let timers = Lateness::default();
        tokio::select! {
            () = timers.run(ProcessClock::start(), log, observe) => {}
            _ = stop.wait_for(|stop| *stop) => {}
        }
    });
}

fn spawn_admin(
    tasks: &mut JoinSet<()>,
    listener: TcpListener,
    settings: AdminSettings,
    sources: admin::Sources,
    stop: &watch::Sender<bool>,
    log: &Logger,
) {
    let metrics = sources.connections.of("admin");
    let router = admin::router(sources);
    let (stopped, serve_log) = (stop.subscribe(), log.clone());
    let header_timeout = settings.header_timeout();
    let serve = move |stream, peer| {
        let (router, stop) = (router.clone(), stopped.clone());
        admin::serve(
            stream,
            peer,
            router,
            header_timeout,
            stop,
            serve_log.clone(),
        )
    };
    tasks.spawn(accept(
        listener,
        admin::limits(settings),
        metrics,
        stop.subscribe(),
        log.clone(),
        serve,
    ));
}
