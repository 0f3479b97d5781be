//! The gateways that a caller knows.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a gateway that is down or leaving is not chosen.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// A gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Gateway {
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

/// Gateways in the caller's order of preference.
#[derive(Debug, Default)]
pub(super) struct Gateways {
    gateways: Mutex<Vec<GatewayEntry>>,
}

#[derive(Debug)]
struct GatewayEntry {
    gateway: Gateway,
    avoided_until: Option<Instant>,
}

impl Gateways {
    /// Adds a gateway, or updates its address.
    pub(super) fn set(&self, name: &str, address: SocketAddr) {
        let mut gateways = self.lock();
        match gateways.iter_mut().find(|entry| entry.gateway.name == name) {
            Some(entry) => {
                entry.gateway.address = address;
                entry.avoided_until = None;
            }
            None => gateways.push(GatewayEntry {
                gateway: Gateway {
                    name: name.to_owned(),
                    address,
                },
                avoided_until: None,
            }),
        }
    }

    /// Avoids a gateway for [`AVOID_DURATION`] as long as there are others.
    pub(super) fn avoid(&self, name: &str) {
        let mut gateways = self.lock();
        if let Some(entry) = gateways.iter_mut().find(|entry| entry.gateway.name == name) {
            entry.avoided_until = Some(Instant::now() + AVOID_DURATION);
        }
    }

    /// The gateway for a request that has switched gateways `n` times: the preferred one for 0.
    pub(super) fn nth(&self, n: u32) -> Option<Gateway> {
        let gateways = self.lock();
        let now = Instant::now();
        let is_usable =
            |entry: &&GatewayEntry| entry.avoided_until.is_none_or(|until| until <= now);
        let mut candidates: Vec<&GatewayEntry> = gateways.iter().filter(is_usable).collect();
        if candidates.is_empty() {
            candidates = gateways.iter().collect();
        }
        let index = (n as usize).checked_rem(candidates.len())?;
        candidates.get(index).map(|entry| entry.gateway.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<GatewayEntry>> {
        self.gateways.lock().expect("no holder of the lock panics")
    }
}
