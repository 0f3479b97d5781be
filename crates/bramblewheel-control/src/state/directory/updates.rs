//! Directory updates for daemons: the changes since the revision that a daemon holds.

use super::Directory;
use bramblewheel_protocol::control::DirectoryEntry;
use bramblewheel_types::{EndpointId, ServiceName};
use std::collections::BTreeSet;

/// Directory update for one daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryDelta {
    /// Whether `live` lists all endpoints, not only changed ones.
    pub is_complete: bool,
    /// Live endpoints that are new or changed; all of them in a complete update.
    pub live: Vec<DirectoryEntry>,
    /// Endpoints that were removed.
    pub removed: Vec<EndpointId>,
}

impl Directory {
    /// Whether there is an update on any of `services` for a daemon that holds `revision`.
    pub fn has_update(&self, services: &[ServiceName], revision: u64) -> bool {
        let changed_after = |service: &ServiceName| {
            let index = self.by_service.get(service);
            index.is_some_and(|index| index.last_change > revision)
        };
        !self.has_history_since(revision) || services.iter().any(changed_after)
    }

    /// Update on `services` for a daemon that holds `revision`.
    pub fn delta(&self, services: &[ServiceName], revision: u64) -> DirectoryDelta {
        let is_complete = !self.has_history_since(revision);
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
        // An endpoint of one of the services that was added again after its removal is in the live list.
        let is_live = |endpoint: &EndpointId| {
            let current = self.endpoints.get(endpoint);
            current.is_some_and(|current| services.contains(&current.entry.service))
        };
        let removals = self.removals.range(since.saturating_add(1)..);
        let relevant =
            removals.filter(|(_, r)| services.contains(&r.service) && !is_live(&r.endpoint));
        let removed: BTreeSet<EndpointId> = relevant.map(|(_, r)| r.endpoint.clone()).collect();
        removed.into_iter().collect()
    }

    fn has_history_since(&self, revision: u64) -> bool {
        (self.oldest_known..=self.revision).contains(&revision)
    }
}
