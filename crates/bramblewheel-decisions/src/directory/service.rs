//! The endpoints of one service, those that take work apart from the silent ones.
//!
//! Owns the order of the endpoints; relies on [`Preference`] for which are near.

use super::subset::Preference;
use bramblewheel_types::EndpointId;

/// Silent endpoints of a service that are kept: those that crashed for good are not told apart
/// from those that may come back. Chosen, not measured.
const MAX_SILENT: usize = 16;

/// Endpoints of one service.
#[derive(Debug, Default)]
pub(super) struct Service {
    /// All that take work, the near ones first once they are ordered.
    members: Vec<EndpointId>,
    /// Those of which the control group has had no heartbeat lately, the last one at the end.
    silent: Vec<EndpointId>,
    /// Whether the members are in the order of the preferences.
    is_ordered: bool,
    /// How many members are in the daemon's zone.
    in_own_zone: usize,
}

impl Service {
    /// All that take work.
    pub(super) fn members(&self) -> &[EndpointId] {
        &self.members
    }

    /// How many of them are in the daemon's zone.
    pub(super) fn in_own_zone(&self) -> usize {
        self.in_own_zone
    }

    /// Those that a choice is made from: the silent ones only when none takes work.
    pub(super) fn choosable(&self) -> &[EndpointId] {
        if self.members.is_empty() {
            &self.silent
        } else {
            &self.members
        }
    }

    /// An endpoint takes work.
    pub(super) fn join(&mut self, endpoint: &EndpointId, is_in_own_zone: bool) {
        self.silent.retain(|other| other != endpoint);
        if !self.members.contains(endpoint) {
            self.members.push(endpoint.clone());
            self.in_own_zone += usize::from(is_in_own_zone);
            self.is_ordered = false;
        }
    }

    /// An endpoint has gone, whether it took work or was silent.
    pub(super) fn leave(&mut self, endpoint: &EndpointId, is_in_own_zone: bool) {
        let before = self.members.len();
        self.members.retain(|other| other != endpoint);
        self.silent.retain(|other| other != endpoint);
        if self.members.len() < before && is_in_own_zone {
            self.in_own_zone = self.in_own_zone.saturating_sub(1);
        }
    }

    /// An endpoint has become silent; returns the one that is no longer kept for it, if any.
    pub(super) fn set_aside(
        &mut self,
        endpoint: EndpointId,
        is_in_own_zone: bool,
    ) -> Option<EndpointId> {
        self.leave(&endpoint, is_in_own_zone);
        self.silent.push(endpoint);
        (self.silent.len() > MAX_SILENT).then(|| self.silent.remove(0))
    }

    /// Puts the endpoints that take work in the order of preference, if one has joined since.
    pub(super) fn order(&mut self, preference: impl FnMut(&EndpointId) -> Preference) {
        if !self.is_ordered {
            self.members.sort_by_cached_key(preference);
            self.is_ordered = true;
        }
    }
}
