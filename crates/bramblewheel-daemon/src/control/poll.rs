//! The long poll, which renews the daemon's lease and receives bundles and the endpoint directory.

use crate::control::link::Link;
use crate::control::poll_state::{POLL_GRACE, POLL_WAIT, PollState, RefusedReply};
use crate::control::store::BundleStore;
use crate::driver::Driver;
use crate::metrics::Metrics;
use arc_swap::ArcSwapOption;
use bramblewheel_bundle::Bundle;
use bramblewheel_core::event::{DirectoryEndpoint, DirectoryUpdate, Event};
use bramblewheel_protocol::control::{
    DirectoryEntry, PollReply, Registration, ReplyBody, RequestBody, SignedBundle,
};
use bramblewheel_types::ServiceName;
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// Configuration of the poll.
#[derive(Clone, Debug)]
pub struct PollConfig {
    /// Service addresses of the replicas.
    pub replicas: Vec<SocketAddr>,
    /// The daemon's registration; its draining state is set with each poll.
    pub registration: Registration,
    /// Services whose endpoints are requested.
    pub services: Vec<ServiceName>,
    /// Storage of the bundle in force.
    pub store: BundleStore,
    /// Becomes true when a drain begins.
    pub draining: watch::Receiver<bool>,
    /// Log.
    pub log: Logger,
}

/// The task that polls the control group.
pub struct Poller {
    config: PollConfig,
    link: Link,
    driver: Arc<Driver>,
    bundle: Arc<ArcSwapOption<Bundle>>,
    metrics: Arc<Metrics>,
    state: PollState,
}

impl Poller {
    /// Creates a poller that installs new bundles in `bundle` and in the driver's engine.
    pub fn new(
        config: PollConfig,
        driver: Arc<Driver>,
        bundle: Arc<ArcSwapOption<Bundle>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let seed = config.registration.incarnation;
        let link = Link::new(config.replicas.clone(), seed, Arc::clone(&metrics));
        let state = PollState::new(bundle.load_full());
        Self {
            config,
            link,
            driver,
            bundle,
            metrics,
            state,
        }
    }

    /// Polls; never returns.
    pub async fn run(mut self) {
        let mut draining = self.config.draining.clone();
        loop {
            draining.mark_unchanged();
            let request = self.request();
            let wait = POLL_WAIT + POLL_GRACE;
            let reply = tokio::select! {
                biased;
                // The start of a drain is reported at once, without waiting for the end of the held poll.
                Ok(()) = draining.changed() => {
                    self.link.reconnect();
                    continue;
                }
                reply = self.link.query(request, wait) => reply,
            };
            let refused = match reply {
                Ok(ReplyBody::Poll(reply)) => self.accept(*reply).await,
                Ok(other) => Err(format!("unexpected answer: {other:?}")),
                Err(error) => {
                    slog::debug!(self.config.log, "poll failed"; "error" => %error);
                    self.link.back_off().await;
                    continue;
                }
            };
            if let Err(reason) = refused {
                slog::warn!(self.config.log, "poll answer refused"; "reason" => reason);
                self.link.next_replica();
                self.link.back_off().await;
            }
        }
    }

    fn request(&self) -> RequestBody {
        let mut registration = self.config.registration.clone();
        if let Some(endpoint) = &mut registration.endpoint {
            endpoint.draining = *self.config.draining.borrow();
        }
        let services = self.config.services.clone();
        let request = self.state.request(registration, services);
        RequestBody::Poll(Box::new(request))
    }

    /// Accepts an answer, or returns the reason why it is refused.
    async fn accept(&mut self, reply: PollReply) -> Result<(), String> {
        let update = self.state.check(&reply);
        if let Err(RefusedReply::Stale { .. }) = &update {
            self.metrics.control_stale.inc();
        }
        let mut bundle = None;
        if let Some(new) = update.map_err(|e| e.to_string())? {
            let new_bundle = Arc::new(new.bundle);
            bundle = Some(Arc::clone(&new_bundle));
            self.put_in_force(new_bundle, new.signed).await?;
        }
        self.state.accept(&reply, bundle);
        let directory = DirectoryUpdate {
            is_complete: reply.directory_is_complete,
            live: reply.live.into_iter().map(directory_endpoint).collect(),
            removed: reply.removed,
        };
        if directory.is_complete || !directory.live.is_empty() || !directory.removed.is_empty() {
            self.driver.submit(Event::DirectoryUpdated(directory));
        }
        self.metrics.control_polls.inc();
        self.link.record_success();
        Ok(())
    }

    /// Saves a bundle to disk and then puts it in force.
    async fn put_in_force(&self, bundle: Arc<Bundle>, signed: SignedBundle) -> Result<(), String> {
        let store = self.config.store.clone();
        let saved = tokio::task::spawn_blocking(move || store.save(&signed)).await;
        saved
            .map_err(|e| e.to_string())?
            .map_err(|e| e.to_string())?;
        let version = bundle.version;
        self.install(bundle);
        slog::info!(self.config.log, "bundle in force"; "version" => version.0);
        Ok(())
    }

    fn install(&self, bundle: Arc<Bundle>) {
        self.driver
            .submit(Event::BundleInstalled(Arc::clone(&bundle)));
        self.bundle.store(Some(bundle));
    }
}

fn directory_endpoint(entry: DirectoryEntry) -> DirectoryEndpoint {
    DirectoryEndpoint {
        endpoint: entry.endpoint,
        service: entry.service,
        zone: entry.zone,
        address: entry.address,
        draining: entry.draining,
    }
}
