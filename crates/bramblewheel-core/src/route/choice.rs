//! Choice of an endpoint: the cheapest of a few random ones, own zone first.
//!
//! A few random choices bring nearly all of the gain of knowing every load, without the herd that
//! goes to the one endpoint that looked idle a moment ago. Two are enough while there is room;
//! near saturation, where a parent's slot waits for each sub-call, four wait clearly less
//! (`docs/design/05-admission.md`).

use crate::event::AdmissionLevel;
use crate::route::directory::{Directory, ServiceEndpoints};
use crate::route::endpoint::{Endpoint, Target};
use bramblewheel_bundle::model::RoutingPolicy;
use bramblewheel_types::{EndpointId, ServiceName, Timestamp};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Endpoints among which the cheapest is chosen.
const CHOICES: usize = 4;
/// Random picks after which the list is searched from a random place.
const MAX_PICKS: usize = 4;

/// What is asked of an endpoint.
pub(crate) struct Wanted<'a> {
    pub(crate) now: Timestamp,
    pub(crate) service: &'a ServiceName,
    /// Number of the route among those of the service.
    pub(crate) route: usize,
    pub(crate) policy: &'a RoutingPolicy,
    /// Place of the request in the order of shedding.
    pub(crate) position: AdmissionLevel,
    /// Endpoints that this call tried before.
    pub(crate) tried: &'a [EndpointId],
}

/// Why there is no endpoint to send to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoChoice {
    /// No endpoint takes new work.
    NoEndpoint,
    /// All of them would shed the request.
    AllShed,
}

/// How choosy a search is; from strict to lax.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Strictness {
    /// Not tried before, neither ejected nor silent, and its level admits the request.
    Healthy,
    /// May be ejected: better a doubtful endpoint than none.
    EvenEjected,
    /// May have been tried before.
    EvenTried,
    /// May be above the request's level, if a probe is due.
    Probe,
}

impl Directory {
    /// Chooses an endpoint for an attempt.
    pub(crate) fn choose(
        &mut self,
        wanted: &Wanted<'_>,
        random: &mut impl Rng,
    ) -> Result<Target, NoChoice> {
        let service = self
            .services
            .get(wanted.service)
            .ok_or(NoChoice::NoEndpoint)?;
        for strictness in [
            Strictness::Healthy,
            Strictness::EvenEjected,
            Strictness::EvenTried,
            Strictness::Probe,
        ] {
            let Some(endpoint) = self.search(service, wanted, strictness, random) else {
                continue;
            };
            let endpoint = endpoint.clone();
            let state = self
                .endpoints
                .get_mut(&endpoint)
                .expect("the lists of services name only known endpoints");
            if strictness == Strictness::Probe {
                state.record_probe(wanted.now);
            }
            let address = state.address;
            return Ok(Target { endpoint, address });
        }
        Err(self.why_none(service, wanted.now))
    }

    fn why_none(&self, service: &ServiceEndpoints, now: Timestamp) -> NoChoice {
        let takes_work = |endpoint| {
            self.endpoints
                .get(endpoint)
                .is_some_and(|state: &Endpoint| state.takes_new_work(now))
        };
        let any = service.local.iter().chain(&service.remote).any(takes_work);
        if any {
            NoChoice::AllShed
        } else {
            NoChoice::NoEndpoint
        }
    }

    fn search<'a>(
        &self,
        service: &'a ServiceEndpoints,
        wanted: &Wanted<'_>,
        strictness: Strictness,
        random: &mut impl Rng,
    ) -> Option<&'a EndpointId> {
        let local = self.pick(&service.local, None, wanted, strictness, random);
        // Once the own zone is loaded, further choices come from outside; the first stays local,
        // so that the own zone goes on being measured.
        let stays_local = local.is_some() && !is_spilling_over(service, wanted.policy);
        let list = if stays_local {
            &service.local
        } else {
            &service.remote
        };
        let mut best = match local {
            Some(local) => local,
            None => self.pick(list, None, wanted, strictness, random)?,
        };
        for _ in 1..CHOICES {
            let other = self.pick(list, Some(best), wanted, strictness, random);
            best = self.cheaper(best, other, wanted);
        }
        Some(best)
    }

    fn pick<'a>(
        &self,
        list: &'a [EndpointId],
        other_than: Option<&EndpointId>,
        wanted: &Wanted<'_>,
        strictness: Strictness,
        random: &mut impl Rng,
    ) -> Option<&'a EndpointId> {
        if list.is_empty() {
            return None;
        }
        let fits = |endpoint: &&EndpointId| {
            Some(*endpoint) != other_than && self.fits(endpoint, wanted, strictness)
        };
        for _ in 0..MAX_PICKS {
            let endpoint = &list[random.random_range(0..list.len())];
            if fits(&endpoint) {
                return Some(endpoint);
            }
        }
        let start = random.random_range(0..list.len());
        let (before, after) = list.split_at(start);
        after.iter().chain(before).find(fits)
    }

    fn fits(&self, endpoint: &EndpointId, wanted: &Wanted<'_>, strictness: Strictness) -> bool {
        let Some(state) = self.endpoints.get(endpoint) else {
            return false;
        };
        if !state.takes_new_work(wanted.now) || state.outstanding >= wanted.policy.max_connections {
            return false;
        }
        let is_tried = wanted.tried.contains(endpoint);
        let admits = state.admits(wanted.now, wanted.route, wanted.position);
        match strictness {
            Strictness::Healthy => {
                let is_doubtful = state.is_ejected(wanted.now) || state.is_silent(wanted.now);
                admits && !is_tried && !is_doubtful
            }
            Strictness::EvenEjected => admits && !is_tried,
            Strictness::EvenTried => admits,
            Strictness::Probe => !is_tried && state.may_probe(wanted.now),
        }
    }

    fn cheaper<'a>(
        &self,
        first: &'a EndpointId,
        second: Option<&'a EndpointId>,
        wanted: &Wanted<'_>,
    ) -> &'a EndpointId {
        let slow_start = Duration::from(wanted.policy.slow_start);
        let cost = |endpoint: &EndpointId| {
            self.endpoints
                .get(endpoint)
                .map_or(f64::INFINITY, |state| state.cost(wanted.now, slow_start))
        };
        match second {
            Some(second) if cost(second) < cost(first) => second,
            _ => first,
        }
    }
}

fn is_spilling_over(service: &ServiceEndpoints, policy: &RoutingPolicy) -> bool {
    let limit = u64::from(policy.spill_over_percent) * service.local.len() as u64;
    service.local_load_sum > limit
}
