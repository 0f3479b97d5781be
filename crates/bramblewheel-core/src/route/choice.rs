//! Endpoint selection: the cheapest of a few randomly picked endpoints, preferring the own zone.
//!
//! A few random choices give nearly the full benefit of comparing all endpoints, without a herd of
//! calls to the one endpoint that just looked idle. Two are enough while capacity is free. Near
//! saturation, where a parent's slot waits for each sub-call, four give clearly shorter waits.

use crate::event::AdmissionLevel;
use crate::route::directory::{Directory, ServiceEndpoints};
use crate::route::endpoint::{Endpoint, Target};
use bramblewheel_bundle::model::RoutingPolicy;
use bramblewheel_types::{EndpointId, ServiceName, Timestamp};
use rand::{Rng, RngExt};
use std::time::Duration;

/// Number of endpoints compared.
const CHOICES: usize = 4;
/// Random picks before the list is searched from a random start.
const MAX_PICKS: usize = 4;

/// Requirements for an endpoint.
pub(crate) struct Requirements<'a> {
    pub(crate) now: Timestamp,
    pub(crate) service: &'a ServiceName,
    /// Number of the route among those of the service.
    pub(crate) route: usize,
    pub(crate) policy: &'a RoutingPolicy,
    /// Position of the request in the shedding order.
    pub(crate) position: AdmissionLevel,
    /// Endpoints that this call has already tried.
    pub(crate) tried: &'a [EndpointId],
}

/// Reason why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoChoice {
    /// No endpoint accepts new work.
    NoEndpoint,
    /// Endpoints accept work, but none can take this request now.
    AllShed,
}

/// Search modes, from strict to lenient.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Strictness {
    /// Not tried yet, neither ejected nor silent, and the endpoint's level admits the request.
    Healthy,
    /// Also ejected or silent endpoints, which are better than none.
    AllowEjected,
    /// Also endpoints that were already tried.
    AllowTried,
    /// Endpoints that would shed the request, if a probe is due.
    Probe,
}

impl Directory {
    /// Chooses an endpoint for an attempt.
    pub(crate) fn choose(
        &mut self,
        requirements: &Requirements<'_>,
        random: &mut impl Rng,
    ) -> Result<Target, NoChoice> {
        let service = self
            .services
            .get(requirements.service)
            .ok_or(NoChoice::NoEndpoint)?;
        for strictness in [
            Strictness::Healthy,
            Strictness::AllowEjected,
            Strictness::AllowTried,
            Strictness::Probe,
        ] {
            let Some(endpoint) = self.search(service, requirements, strictness, random) else {
                continue;
            };
            let endpoint = endpoint.clone();
            let state = self
                .endpoints
                .get_mut(&endpoint)
                .expect("the lists of services name only known endpoints");
            if strictness == Strictness::Probe {
                state.record_probe(requirements.now);
            }
            let address = state.address;
            return Ok(Target { endpoint, address });
        }
        Err(self.no_choice_reason(service, requirements.now))
    }

    fn no_choice_reason(&self, service: &ServiceEndpoints, now: Timestamp) -> NoChoice {
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
        requirements: &Requirements<'_>,
        strictness: Strictness,
        random: &mut impl Rng,
    ) -> Option<&'a EndpointId> {
        let local = self.pick(&service.local, None, requirements, strictness, random);
        // Once the own zone is loaded, further candidates come from other zones. The first candidate
        // stays local, so that the own zone is still measured.
        let stays_local = local.is_some() && !is_spilling_over(service, requirements.policy);
        let list = if stays_local {
            &service.local
        } else {
            &service.remote
        };
        let mut best = match local {
            Some(local) => local,
            None => self.pick(list, None, requirements, strictness, random)?,
        };
        for _ in 1..CHOICES {
            let other = self.pick(list, Some(best), requirements, strictness, random);
            best = self.cheaper(best, other, requirements);
        }
        Some(best)
    }

    fn pick<'a>(
        &self,
        list: &'a [EndpointId],
        other_than: Option<&EndpointId>,
        requirements: &Requirements<'_>,
        strictness: Strictness,
        random: &mut impl Rng,
    ) -> Option<&'a EndpointId> {
        if list.is_empty() {
            return None;
        }
        let is_eligible = |endpoint: &&EndpointId| {
            Some(*endpoint) != other_than && self.is_eligible(endpoint, requirements, strictness)
        };
        for _ in 0..MAX_PICKS {
            let endpoint = &list[random.random_range(0..list.len())];
            if is_eligible(&endpoint) {
                return Some(endpoint);
            }
        }
        let start = random.random_range(0..list.len());
        let (before, after) = list.split_at(start);
        after.iter().chain(before).find(is_eligible)
    }

    fn is_eligible(
        &self,
        endpoint: &EndpointId,
        requirements: &Requirements<'_>,
        strictness: Strictness,
    ) -> bool {
        let Some(state) = self.endpoints.get(endpoint) else {
            return false;
        };
        if !state.takes_new_work(requirements.now)
            || state.outstanding >= requirements.policy.max_connections
        {
            return false;
        }
        let is_tried = requirements.tried.contains(endpoint);
        let admits = state.admits(requirements.now, requirements.route, requirements.position);
        match strictness {
            Strictness::Healthy => {
                let is_suspect =
                    state.is_ejected(requirements.now) || state.is_silent(requirements.now);
                admits && !is_tried && !is_suspect
            }
            Strictness::AllowEjected => admits && !is_tried,
            Strictness::AllowTried => admits,
            Strictness::Probe => !is_tried && state.may_probe(requirements.now),
        }
    }

    fn cheaper<'a>(
        &self,
        first: &'a EndpointId,
        second: Option<&'a EndpointId>,
        requirements: &Requirements<'_>,
    ) -> &'a EndpointId {
        let slow_start = Duration::from(requirements.policy.slow_start);
        let cost = |endpoint: &EndpointId| {
            self.endpoints.get(endpoint).map_or(f64::INFINITY, |state| {
                state.cost(requirements.now, slow_start)
            })
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
