//! The daemon's listeners, which are bound, served and stopped together.
//!
//! Holds the stop signal; [`crate::http::server`] serves each listener.

use crate::http::server::{Handler, ServerConfig, serve};
use crate::settings::Settings;
use bramblewheel_process::listener::{BindError, bind};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// Calls from other daemons; `None` at a gateway.
    pub inbound: Option<SocketAddr>,
    /// Calls from applications or external callers.
    pub outbound: SocketAddr,
    /// Health and metrics.
    pub admin: SocketAddr,
}

/// The daemon's listeners, bound but not yet served.
pub(super) struct Listeners {
    pub(super) inbound: Option<TcpListener>,
    pub(super) outbound: TcpListener,
    pub(super) admin: TcpListener,
    pub(super) addresses: BoundAddresses,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// [`BindError`] for the first address that can't be bound.
    pub(super) async fn bind(settings: &Settings) -> Result<Self, BindError> {
        let inbound = match settings.listen.inbound {
            Some(address) => Some(bind("inbound", address).await?),
            None => None,
        };
        let (outbound, outbound_address) = bind("outbound", settings.listen.outbound).await?;
        let (admin, admin_address) = bind("admin", settings.listen.admin).await?;
        let addresses = BoundAddresses {
            inbound: inbound.as_ref().map(|(_, address)| *address),
            outbound: outbound_address,
            admin: admin_address,
        };
        Ok(Self {
            inbound: inbound.map(|(listener, _)| listener),
            outbound,
            admin,
            addresses,
        })
    }
}

/// The served listeners of a daemon, which are stopped together.
pub(super) struct Servers {
    tasks: JoinSet<()>,
    config: ServerConfig,
    stop: watch::Sender<bool>,
}

impl Servers {
    /// Creates an empty set.
    pub(super) fn new(settings: &Settings, log: &Logger) -> Self {
        let stop = watch::Sender::new(false);
        Self {
            tasks: JoinSet::new(),
            config: ServerConfig {
                limits: settings.limits.clone(),
                stop: stop.subscribe(),
                log: log.clone(),
            },
            stop,
        }
    }

    /// Serves a listener.
    pub(super) fn start<H: Handler>(
        &mut self,
        name: &'static str,
        listener: TcpListener,
        handler: H,
    ) {
        if let Ok(address) = listener.local_addr() {
            let address = address.to_string();
            slog::info!(self.config.log, "listening"; "address" => address, "listener" => name);
        }
        let config = self.config.clone();
        self.tasks.spawn(serve(listener, Arc::new(handler), config));
    }

    /// Closes each connection after its request in progress and waits for all of them.
    pub(super) async fn stop(mut self) {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
    }
}
