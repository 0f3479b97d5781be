//! One hollow daemon.

use super::connection::Connection;
use super::counters::Counters;
use bramblewheel_bundle::Bundle;
use bramblewheel_daemon::control::choice::ReplicaChoice;
use bramblewheel_daemon::control::intake::{Intake, POLL_GRACE, POLL_WAIT};
use bramblewheel_protocol::control::{
    BundleUpdate, DirectoryEntry, PollReply, Registration, ReplyBody, RequestBody,
};
use bramblewheel_types::{BundleDigest, EndpointId, ServiceName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// What a daemon is to do.
#[derive(Clone, Debug)]
pub(super) enum Order {
    /// Poll, and say this of itself.
    Poll(Registration),
    /// Stay off the network; what was learnt is kept.
    BeCutOff,
}

/// Endpoints that a daemon knows.
pub(super) type KnownEndpoints = BTreeMap<EndpointId, DirectoryEntry>;

/// What the hollow daemons have in common.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) replicas: Vec<SocketAddr>,
    pub(super) counters: Arc<Counters>,
    /// Whether a bundle that one daemon has decoded and checked is taken over by the others.
    pub(super) shares_checks: bool,
    /// The latest bundle that any of them decoded, so that it is held in memory once.
    pub(super) bundle: Mutex<Option<(BundleDigest, Arc<Bundle>)>>,
}

impl Shared {
    /// Keeps one copy of equal bundles.
    fn intern(&self, digest: BundleDigest, bundle: Bundle) -> Arc<Bundle> {
        let mut held = self.bundle.lock().expect("nothing panics under the lock");
        match held.as_ref().filter(|(_, held)| **held == bundle) {
            Some((_, held)) => Arc::clone(held),
            None => Arc::clone(&held.insert((digest, Arc::new(bundle))).1),
        }
    }

    /// The bundle of this digest, if another daemon has checked it and checks are shared.
    fn checked(&self, digest: BundleDigest) -> Option<Arc<Bundle>> {
        let held = self.bundle.lock().expect("nothing panics under the lock");
        let same = held.as_ref().filter(|(of, _)| *of == digest);
        same.filter(|_| self.shares_checks)
            .map(|(_, bundle)| Arc::clone(bundle))
    }
}

/// One hollow daemon.
pub(super) struct HollowDaemon {
    pub(super) shared: Arc<Shared>,
    pub(super) services: Vec<ServiceName>,
    pub(super) orders: watch::Receiver<Order>,
    pub(super) known: Arc<Mutex<KnownEndpoints>>,
    intake: Intake,
    incarnation: Option<u64>,
    choice: ReplicaChoice,
    connection: Option<Connection>,
}

impl HollowDaemon {
    pub(super) fn new(
        shared: Arc<Shared>,
        services: Vec<ServiceName>,
        orders: watch::Receiver<Order>,
        known: Arc<Mutex<KnownEndpoints>>,
        seed: u64,
    ) -> Self {
        let choice = ReplicaChoice::new(shared.replicas.clone(), seed);
        Self {
            shared,
            services,
            orders,
            known,
            intake: Intake::new(None),
            incarnation: None,
            choice,
            connection: None,
        }
    }

    /// Follows its orders until there is nobody to give any.
    pub(super) async fn run(mut self) {
        let mut orders = self.orders.clone();
        loop {
            let order = orders.borrow_and_update().clone();
            let changed = match order {
                Order::BeCutOff => {
                    self.connection = None;
                    orders.changed().await
                }
                Order::Poll(registration) => {
                    self.begin(registration.incarnation);
                    tokio::select! {
                        biased;
                        changed = orders.changed() => {
                            // As a daemon does, so that the news need not wait for the poll held.
                            self.connection = None;
                            changed
                        }
                        () = self.poll(registration) => Ok(()),
                    }
                }
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// A new incarnation keeps the bundle, which a daemon has on disk, and nothing else.
    fn begin(&mut self, incarnation: u64) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        self.incarnation = Some(incarnation);
        self.connection = None;
        self.intake = Intake::new(self.intake.bundle().cloned());
        let mut known = self.known.lock().expect("nothing panics under the lock");
        known.clear();
    }

    async fn poll(&mut self, registration: Registration) {
        let request = self.intake.request(registration, self.services.clone());
        let reply = self.ask(RequestBody::Poll(Box::new(request))).await;
        let taken = reply.is_some_and(|reply| self.take(reply));
        if taken {
            self.choice.succeeded();
            return;
        }
        let pause = self.choice.pause();
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }

    async fn ask(&mut self, body: RequestBody) -> Option<PollReply> {
        let replica = self.choice.address();
        let opened = match self.connection.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(replica, Arc::clone(&self.shared.counters)).await,
        };
        let asked = match opened {
            Ok(mut connection) => {
                let reply = connection.ask(body, POLL_WAIT + POLL_GRACE).await;
                reply.map(|reply| (reply, connection))
            }
            Err(error) => Err(error),
        };
        match asked {
            Ok((ReplyBody::Poll(reply), connection)) => {
                self.shared.counters.polled(replica);
                self.connection = Some(connection);
                Some(*reply)
            }
            Ok((ReplyBody::Unavailable(reason), _)) => {
                self.choice.unavailable(&reason);
                None
            }
            Ok(_) | Err(_) => {
                self.choice.next_replica();
                None
            }
        }
    }

    /// Takes over an answer by the daemons' own rule; `false` when it is refused.
    fn take(&mut self, mut reply: PollReply) -> bool {
        let digest = reply.bundle.as_ref().map(digest_of);
        let checked = digest.and_then(|digest| self.shared.checked(digest));
        if checked.is_some() {
            reply.bundle = None;
        }
        let Ok(news) = self.intake.check(&reply) else {
            self.shared.counters.refused();
            self.connection = None;
            self.choice.next_replica();
            return false;
        };
        let own = news.zip(digest);
        let own = own.map(|(news, digest)| self.shared.intern(digest, news.bundle));
        let bundle = checked.or(own);
        if let Some(bundle) = &bundle {
            self.shared.counters.put_in_force(bundle.version.0);
        }
        self.intake.take(&reply, bundle);
        self.learn(reply);
        true
    }

    fn learn(&self, reply: PollReply) {
        let mut known = self.known.lock().expect("nothing panics under the lock");
        if reply.directory_is_complete {
            known.clear();
        }
        for endpoint in reply.removed {
            known.remove(&endpoint);
        }
        let live = reply.live.into_iter();
        known.extend(live.map(|entry| (entry.endpoint.clone(), entry)));
    }
}

fn digest_of(news: &BundleUpdate) -> BundleDigest {
    match news {
        BundleUpdate::Whole(bundle) => bundle.digest,
        BundleUpdate::Delta(delta) => delta.digest,
    }
}
