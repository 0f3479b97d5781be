//! Listeners: accept connections up to a cap, serve HTTP/1.1 on them, stop without breaking any.

use crate::http::body::AnswerBody;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::Logger;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;

/// Time for the head of a request to arrive, which includes the rest between two requests: longer
/// than what any caller is told.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);
/// Bytes read ahead on a connection, which is also the longest head.
const READ_AHEAD: usize = 64 * 1024;
/// Connections of one listener; beyond it they wait to be accepted.
const MAX_CONNECTIONS: usize = 1_800;
/// Wait after a failed accept, such as when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A handler of requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request. Dropped when the caller goes away.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Opens a listener.
///
/// # Errors
/// What the operating system says.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves a listener until `stop`; returns once every connection has ended.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = told_to_stop(&mut stop) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, Arc::clone(&handler), stop.clone());
                connections.spawn(async move {
                    connection.await;
                    drop(permit);
                });
            }
            Err(error) => {
                slog::warn!(log, "accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn told_to_stop(stop: &mut watch::Receiver<bool>) {
    // The sender lives as long as the listeners; when it is gone, so is the daemon.
    let _ = stop.wait_for(|stop| *stop).await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    // Without it a short answer may wait for the other side's delayed acknowledgement.
    // No time-out of unacknowledged bytes: a caller may read slowly.
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_AHEAD)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // How a connection ends is seen by the requests on it.
    let _ = tokio::select! {
        ended = connection.as_mut() => ended,
        () = told_to_stop(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
}
