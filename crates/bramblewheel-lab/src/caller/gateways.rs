//! The gateways that a caller knows.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

/// A gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Gateway {
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

/// Gateways in the order in which a caller prefers them.
#[derive(Debug, Default)]
pub(super) struct Gateways {
    known: Mutex<Vec<Gateway>>,
}

impl Gateways {
    /// Adds a gateway, or gives it another address.
    pub(super) fn set(&self, name: &str, address: SocketAddr) {
        let mut known = self.lock();
        match known.iter_mut().find(|gateway| gateway.name == name) {
            Some(gateway) => gateway.address = address,
            None => known.push(Gateway {
                name: name.to_owned(),
                address,
            }),
        }
    }

    /// The gateway for the `n`th send of a request, counted from 0: the preferred one first.
    pub(super) fn nth(&self, n: u32) -> Option<Gateway> {
        let known = self.lock();
        let index = (n as usize).checked_rem(known.len())?;
        known.get(index).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Gateway>> {
        self.known.lock().expect("nothing panics under the lock")
    }
}
