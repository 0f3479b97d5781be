//! The three listeners of a replica: bound together, each served by a task.
//!
//! Owns the sockets until they are served. Relies on `accept` to bound their connections.

use super::error::StartError;
use super::handle::BoundAddresses;
use super::input::{ConnectionId, Inputs};
use super::listener::accept;
use super::{admin, peer_in, service};
use crate::settings::{AdminSettings, ListenSettings};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A socket that is bound and not yet served.
struct Bound {
    socket: TcpListener,
    address: SocketAddr,
}

/// The listeners of a replica, bound and not yet served.
pub(super) struct Listeners {
    /// Addresses by which others know the listeners.
    pub(super) addresses: BoundAddresses,
    peer: TcpListener,
    service: TcpListener,
    admin: TcpListener,
}

impl Listeners {
    /// Binds the listeners that the settings name.
    ///
    /// # Errors
    /// [`StartError::Bind`] for the first that can't be bound.
    pub(super) async fn bind(listen: &ListenSettings, log: &Logger) -> Result<Self, StartError> {
        let peer = bind("peer", listen.bound(listen.peer), log).await?;
        let service = bind("service", listen.bound(listen.service), log).await?;
        let admin = bind("admin", listen.bound(listen.admin), log).await?;
        Ok(Self {
            addresses: BoundAddresses {
                peer: listen.known(listen.peer, peer.address),
                service: listen.known(listen.service, service.address),
                admin: listen.known(listen.admin, admin.address),
            },
            peer: peer.socket,
            service: service.socket,
            admin: admin.socket,
        })
    }

    /// Starts the tasks that serve the listeners until `stop`.
    pub(super) fn serve(
        self,
        tasks: &mut JoinSet<()>,
        admin: AdminSettings,
        inputs: &Inputs,
        stop: &watch::Sender<bool>,
        log: &Logger,
    ) {
        spawn_peer(tasks, self.peer, inputs, stop, log);
        spawn_service(tasks, self.service, inputs, stop, log);
        spawn_admin(tasks, self.admin, admin, inputs, stop, log);
    }
}

async fn bind(
    listener: &'static str,
    address: SocketAddr,
    log: &Logger,
) -> Result<Bound, StartError> {
    let failed = |error| StartError::Bind {
        listener,
        address,
        error,
    };
    let socket = TcpListener::bind(address).await.map_err(failed)?;
    let address = socket.local_addr().map_err(failed)?;
    slog::info!(log, "listening"; "address" => address.to_string(), "listener" => listener);
    Ok(Bound { socket, address })
}

fn spawn_peer(
    tasks: &mut JoinSet<()>,
    listener: TcpListener,
    inputs: &Inputs,
    stop: &watch::Sender<bool>,
    log: &Logger,
) {
    let (inputs, stopped, serve_log) = (inputs.clone(), stop.subscribe(), log.clone());
    let serve = move |stream, peer| {
        let serving = peer_in::serve(stream, peer, inputs.clone(), serve_log.clone());
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
        stop.subscribe(),
        log.clone(),
        serve,
    ));
}

fn spawn_service(
    tasks: &mut JoinSet<()>,
    listener: TcpListener,
    inputs: &Inputs,
    stop: &watch::Sender<bool>,
    log: &Logger,
) {
    let (inputs, stopped, serve_log) = (inputs.clone(), stop.subscribe(), log.clone());
    let next = AtomicU64::new(0);
    let serve = move |stream, peer| {
        let connection = service::Connection {
            id: ConnectionId(next.fetch_add(1, Ordering::Relaxed)),
            peer,
            inputs: inputs.clone(),
            stop: stopped.clone(),
            log: serve_log.clone(),
        };
        connection.serve(stream)
    };
    tasks.spawn(accept(
        listener,
        service::LIMITS,
        stop.subscribe(),
        log.clone(),
        serve,
    ));
}

fn spawn_admin(
    tasks: &mut JoinSet<()>,
    listener: TcpListener,
    settings: AdminSettings,
    inputs: &Inputs,
    stop: &watch::Sender<bool>,
    log: &Logger,
) {
    let router = admin::router(inputs.clone());
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
        stop.subscribe(),
        log.clone(),
        serve,
    ));
}
