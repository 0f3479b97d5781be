//! HTTP/1.1 listeners with a connection limit and graceful stop.
//!
//! A connection above the limit is answered with a refusal in the project's headers, which its
//! callers understand; the routed data path lets such connections wait instead.

use crate::http::answer::HttpAnswer;
use crate::settings::LimitSettings;
use bramblewheel_http::stop::stop_requested;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::Logger;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio_io_timeout::TimeoutWriter;

/// Answer on a connection above the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    connection: close\r\n\
    retry-after: 1\r\n\
    bw-outcome: not-run\r\n\
    bw-reason: overloaded\r\n\
    bw-retry-after-ms: 1000\r\n\
    content-length: 0\r\n\r\n";
/// Time-out for writing the answer to a refused connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, for example when no file descriptor is available.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Request handler of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request from `peer`. The future is dropped when the peer disconnects.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = HttpAnswer> + Send;
}

/// Configuration of a listener.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Limits on messages and connections of peers.
    pub limits: LimitSettings,
    /// Becomes true when connections must be closed after the request in progress.
    pub stop: watch::Receiver<bool>,
    /// Log.
    pub log: Logger,
}

/// Serves a listener until `stop`; returns once every connection has ended.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Arc<H>, config: ServerConfig) {
    let permits = Arc::new(Semaphore::new(config.limits.connections));
    let mut stop = config.stop.clone();
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop_requested(&mut stop) => break,
            Some(_) = connections.join_next() => continue,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                slog::warn!(config.log, "accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            connections.spawn(refuse(stream));
            continue;
        };
        let handler = Arc::clone(&handler);
        let config = config.clone();
        connections.spawn(async move {
            serve_connection(stream, peer, handler, config).await;
            drop(permit);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn refuse(mut stream: TcpStream) {
    let refusal = async {
        let _ = stream.write_all(TOO_MANY_CONNECTIONS).await;
        let _ = stream.shutdown().await;
    };
    let _ = tokio::time::timeout(REFUSAL_TIMEOUT, refusal).await;
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Arc<H>,
    mut config: ServerConfig,
) {
    // Otherwise a short answer may be delayed until the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request, peer).await) }
    });
    let mut stream = TimeoutWriter::new(stream);
    stream.set_timeout(Some(config.limits.body_timeout()));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(config.limits.header_timeout())
        .max_headers(config.limits.header_count)
        .max_header_size(config.limits.header_bytes)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop_requested(&mut config.stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        slog::debug!(config.log, "connection ended"; "peer" => %peer, "error" => %error);
    }
}
