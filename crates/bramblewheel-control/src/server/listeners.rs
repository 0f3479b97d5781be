//! The tasks that serve the three listeners.

use super::input::{ConnectionId, Inputs};
use super::listener::accept;
use super::{admin, peer_in, service};
use crate::settings::AdminSettings;
use slog::Logger;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

pub(super) fn spawn_peer(
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

pub(super) fn spawn_service(
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

pub(super) fn spawn_admin(
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
