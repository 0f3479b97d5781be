//! The three listeners of a daemon: requests of callers, requests from other daemons, metrics.
//!
//! Owns how long connections are kept on each. Relies on [`crate::http::server`] to serve them.

use crate::http::server::{KeepPolicy, serve};
use crate::inbound::Inbound;
use crate::outbound::{Outbound, caller_idle_timeout};
use crate::settings::Settings;
use crate::shared::Shared;
use bramblewheel_process::listener::{BindError, bind};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Rest after which a connection of another daemon is closed: twice as long as the other keeps it
/// ([`super::parts::IDLE_DAEMON_CONNECTIONS`]), so that no request crosses the close.
const DAEMON_CONNECTION_REST: Duration = Duration::from_secs(8);
/// Callers' connections at rest beyond which new ones are closed after their first answer. Guards
/// against callers that open a connection for each request and leave it open: without it daemons of
/// a fleet of 300 machines held 2,913 and 3,818 files. The figure is chosen, not measured.
const CALLER_CONNECTIONS_AT_REST: usize = 128;

/// The listeners, open but not served yet.
pub(super) struct Listeners {
    /// Requests of callers on this machine.
    pub(super) outbound: TcpListener,
    /// Requests that other daemons hand over.
    pub(super) inbound: TcpListener,
    /// Metrics.
    pub(super) metrics: TcpListener,
}

impl Listeners {
    /// Opens the listeners that the settings name.
    ///
    /// # Errors
    /// [`BindError`] for the first one that can't be opened.
    pub(super) async fn bind(settings: &Settings) -> Result<Self, BindError> {
        let (outbound, _) = bind("outbound", settings.outbound).await?;
        let (inbound, _) = bind("inbound", settings.inbound_bound()).await?;
        let (metrics, _) = bind("metrics", settings.metrics).await?;
        Ok(Self {
            outbound,
            inbound,
            metrics,
        })
    }
}

/// Serves callers until `stop`, and then until their connections have ended.
pub(super) async fn serve_callers(
    listener: TcpListener,
    shared: Arc<Shared>,
    stop: watch::Receiver<bool>,
) {
    let log = shared.log.clone();
    let handler = Arc::new(Outbound::new(Arc::clone(&shared)));
    let keep = KeepPolicy {
        longest_rest: Arc::new(move || caller_idle_timeout(&shared)),
        most_at_rest: CALLER_CONNECTIONS_AT_REST,
    };
    serve(listener, handler, keep, stop, log).await;
}

/// Serves other daemons until `stop`, and then until their connections have ended.
pub(super) async fn serve_daemons(
    listener: TcpListener,
    shared: Arc<Shared>,
    stop: watch::Receiver<bool>,
) {
    let log = shared.log.clone();
    let handler = Arc::new(Inbound::new(shared));
    let keep = KeepPolicy {
        longest_rest: Arc::new(|| DAEMON_CONNECTION_REST),
        most_at_rest: usize::MAX,
    };
    serve(listener, handler, keep, stop, log).await;
}

/// Serves the metrics as text until the task is dropped.
pub(super) async fn serve_metrics(listener: TcpListener, shared: Arc<Shared>) {
    let text = move || std::future::ready(shared.metrics.text());
    let router = axum::Router::new().route("/metrics", axum::routing::get(text));
    if let Err(error) = axum::serve(listener, router).await {
        // Only the listener's own failure ends it, and the daemon goes on without metrics.
        eprintln!("metrics: {error}");
    }
}
