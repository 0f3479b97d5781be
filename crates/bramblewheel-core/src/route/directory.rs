//! Live endpoints of the services that this daemon calls.

use crate::event::{AdmissionLevel, DirectoryEndpoint, DirectoryUpdate, Feedback};
use crate::route::endpoint::Endpoint;
use crate::table::Table;
use bramblewheel_types::{EndpointId, ServiceName, Timestamp, ZoneName};
use std::collections::BTreeSet;

/// Endpoints of one service, split into the own zone and all others.
#[derive(Debug, Default)]
pub(crate) struct ServiceEndpoints {
    pub(crate) local: Vec<EndpointId>,
    pub(crate) remote: Vec<EndpointId>,
    /// Sum of the reported loads of `local`, updated with each answer.
    pub(crate) local_load_sum: u64,
    /// Ejected endpoints, ordered by the end of the ejection.
    ejected: BTreeSet<(Timestamp, EndpointId)>,
}

impl ServiceEndpoints {
    fn len(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    /// Removes expired ejections and counts the rest.
    fn ejected_count(&mut self, now: Timestamp) -> usize {
        while self.ejected.first().is_some_and(|(until, _)| *until <= now) {
            self.ejected.pop_first();
        }
        self.ejected.len()
    }
}

/// All endpoints known to this daemon. Bounded by the directory of the control group, which lists
/// only endpoints of services that this daemon calls.
#[derive(Debug)]
pub(crate) struct Directory {
    zone: ZoneName,
    pub(crate) endpoints: Table<EndpointId, Endpoint>,
    pub(crate) services: Table<ServiceName, ServiceEndpoints>,
}

impl Directory {
    pub(crate) fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            endpoints: Table::default(),
            services: Table::default(),
        }
    }

    pub(crate) fn apply(&mut self, now: Timestamp, update: DirectoryUpdate) {
        if update.is_complete {
            self.remove_all_but(&update.live);
        }
        for endpoint in &update.removed {
            self.remove(endpoint);
        }
        for entry in &update.live {
            self.insert(now, entry);
        }
    }

    fn remove_all_but(&mut self, live: &[DirectoryEndpoint]) {
        let listed: BTreeSet<&EndpointId> = live.iter().map(|entry| &entry.endpoint).collect();
        let unlisted: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|endpoint| !listed.contains(endpoint))
            .cloned()
            .collect();
        for endpoint in &unlisted {
            self.remove(endpoint);
        }
    }

    fn remove(&mut self, endpoint: &EndpointId) {
        let Some(state) = self.endpoints.remove(endpoint) else {
            return;
        };
        let Some(service) = self.services.get_mut(&state.service) else {
            return;
        };
        if state.zone == self.zone {
            service.local_load_sum -= u64::from(state.load_percent);
        }
        service.local.retain(|other| other != endpoint);
        service.remote.retain(|other| other != endpoint);
        service.ejected.retain(|(_, other)| other != endpoint);
        if service.len() == 0 {
            self.services.remove(&state.service);
        }
    }

    fn insert(&mut self, now: Timestamp, entry: &DirectoryEndpoint) {
        let moved = self
            .endpoints
            .get(&entry.endpoint)
            .is_some_and(|known| known.service != entry.service || known.zone != entry.zone);
        if moved {
            self.remove(&entry.endpoint);
        }
        if let Some(known) = self.endpoints.get_mut(&entry.endpoint) {
            known.update(now, entry);
            return;
        }
        let service = self.services.entry(entry.service.clone()).or_default();
        let list = if entry.zone == self.zone {
            &mut service.local
        } else {
            &mut service.remote
        };
        list.push(entry.endpoint.clone());
        self.endpoints
            .insert(entry.endpoint.clone(), Endpoint::new(now, entry));
    }

    /// Records that an attempt was sent.
    pub(crate) fn record_sent(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_sent(now);
        }
    }

    /// Records the end of an attempt without feedback from the endpoint.
    pub(crate) fn record_attempt_end(&mut self, endpoint: &EndpointId) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_ended();
        }
    }

    /// Records the answer to an attempt.
    pub(crate) fn record_answer(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        sent: Timestamp,
        route: usize,
        feedback: &Feedback,
    ) {
        self.record_attempt_end(endpoint);
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let load_before = u64::from(state.load_percent);
        state.record_answer(now, sent, route, feedback);
        if state.zone == self.zone
            && let Some(service) = self.services.get_mut(&state.service)
        {
            service.local_load_sum += u64::from(state.load_percent);
            service.local_load_sum -= load_before;
        }
    }

    /// Level below which every endpoint of a service would shed a request to the route.
    pub(crate) fn service_level(
        &self,
        now: Timestamp,
        service: &ServiceName,
        route: usize,
    ) -> AdmissionLevel {
        let Some(service) = self.services.get(service) else {
            return AdmissionLevel::default();
        };
        let endpoints = service.local.iter().chain(&service.remote);
        let endpoints = endpoints.filter_map(|endpoint| self.endpoints.get(endpoint));
        let levels = endpoints
            .filter(|state| state.takes_new_work(now))
            .map(|state| state.level(now, route));
        levels.min().unwrap_or_default()
    }

    /// Records an attempt that did not reach the endpoint or whose answer was lost. Returns whether
    /// the endpoint was ejected; the limit prevents a general slowdown from ejecting all endpoints.
    pub(crate) fn record_failure(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        max_ejected_percent: u32,
    ) -> bool {
        self.record_attempt_end(endpoint);
        self.record_endpoint_failure(now, endpoint, max_ejected_percent)
    }

    /// Records an attempt that timed out; its end is recorded separately. Returns whether the
    /// endpoint was ejected.
    pub(crate) fn record_timeout(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        sent: Timestamp,
        max_ejected_percent: u32,
    ) -> bool {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.record_latency(now, sent);
        }
        self.record_endpoint_failure(now, endpoint, max_ejected_percent)
    }

    fn record_endpoint_failure(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        max_ejected_percent: u32,
    ) -> bool {
        let Some(state) = self.endpoints.get_mut(endpoint) else {
            return false;
        };
        if !state.record_failure(now) {
            return false;
        }
        let Some(service) = self.services.get_mut(&state.service) else {
            return false;
        };
        let ceiling = service.len() * max_ejected_percent as usize / 100;
        if service.ejected_count(now) >= ceiling {
            return false;
        }
        let until = state.eject(now);
        service.ejected.insert((until, endpoint.clone()));
        true
    }
}
