//! State shared by the tasks of one endpoint.

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

/// Configuration of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    /// Name of the endpoint.
    pub name: EndpointId,
    /// Model of its service.
    pub model: ServiceModel,
    /// Number of requests that it can run at the same time.
    pub slots: u32,
    /// Network delays, of which only the time to set up a new connection is simulated.
    pub network: NetworkModel,
    /// Address to listen on; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Outbound listener of its daemon, if already known.
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

    /// Next number for an arrival or call, unique in the run.
    pub(super) fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    /// Outbound listener that sub-calls are sent to, if known.
    pub(super) fn daemon(&self) -> Option<SocketAddr> {
        let daemon = self.daemon.lock();
        *daemon.expect("no holder of the lock panics")
    }

    /// Whether the endpoint refuses new requests.
    pub(super) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Applies a change.
    pub(super) fn change(self: &Arc<Self>, change: EndpointChange) {
        match change {
            EndpointChange::Daemon(address) => {
                let daemon = self.daemon.lock();
                *daemon.expect("no holder of the lock panics") = Some(address);
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
