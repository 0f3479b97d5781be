//! Accepts connections up to a limit until the replica stops.

use super::connection_metrics::ListenerMetrics;
use slog::Logger;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

/// Pause after a failed accept, for instance when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Logged reason for closing a connection above the limit.
pub(super) const TOO_MANY_CONNECTIONS: &str = "too many connections";

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    /// Connections open at one time.
    pub(super) connections: usize,
    /// Reason logged when a connection above the limit is closed.
    pub(super) refusal_reason: &'static str,
}

/// Serves connections until `stop`, then waits until they have ended.
pub(super) async fn accept<F, Fut>(
    listener: TcpListener,
    limits: Limits,
    metrics: ListenerMetrics,
    mut stop: watch::Receiver<bool>,
    log: Logger,
    serve: F,
) where
    F: Fn(TcpStream, SocketAddr) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
            Some(_) = connections.join_next() => continue,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                slog::warn!(log, "accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            slog::warn!(log, "connection refused"; "peer" => peer.to_string(),
                "reason" => limits.refusal_reason);
            metrics.count_refused();
            continue;
        };
        // With Nagle's algorithm, a short reply could wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let serving = serve(stream, peer);
        let counted = metrics.count_open();
        connections.spawn(async move {
            serving.await;
            drop((permit, counted));
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}
