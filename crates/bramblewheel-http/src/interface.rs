//! HTTP servers for operators, probes and collectors of metrics: few connections, short requests.
//!
//! A connection ends when nothing was read or written on it for some time, since the network may have cut it without
//! telling this side.

use crate::stop::stop_requested;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use slog::Logger;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio_io_timeout::TimeoutStream;

/// Pause after a failed accept, for example when no file descriptor is available.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct InterfaceLimits {
    /// Connections open at one time; further ones wait to be accepted.
    pub connections: usize,
    /// Time in which something must be read, also while a request is being answered. Answers must take less.
    pub read_timeout: Duration,
    /// Time in which something must be written of an answer that is ready.
    pub write_timeout: Duration,
}

impl Default for InterfaceLimits {
    fn default() -> Self {
        Self {
            connections: 256,
            read_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// Serves until `stop` resolves; then accepts no further requests and ends once the requests in progress are answered.
pub async fn serve<S>(
    listener: TcpListener,
    router: Router,
    limits: InterfaceLimits,
    stop: S,
    log: Logger,
) where
    S: Future<Output = ()>,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let is_stopping = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        while connections.try_join_next().is_some() {}
        let accepting = async {
            let permit = Arc::clone(&permits).acquire_owned().await;
            (permit, listener.accept().await)
        };
        let accepted = tokio::select! {
            accepted = accepting => accepted,
            () = &mut stop => break,
        };
        match accepted {
            (permit, Ok((stream, _))) => {
                let serving =
                    serve_connection(stream, router.clone(), limits, is_stopping.subscribe());
                connections.spawn(async move {
                    serving.await;
                    drop(permit);
                });
            }
            (_, Err(error)) => {
                slog::warn!(log, "accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    is_stopping.send_replace(true);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    limits: InterfaceLimits,
    mut stop: watch::Receiver<bool>,
) {
    // Otherwise a short answer may wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let mut stream = TimeoutStream::new(stream);
    stream.set_read_timeout(Some(limits.read_timeout));
    stream.set_write_timeout(Some(limits.write_timeout));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout)
        .serve_connection(
            TokioIo::new(Box::pin(stream)),
            TowerToHyperService::new(router),
        );
    let mut connection = std::pin::pin!(connection);
    // Errors end the connection, and its client sees that.
    let _ = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop_requested(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
}
