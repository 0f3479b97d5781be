//! The long poll: renews the daemon's lease, brings bundles and the directory.

use crate::control::link::Link;
use crate::control::store::BundleStore;
use crate::control::verify::{check_offer, decode};
use crate::driver::Driver;
use crate::metrics::Metrics;
use arc_swap::ArcSwapOption;
use bramblewheel_bundle::Bundle;
use bramblewheel_core::event::{DirectoryEndpoint, DirectoryUpdate, Event};
use bramblewheel_protocol::control::{
    BundleNews, DirectoryEntry, LogPosition, PollReply, PollRequest, Registration, ReplyBody,
    RequestBody, SignedBundle,
};
use bramblewheel_types::{Millis, ServiceName};
use slog::Logger;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long a replica may hold a poll; also the period in which the lease is renewed.
const POLL_WAIT: Duration = Duration::from_secs(3);
/// Time beyond that after which the replica counts as silent.
const POLL_GRACE: Duration = Duration::from_secs(2);

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
    position: LogPosition,
    directory_revision: u64,
    /// A delta was of no use, so that the bundle must come whole.
    needs_whole: bool,
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
        Self {
            config,
            link,
            driver,
            bundle,
            metrics,
            position: LogPosition::default(),
            directory_revision: 0,
            needs_whole: false,
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
                // The news must not wait for the end of the poll that is being held.
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
        let bundle = self.bundle.load();
        let bundle_version = bundle.as_ref().map(|b| b.version).unwrap_or_default();
        RequestBody::Poll(Box::new(PollRequest {
            registration,
            bundle_version,
            operators_version: bundle_version,
            whole_bundle: self.needs_whole,
            position: self.position,
            directory_revision: self.directory_revision,
            services: self.config.services.clone(),
            wait: Millis(POLL_WAIT.as_millis() as u64),
        }))
    }

    /// Takes over an answer, or says why it is refused.
    async fn take(&mut self, reply: PollReply) -> Result<(), String> {
        if reply.position.index < self.position.index {
            self.metrics.control_stale.inc();
            return Err("older than an answer seen before".to_owned());
        }
        match reply.bundle {
            None => {}
            Some(BundleNews::Whole(offered)) => {
                self.take_bundle(offered).await?;
                self.needs_whole = false;
            }
            Some(BundleNews::Delta(_)) => {
                self.needs_whole = true;
                return Err("a delta where the whole bundle is needed".to_owned());
            }
        }
        let update = DirectoryUpdate {
            is_complete: reply.directory_is_complete,
            live: reply.live.into_iter().map(directory_endpoint).collect(),
            removed: reply.removed,
        };
        if update.is_complete || !update.live.is_empty() || !update.removed.is_empty() {
            self.driver.submit(Event::DirectoryUpdated(update));
        }
        self.position = reply.position;
        self.directory_revision = reply.directory_revision;
        self.metrics.control_polls.inc();
        self.link.succeeded();
        Ok(())
    }

    /// Checks, writes and only then uses a bundle.
    async fn take_bundle(&self, offered: SignedBundle) -> Result<(), String> {
        let in_force = self.bundle.load_full();
        if in_force
            .as_ref()
            .is_some_and(|b| b.version == offered.version)
        {
            return confirm_same(&offered, in_force.as_deref());
        }
        let bundle = check_offer(&offered, in_force.as_deref()).map_err(|e| e.to_string())?;
        let store = self.config.store.clone();
        let saved = tokio::task::spawn_blocking(move || store.save(&offered)).await;
        saved
            .map_err(|e| e.to_string())?
            .map_err(|e| e.to_string())?;
        let version = bundle.version;
        self.install(Arc::new(bundle));
        slog::info!(self.config.log, "bundle in force"; "version" => version.0);
        Ok(())
    }

    fn install(&self, bundle: Arc<Bundle>) {
        self.driver
            .submit(Event::BundleInstalled(Arc::clone(&bundle)));
        self.bundle.store(Some(bundle));
    }
}

/// A bundle that is in force may come once more; another one of its version must never be used.
fn confirm_same(offered: &SignedBundle, in_force: Option<&Bundle>) -> Result<(), String> {
    let bundle = decode(offered).map_err(|error| error.to_string())?;
    if Some(&bundle) == in_force {
        return Ok(());
    }
    Err(format!("another bundle of version {}", offered.version))
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
