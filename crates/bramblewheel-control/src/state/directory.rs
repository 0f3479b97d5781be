//! Daemons and the endpoints beside them, with a revision so that changes can be told apart.

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

/// News for a daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryDelta {
    /// Whether `live` is all there is.
    pub is_complete: bool,
    /// Endpoints that are live or changed.
    pub live: Vec<DirectoryEntry>,
    /// Endpoints that are gone.
    pub removed: Vec<EndpointId>,
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
    /// Takes over registrations and expiries; returns the services whose endpoints changed.
    pub(super) fn apply(
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

    /// Whether a daemon that holds `revision` has something to learn about its services.
    pub fn has_news(&self, services: &[ServiceName], revision: u64) -> bool {
        let changed_after = |service: &ServiceName| {
            let index = self.by_service.get(service);
            index.is_some_and(|index| index.last_change > revision)
        };
        !self.knows(revision) || services.iter().any(changed_after)
    }

    /// What a daemon that holds `revision` has to learn about its services.
    pub fn delta(&self, services: &[ServiceName], revision: u64) -> DirectoryDelta {
        let is_complete = !self.knows(revision);
        let since = if is_complete { 0 } else { revision };
        let services: BTreeSet<&ServiceName> = services.iter().collect();
        let indexed = services
            .iter()
            .filter_map(|name| self.by_service.get(*name));
        let changed = indexed.filter(|index| is_complete || index.last_change > since);
        let names = changed.flat_map(|index| &index.endpoints);
        let endpoints = names.filter_map(|name| self.endpoints.get(name));
        let live = endpoints.filter(|endpoint| endpoint.revision > since);
        DirectoryDelta {
            is_complete,
            live: live.map(|endpoint| endpoint.entry.clone()).collect(),
            removed: if is_complete {
                Vec::new()
            } else {
                self.removed_since(&services, since)
            },
        }
    }

    fn removed_since(&self, services: &BTreeSet<&ServiceName>, since: u64) -> Vec<EndpointId> {
        // What came back since, for a service the daemon asks for, is among the live ones.
        let is_live = |endpoint: &EndpointId| {
            let held = self.endpoints.get(endpoint);
            held.is_some_and(|held| services.contains(&held.entry.service))
        };
        let removals = self.removals.range(since.saturating_add(1)..);
        let mine = removals.filter(|(_, r)| services.contains(&r.service) && !is_live(&r.endpoint));
        let removed: BTreeSet<EndpointId> = mine.map(|(_, r)| r.endpoint.clone()).collect();
        removed.into_iter().collect()
    }

    fn knows(&self, revision: u64) -> bool {
        (self.oldest_known..=self.revision).contains(&revision)
    }

    /// Revision after the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What a daemon last said of itself.
    pub fn daemon(&self, daemon: &DaemonId) -> Option<&Registration> {
        self.daemons.get(daemon)
    }

    /// All daemons.
    pub fn daemons(&self) -> impl Iterator<Item = &Registration> {
        self.daemons.values()
    }

    /// Rebuilds the index after the rest was read back.
    pub(super) fn restore(&mut self) {
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
