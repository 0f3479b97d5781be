//! The endpoints of one service, with those that accept requests separate from the silent ones.

use super::subset::Preference;
use bramblewheel_types::EndpointId;

/// Most silent endpoints of a service that are kept: endpoints that crashed for good cannot be told from those that may
/// return.
const MAX_SILENT: usize = 16;

/// Endpoints of one service.
#[derive(Debug, Default)]
pub(super) struct Service {
    /// All that accept requests, in order of preference if `is_ordered`.
    members: Vec<EndpointId>,
    /// Those without a recent heartbeat at the control group, the latest one at the end.
    silent: Vec<EndpointId>,
    /// Whether the members are in order of preference.
    is_ordered: bool,
    /// Number of members in the daemon's zone.
    in_own_zone: usize,
}

impl Service {
    /// All that accept requests.
    pub(super) fn members(&self) -> &[EndpointId] {
        &self.members
    }

    /// Number of them in the daemon's zone.
    pub(super) fn in_own_zone(&self) -> usize {
        self.in_own_zone
    }

    /// Those that may be chosen: the silent ones only if no endpoint accepts requests.
    pub(super) fn choosable(&self) -> &[EndpointId] {
        if self.members.is_empty() {
            &self.silent
        } else {
            &self.members
        }
    }

    /// Adds an endpoint that accepts requests.
    pub(super) fn add(&mut self, endpoint: &EndpointId, is_in_own_zone: bool) {
        self.silent.retain(|other| other != endpoint);
        if !self.members.contains(endpoint) {
            self.members.push(endpoint.clone());
            self.in_own_zone += usize::from(is_in_own_zone);
            self.is_ordered = false;
        }
    }

    /// Removes an endpoint, whether it accepts requests or is silent.
    pub(super) fn remove(&mut self, endpoint: &EndpointId, is_in_own_zone: bool) {
        let before = self.members.len();
        self.members.retain(|other| other != endpoint);
        self.silent.retain(|other| other != endpoint);
        if self.members.len() < before && is_in_own_zone {
            self.in_own_zone = self.in_own_zone.saturating_sub(1);
        }
    }

    /// Moves an endpoint to the silent ones; returns the silent one that is dropped for it, if any.
    pub(super) fn mark_silent(
        &mut self,
        endpoint: EndpointId,
        is_in_own_zone: bool,
    ) -> Option<EndpointId> {
        self.remove(&endpoint, is_in_own_zone);
        self.silent.push(endpoint);
        (self.silent.len() > MAX_SILENT).then(|| self.silent.remove(0))
    }

    /// Sorts the endpoints that accept requests by preference, if one has joined since.
    pub(super) fn order(&mut self, preference: impl FnMut(&EndpointId) -> Preference) {
        if !self.is_ordered {
            self.members.sort_by_cached_key(preference);
            self.is_ordered = true;
        }
    }
}
