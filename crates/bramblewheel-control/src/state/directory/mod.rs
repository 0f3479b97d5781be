//! Daemons and the endpoints beside them, with a revision for each change.
//!
//! Owns the registrations and the removals remembered; `updates` derives from them what a daemon lacks.
//! Relies on the node to expire a daemon whose lease is over.

mod updates;

pub use updates::DirectoryDelta;

use super::command::ExpiredDaemon;
use bramblewheel_protocol::control::{DirectoryEntry, Registration};
use bramblewheel_types::{DaemonId, EndpointId, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Removals remembered; a daemon that is further behind gets the complete list. Ten days at the
/// 1,000 restarts or replacements a day of `CONTRIBUTING.md`.
pub const MAX_REMOVALS: usize = 10_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Endpoint {
    daemon: DaemonId,
    revision: u64,
    entry: DirectoryEntry,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Removal {
    endpoint: EndpointId,
    service: ServiceName,
}

/// What is known by service; follows from the rest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ServiceIndex {
    endpoints: BTreeSet<EndpointId>,
    last_change: u64,
}

/// Daemons and the endpoints beside them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    revision: u64,
    /// Changes after this revision are known one by one.
    oldest_known: u64,
    daemons: BTreeMap<DaemonId, Registration>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    removals: BTreeMap<u64, Removal>,
    #[serde(skip)]
    by_service: BTreeMap<ServiceName, ServiceIndex>,
}

impl Default for Directory {
    /// Revision 0 means "none" to daemons, so the first is 1.
    fn default() -> Self {
        Self {
            revision: 1,
            oldest_known: 1,
            daemons: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            removals: BTreeMap::new(),
            by_service: BTreeMap::new(),
        }
    }
}

impl Directory {
    /// Records registrations and expiries; returns the services whose endpoints changed.
    pub(in crate::state) fn apply(
        &mut self,
        registered: Vec<Registration>,
        expired: &[ExpiredDaemon],
    ) -> BTreeSet<ServiceName> {
        let mut changed = BTreeSet::new();
        for gone in expired {
            let held = self.daemons.get(&gone.daemon);
            if held.is_some_and(|r| r.incarnation == gone.incarnation) {
                let before = self.daemons.remove(&gone.daemon);
                self.remove_endpoint_of(before, None, &mut changed);
            }
        }
        for registration in registered {
            self.register(registration, &mut changed);
        }
        changed
    }

    fn register(&mut self, registration: Registration, changed: &mut BTreeSet<ServiceName>) {
        let daemon = registration.daemon.clone();
        let before = self.daemons.remove(&daemon);
        let kept = registration.endpoint.as_ref().map(|e| &e.endpoint);
        self.remove_endpoint_of(before, kept, changed);
        if let Some(endpoint) = &registration.endpoint {
            let entry = DirectoryEntry {
                endpoint: endpoint.endpoint.clone(),
                service: endpoint.service.clone(),
                zone: registration.zone.clone(),
                address: endpoint.address,
                draining: endpoint.draining,
            };
            self.put_endpoint(daemon.clone(), entry, changed);
        }
        self.daemons.insert(daemon, registration);
    }

    fn put_endpoint(
        &mut self,
        daemon: DaemonId,
        entry: DirectoryEntry,
        changed: &mut BTreeSet<ServiceName>,
    ) {
        let name = entry.endpoint.clone();
        let before = self.endpoints.get_mut(&name);
        if let Some(before) = before.filter(|before| before.entry == entry) {
            before.daemon = daemon;
            return;
        }
        let moved = self.endpoints.get(&name);
        if moved.is_some_and(|before| before.entry.service != entry.service) {
            self.remove_endpoint(&name, changed);
        }
        self.revision += 1;
        let revision = self.revision;
        let service = entry.service.clone();
        let index = self.by_service.entry(service.clone()).or_default();
        index.endpoints.insert(name.clone());
        index.last_change = revision;
        changed.insert(service);
        let endpoint = Endpoint {
            daemon,
            revision,
            entry,
        };
        self.endpoints.insert(name, endpoint);
    }

    /// Removes the endpoint that a daemon had registered, unless it is `kept` or another daemon's
    /// by now.
    fn remove_endpoint_of(
        &mut self,
        daemon: Option<Registration>,
        kept: Option<&EndpointId>,
        changed: &mut BTreeSet<ServiceName>,
    ) {
        let Some(Registration {
            daemon,
            endpoint: Some(endpoint),
            ..
        }) = daemon
        else {
            return;
        };
        let name = endpoint.endpoint;
        let holder = self.endpoints.get(&name).map(|held| &held.daemon);
        if holder == Some(&daemon) && kept != Some(&name) {
            self.remove_endpoint(&name, changed);
        }
    }

    fn remove_endpoint(&mut self, name: &EndpointId, changed: &mut BTreeSet<ServiceName>) {
        let Some(endpoint) = self.endpoints.remove(name) else {
            return;
        };
        self.revision += 1;
        let service = endpoint.entry.service;
        let index = self.by_service.entry(service.clone()).or_default();
        index.endpoints.remove(name);
        index.last_change = self.revision;
        changed.insert(service.clone());
        let removal = Removal {
            endpoint: name.clone(),
            service,
        };
        self.removals.insert(self.revision, removal);
        while self.removals.len() > MAX_REMOVALS {
            if let Some((revision, _)) = self.removals.pop_first() {
                self.oldest_known = revision;
            }
        }
    }

    /// Revision after the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Latest registration of a daemon.
    pub fn daemon(&self, daemon: &DaemonId) -> Option<&Registration> {
        self.daemons.get(daemon)
    }

    /// All daemons.
    pub fn daemons(&self) -> impl Iterator<Item = &Registration> {
        self.daemons.values()
    }

    /// Rebuilds the index after the rest was read back.
    pub(in crate::state) fn restore(&mut self) {
        self.by_service.clear();
        for (revision, removal) in &self.removals {
            let index = self.by_service.entry(removal.service.clone()).or_default();
            index.last_change = index.last_change.max(*revision);
        }
        for (name, endpoint) in &self.endpoints {
            let service = endpoint.entry.service.clone();
            let index = self.by_service.entry(service).or_default();
            index.endpoints.insert(name.clone());
            index.last_change = index.last_change.max(endpoint.revision);
        }
    }
}
