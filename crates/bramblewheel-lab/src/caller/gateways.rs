//! The gateways that a caller knows.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a gateway that is down or leaving is passed over.
const AVOIDANCE: Duration = Duration::from_secs(1);

/// A gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Gateway {
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

/// Gateways in the order in which a caller prefers them.
#[derive(Debug, Default)]
pub(super) struct Gateways {
    known: Mutex<Vec<Known>>,
}

#[derive(Debug)]
struct Known {
    gateway: Gateway,
    avoided_until: Option<Instant>,
}

impl Gateways {
    /// Adds a gateway, or gives it another address.
    pub(super) fn set(&self, name: &str, address: SocketAddr) {
        let mut known = self.lock();
        match known.iter_mut().find(|known| known.gateway.name == name) {
            Some(known) => {
                known.gateway.address = address;
                known.avoided_until = None;
            }
            None => known.push(Known {
                gateway: Gateway {
                    name: name.to_owned(),
                    address,
                },
                avoided_until: None,
            }),
        }
    }

    /// Passes over a gateway for a while, as long as there are others.
    pub(super) fn avoid(&self, name: &str) {
        let mut known = self.lock();
        if let Some(known) = known.iter_mut().find(|known| known.gateway.name == name) {
            known.avoided_until = Some(Instant::now() + AVOIDANCE);
        }
    }

    /// The gateway for a request that went on to another one `n` times: the preferred one first.
    pub(super) fn nth(&self, n: u32) -> Option<Gateway> {
        let known = self.lock();
        let now = Instant::now();
        let is_usable = |known: &&Known| known.avoided_until.is_none_or(|until| until <= now);
        let mut choice: Vec<&Known> = known.iter().filter(is_usable).collect();
        if choice.is_empty() {
            choice = known.iter().collect();
        }
        let index = (n as usize).checked_rem(choice.len())?;
        choice.get(index).map(|known| known.gateway.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Known>> {
        self.known.lock().expect("nothing panics under the lock")
    }
}
