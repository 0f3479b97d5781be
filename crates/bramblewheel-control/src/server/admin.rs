//! The admin listener, which serves health, readiness and metrics.

use super::connection_metrics::ConnectionMetrics;
use super::exposition;
use super::input::{Input, Inputs, Inspection};
use super::listener::{Limits, TOO_MANY_CONNECTIONS};
use crate::settings::AdminSettings;
use axum::Router;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use prometheus_client::metrics::histogram::Histogram;
use slog::Logger;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio_io_timeout::TimeoutWriter;

/// Header lines in one request at most; same limit as in the daemon.
const MAX_HEADERS: usize = 64;
/// Size of a message head at most, in bytes; same limit as in the daemon.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Time in which a client must read something of an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

pub(super) fn limits(settings: AdminSettings) -> Limits {
    Limits {
        connections: settings.connections,
        refusal_reason: TOO_MANY_CONNECTIONS,
    }
}

/// Serves one connection until it ends. On `stop`, closes it after the request in progress.
pub(super) async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    router: Router,
    header_timeout: Duration,
    mut stop: watch::Receiver<bool>,
    log: Logger,
) {
    let mut stream = TimeoutWriter::new(stream);
    stream.set_timeout(Some(WRITE_TIMEOUT));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_headers(MAX_HEADERS)
        .max_header_size(MAX_HEADER_BYTES)
        .serve_connection(
            TokioIo::new(Box::pin(stream)),
            TowerToHyperService::new(router),
        );
    let mut connection = std::pin::pin!(connection);
    let stop_requested = async move {
        let _ = stop.wait_for(|stop| *stop).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop_requested => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        slog::debug!(log, "admin connection ended"; "peer" => %peer, "error" => %error);
    }
}

/// What the admin listener reports on.
#[derive(Clone)]
pub(super) struct Sources {
    /// The node's thread.
    pub(super) inputs: Inputs,
    /// Connections of all listeners.
    pub(super) connections: ConnectionMetrics,
    /// Lateness of this process's timers, in seconds.
    pub(super) timer_lateness: Histogram,
}

pub(super) fn router(sources: Sources) -> Router {
    Router::new()
        .route("/healthz", get(async || "live\n"))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .with_state(sources)
}

async fn inspect(inputs: &Inputs) -> Option<Inspection> {
    let (answer, answered) = oneshot::channel();
    inputs.send(Input::Inspect(answer)).ok()?;
    answered.await.ok()
}

async fn ready(State(Sources { inputs, .. }): State<Sources>) -> (StatusCode, &'static str) {
    let reason = match inspect(&inputs).await {
        None => "stopped\n",
        Some(inspection) if inspection.is_stopping => "stopping\n",
        Some(inspection) if inspection.metrics.disk_full => "disk is full\n",
        Some(inspection) if !inspection.has_group => "not yet in a group\n",
        Some(inspection) if !inspection.metrics.has_quorum => "no quorum\n",
        Some(_) => return (StatusCode::OK, "ready\n"),
    };
    (StatusCode::SERVICE_UNAVAILABLE, reason)
}

async fn metrics(State(sources): State<Sources>) -> Response {
    match inspect(&sources.inputs).await {
        Some(inspection) => {
            let text = exposition::write(
                &inspection.metrics,
                &sources.connections,
                sources.timer_lateness,
            );
            ([(CONTENT_TYPE, OPEN_METRICS)], text).into_response()
        }
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
