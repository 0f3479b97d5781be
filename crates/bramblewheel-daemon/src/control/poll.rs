//! The long poll: renews the daemon's lease, brings bundles and the directory.

use crate::control::intake::{Intake, POLL_GRACE, POLL_WAIT, RefusedReply};
use crate::control::link::Link;
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

/// What the poll needs to know.
#[derive(Clone, Debug)]
pub struct PollConfig {
    /// Service addresses of the replicas.
    pub replicas: Vec<SocketAddr>,
    /// What the daemon says of itself, apart from draining.
    pub registration: Registration,
    /// Services whose endpoints are asked for.
    pub services: Vec<ServiceName>,
    /// Where the bundle in force is kept.
    pub store: BundleStore,
    /// Becomes true when the daemon begins to drain.
    pub draining: watch::Receiver<bool>,
    /// Log.
    pub log: Logger,
}

/// The daemon's poll.
pub struct Poller {
    config: PollConfig,
    link: Link,
    driver: Arc<Driver>,
    bundle: Arc<ArcSwapOption<Bundle>>,
    metrics: Arc<Metrics>,
    intake: Intake,
}

impl Poller {
    /// A poll that puts new bundles into `bundle` and the driver's engine.
    pub fn new(
        config: PollConfig,
        driver: Arc<Driver>,
        bundle: Arc<ArcSwapOption<Bundle>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let seed = config.registration.incarnation;
        let link = Link::new(config.replicas.clone(), seed, Arc::clone(&metrics));
        let intake = Intake::new(bundle.load_full());
        Self {
            config,
            link,
            driver,
            bundle,
            metrics,
            intake,
        }
    }

    /// Polls for ever.
    pub async fn run(mut self) {
        let mut draining = self.config.draining.clone();
        loop {
            draining.mark_unchanged();
            let request = self.request();
            let wait = POLL_WAIT + POLL_GRACE;
            let reply = tokio::select! {
                biased;
                // The change must not wait for the end of the poll that is being held.
                Ok(()) = draining.changed() => {
                    self.link.reconnect();
                    continue;
                }
                reply = self.link.ask(request, wait) => reply,
            };
            let refused = match reply {
                Ok(ReplyBody::Poll(reply)) => self.take(*reply).await,
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
        let request = self.intake.request(registration, services);
        RequestBody::Poll(Box::new(request))
    }

    /// Takes over an answer, or says why it is refused.
    async fn take(&mut self, reply: PollReply) -> Result<(), String> {
        let update = self.intake.check(&reply);
        if let Err(RefusedReply::Stale { .. }) = &update {
            self.metrics.control_stale.inc();
        }
        let mut bundle = None;
        if let Some(new) = update.map_err(|e| e.to_string())? {
            let new_bundle = Arc::new(new.bundle);
            bundle = Some(Arc::clone(&new_bundle));
            self.put_in_force(new_bundle, new.signed).await?;
        }
        self.intake.take(&reply, bundle);
        let directory = DirectoryUpdate {
            is_complete: reply.directory_is_complete,
            live: reply.live.into_iter().map(directory_endpoint).collect(),
            removed: reply.removed,
        };
        if directory.is_complete || !directory.live.is_empty() || !directory.removed.is_empty() {
            self.driver.submit(Event::DirectoryUpdated(directory));
        }
        self.metrics.control_polls.inc();
        self.link.succeeded();
        Ok(())
    }

    /// Writes a bundle and only then uses it.
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
