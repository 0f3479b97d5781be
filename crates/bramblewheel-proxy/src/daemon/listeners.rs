//! The three listeners of a daemon: requests of callers, requests from other daemons, metrics.
//!
//! Also sets how long idle connections are kept on each.

use crate::http::ahead::AheadLimits;
use crate::http::server::{KeepAlivePolicy, serve, serve_ahead};
use crate::inbound::Inbound;
use crate::outbound::{Outbound, caller_idle_timeout};
use crate::settings::Settings;
use crate::shared::Shared;
use bramblewheel_http::interface::{self, InterfaceLimits};
use bramblewheel_process::listener::{BindError, bind};
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Idle time after which a connection of another daemon is closed: twice as long as the other daemon keeps it
/// ([`super::parts::IDLE_DAEMON_CONNECTIONS`]), so that no request arrives on a connection that is being closed.
const DAEMON_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of callers' idle connections from which new connections are closed after their first answer. Protects
/// against callers that open a connection for each request and leave it open: without the limit, daemons of a fleet
/// of 300 machines held 2,913 and 3,818 open files.
const MAX_IDLE_CALLER_CONNECTIONS: usize = 128;

/// Time in which a caller or daemon must read something of an answer. It may read slowly, or stop for a while.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// The listeners, bound but not served yet.
pub(super) struct Listeners {
    /// Requests of callers on this machine.
    pub(super) outbound: TcpListener,
    /// Requests that other daemons hand over.
    pub(super) inbound: TcpListener,
    /// Metrics.
    pub(super) metrics: TcpListener,
}

impl Listeners {
    /// Binds the listeners of the settings.
    ///
    /// # Errors
    /// [`BindError`] for the first one that can't be bound.
    pub(super) async fn bind(settings: &Settings) -> Result<Self, BindError> {
        let (outbound, _) = bind("outbound", settings.outbound).await?;
        let (inbound, _) = bind("inbound", settings.inbound_bind_address()).await?;
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
    let ahead = AheadLimits::new(shared.settings.requests_ahead, shared.clock);
    let keep_alive = KeepAlivePolicy {
        idle_timeout: Arc::new(move || caller_idle_timeout(&shared)),
        max_idle: MAX_IDLE_CALLER_CONNECTIONS,
        write_timeout: WRITE_TIMEOUT,
    };
    serve_ahead(listener, handler, keep_alive, ahead, stop, log).await;
}

/// Serves other daemons until `stop`, and then until their connections have ended.
pub(super) async fn serve_daemons(
    listener: TcpListener,
    shared: Arc<Shared>,
    stop: watch::Receiver<bool>,
) {
    let log = shared.log.clone();
    let handler = Arc::new(Inbound::new(shared));
    let keep_alive = KeepAlivePolicy {
        idle_timeout: Arc::new(|| DAEMON_IDLE_TIMEOUT),
        max_idle: usize::MAX,
        write_timeout: WRITE_TIMEOUT,
    };
    serve(listener, handler, keep_alive, stop, log).await;
}

/// Serves the metrics as text until the task is dropped.
pub(super) async fn serve_metrics(listener: TcpListener, shared: Arc<Shared>) {
    let log = shared.log.clone();
    let text = move || std::future::ready(shared.metrics.text());
    let router = axum::Router::new().route("/metrics", axum::routing::get(text));
    interface::serve(listener, router, InterfaceLimits::default(), pending(), log).await;
}
