//! Directory of daemons and their endpoints, with a revision for each change.
//!
//! `updates` derives from the registrations and recent removals which changes a daemon has not seen. The
//! node expires daemons whose lease is over.

mod updates;

pub use updates::DirectoryDelta;

use super::command::ExpiredDaemon;
use bramblewheel_protocol::control::{DirectoryEntry, Registration};
use bramblewheel_types::{DaemonId, EndpointId, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Removals kept; a daemon that is further behind gets the complete list. Covers ten days at 1,000
/// restarts or replacements a day.
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

/// Index by service, derived from the other fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ServiceIndex {
    endpoints: BTreeSet<EndpointId>,
    last_change: u64,
}

/// Registered daemons and their endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    revision: u64,
    /// All changes after this revision are available individually.
    oldest_known: u64,
    daemons: BTreeMap<DaemonId, Registration>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    removals: BTreeMap<u64, Removal>,
    #[serde(skip)]
    by_service: BTreeMap<ServiceName, ServiceIndex>,
}

impl Default for Directory {
    /// Starts at revision 1, since revision 0 means "none" to daemons.
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
    /// Applies registrations and expiries. Returns the services whose endpoints changed.
    pub(in crate::state) fn apply(
        &mut self,
        registered: Vec<Registration>,
        expired: &[ExpiredDaemon],
    ) -> BTreeSet<ServiceName> {
        let mut changed = BTreeSet::new();
        for expired in expired {
            let registration = self.daemons.get(&expired.daemon);
            if registration.is_some_and(|r| r.incarnation == expired.incarnation) {
                let previous = self.daemons.remove(&expired.daemon);
                self.remove_endpoint_of(previous, None, &mut changed);
            }
        }
        for registration in registered {
            self.register(registration, &mut changed);
        }
        changed
    }

    fn register(&mut self, registration: Registration, changed: &mut BTreeSet<ServiceName>) {
        let daemon = registration.daemon.clone();
        let previous = self.daemons.remove(&daemon);
        let kept = registration.endpoint.as_ref().map(|e| &e.endpoint);
        self.remove_endpoint_of(previous, kept, changed);
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
        let previous = self.endpoints.get_mut(&name);
        if let Some(previous) = previous.filter(|previous| previous.entry == entry) {
            previous.daemon = daemon;
            return;
        }
        let replaced = self.endpoints.get(&name);
        if replaced.is_some_and(|previous| previous.entry.service != entry.service) {
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

    /// Removes the endpoint of a daemon's previous registration, unless it is `kept` or another
    /// daemon has registered it since.
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
        let holder = self.endpoints.get(&name).map(|endpoint| &endpoint.daemon);
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

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Latest registration of a daemon.
    pub fn daemon(&self, daemon: &DaemonId) -> Option<&Registration> {
        self.daemons.get(daemon)
    }

    /// All registered daemons.
    pub fn daemons(&self) -> impl Iterator<Item = &Registration> {
        self.daemons.values()
    }

    /// Rebuilds the index by service after the state was deserialized.
    pub(in crate::state) fn rebuild_index(&mut self) {
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
