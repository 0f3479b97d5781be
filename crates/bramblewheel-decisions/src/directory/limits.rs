//! Effect of what endpoints state on the choice: endpoints that drain, endpoints with a rate limit, and stated loads.

use super::Directory;
use super::service::Service;
use crate::endpoint_limit::LimitChange;
use crate::load_statement::StatedLoad;
use bramblewheel_types::{EndpointId, RateLimit, ServiceName, Timestamp};
use rand::{Rng, RngExt};

impl Directory {
    /// Endpoints of a service that the next request is not to be sent to because of their rate limits, drawn by
    /// their send shares. Empty for an exempt request.
    pub fn paused_by_limits(
        &self,
        now: Timestamp,
        service: &ServiceName,
        is_exempt: bool,
        random: &mut impl Rng,
    ) -> Vec<EndpointId> {
        if is_exempt || self.statements.is_empty() {
            return Vec::new();
        }
        let Some(service) = self.by_service.get(service) else {
            return Vec::new();
        };
        let members = service.choosable().iter();
        let is_paused = |id: &&EndpointId| {
            let share = self.statements.send_share(now, id);
            share < 1.0 && !random.random_bool(share)
        };
        members.filter(is_paused).cloned().collect()
    }

    /// Part of a service's requests, 0 to 1, that is not sent because all its endpoints have a rate limit or drain.
    pub fn part_over_limits(&self, now: Timestamp, service: &ServiceName) -> f64 {
        if self.statements.is_empty() {
            return 0.0;
        }
        let service = self.by_service.get(service);
        let members = service.map_or(&[][..], Service::choosable).iter();
        let shares = members.map(|id| self.statements.send_share(now, id));
        let largest = shares.reduce(f64::max);
        largest.map_or(0.0, |largest| 1.0 - largest)
    }

    /// Records what the daemon beside an endpoint reports of its rate limit with the answer to an attempt that began at
    /// `sent_at`.
    pub fn record_limit(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        endpoint: &EndpointId,
        stated: Option<RateLimit>,
    ) -> Option<LimitChange> {
        self.statements.record_limit(now, sent_at, endpoint, stated)
    }

    /// Records what the daemon beside an endpoint reports of the load that the endpoint states.
    pub fn record_stated_load(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        stated: StatedLoad,
    ) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.stated_load.record(now, stated);
        }
    }

    /// What an endpoint stated last of its load, with its age; `None` if nothing recent is known.
    pub fn stated_load(&self, now: Timestamp, endpoint: &EndpointId) -> Option<StatedLoad> {
        self.endpoints.get(endpoint)?.stated_load.at(now)
    }

    /// Records that an endpoint has stated that it drains; returns whether that is new.
    pub fn record_drain(&mut self, now: Timestamp, endpoint: &EndpointId) -> bool {
        self.statements.record_drain(now, endpoint)
    }
}
