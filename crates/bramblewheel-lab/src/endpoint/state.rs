//! What the tasks of one endpoint share.

use super::command::EndpointChange;
use super::load::LoadHistory;
use super::slots::Slots;
use super::work::WorkTimes;
use crate::client::CallClient;
use crate::journal::Journal;
use bramblewheel_sim::deployment::{NetworkModel, ServiceModel};
use bramblewheel_types::EndpointId;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// What an endpoint is made from.
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    /// Its name.
    pub name: EndpointId,
    /// Its service.
    pub model: ServiceModel,
    /// Requests that it can run side by side.
    pub slots: u32,
    /// Delays of the network, of which the cost of a new connection is played.
    pub network: NetworkModel,
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Outbound listener of its daemon, if known yet.
    pub daemon: Option<SocketAddr>,
    /// Seed of its service times.
    pub seed: u64,
}

/// State of an endpoint.
#[derive(Debug)]
pub(super) struct State {
    pub(super) model: ServiceModel,
    pub(super) slots: Slots,
    pub(super) load: LoadHistory,
    pub(super) work: WorkTimes,
    pub(super) client: CallClient,
    pub(super) journal: Journal,
    numbers: AtomicU64,
    daemon: Mutex<Option<SocketAddr>>,
    leaving: watch::Sender<bool>,
}

impl State {
    pub(super) fn new(config: &EndpointConfig, first_number: u64, journal: Journal) -> Self {
        Self {
            model: config.model.clone(),
            slots: Slots::new(config.slots),
            load: LoadHistory::default(),
            work: WorkTimes::new(&config.model, config.seed),
            client: CallClient::default(),
            journal,
            numbers: AtomicU64::new(first_number),
            daemon: Mutex::new(config.daemon),
            leaving: watch::Sender::new(false),
        }
    }

    /// A number that no other arrival or call of the run has.
    pub(super) fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Where sub-calls go.
    pub(super) fn daemon(&self) -> Option<SocketAddr> {
        let daemon = self.daemon.lock();
        *daemon.expect("nothing panics under the lock")
    }

    /// Whether it takes no new work.
    pub(super) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Carries out a change.
    pub(super) fn change(self: &Arc<Self>, change: EndpointChange) {
        match change {
            EndpointChange::Daemon(address) => {
                let daemon = self.daemon.lock();
                *daemon.expect("nothing panics under the lock") = Some(address);
            }
            EndpointChange::Slow(factor) => self.work.set_factor(factor),
            EndpointChange::Leave => {
                self.leaving.send_replace(true);
            }
            EndpointChange::Return => {
                self.leaving.send_replace(false);
            }
        }
    }
}
