//! Update of the directory for a daemon: what changed since the revision that it holds.

use super::Directory;
use bramblewheel_protocol::control::DirectoryEntry;
use bramblewheel_types::{EndpointId, ServiceName};
use std::collections::BTreeSet;

/// Update for a daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryDelta {
    /// Whether `live` is all there is.
    pub is_complete: bool,
    /// Endpoints that are live or changed.
    pub live: Vec<DirectoryEntry>,
    /// Endpoints that are gone.
    pub removed: Vec<EndpointId>,
}

impl Directory {
    /// Whether there is an update of its services for a daemon that holds `revision`.
    pub fn has_update(&self, services: &[ServiceName], revision: u64) -> bool {
        let changed_after = |service: &ServiceName| {
            let index = self.by_service.get(service);
            index.is_some_and(|index| index.last_change > revision)
        };
        !self.knows(revision) || services.iter().any(changed_after)
    }

    /// Update of its services for a daemon that holds `revision`.
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
        // An endpoint that came back since, of a service that the daemon asks for, is among the live ones.
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
}
