//! Endpoint selection: which endpoint of a service a request is sent to.
//!
//! Rule: of the preferred endpoints and a few others that have not been tried yet, the one with the lowest cost is
//! chosen. Ejected endpoints are chosen only if there is no other, and silent ones only if no endpoint accepts
//! requests. An endpoint that has stated in an answer that it drains is never chosen.
//!
//! Inputs: the endpoints' records (from the control group, as of the last update); this daemon's observations of each
//! and the reports of their daemons (load and stated load at most 2 s old, failures at most 6 s old); a random part of
//! the cost.
//!
//! Reason: the control group may lose contact with an endpoint that can still be reached, so that its silence only
//! lowers its preference; the daemon beside the endpoint decides whether it accepts requests.
//!
//! State: the endpoints of all services and the observations of each.
//!
//! Observability: metric `bramblewheel_attempts` (by result); log lines `attempt failed` (`endpoint`, `result`) and `no
//! endpoint` (`service`, `tried`).

mod ejection;
mod endpoint;
mod limits;
mod route_times;
mod service;
mod statements;
mod subset;

use crate::endpoint_limit::KnownLimit;
use crate::load_statement::StatedLoad;
use crate::nested_routes::MachineShares;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate};
use bramblewheel_types::{DaemonId, EndpointId, ServiceName, Timestamp, ZoneName};
use endpoint::{CandidateMeans, Endpoint};
use rand::{Rng, RngExt};
use route_times::RouteTimes;
use service::Service;
use statements::Statements;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use subset::{Preference, candidates};

/// Share of failures, 0 to 1, above the mean of the candidates up to which failures cost nothing: single errors are
/// usual, and if all candidates fail alike the cause lies downstream.
const FREE_FAILURES: f64 = 0.04;
/// Largest random part of the cost, in units of a full endpoint, so that not all daemons choose the same endpoint, and
/// one daemon does not send everything to the endpoint whose load it learned last. On virtual time the busiest endpoint
/// had 1.69 times the mean use with 0.1, and 1.66 with 0.05.
const JITTER: f64 = 0.05;

/// Where a request is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The daemon beside it.
    pub daemon: DaemonId,
    /// Where its daemon accepts requests.
    pub address: SocketAddr,
    /// Its rate limit as this daemon knows it.
    pub known_limit: Option<KnownLimit>,
}

/// How an attempt ended, as far as it affects later choices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer arrived after this time.
    Answered(Duration),
    /// The endpoint answered with an error of its own after this time.
    Failed(Duration),
    /// The endpoint rejected a request that its daemon had admitted.
    Rejected,
    /// The endpoint's daemon had no slot.
    Full,
    /// The endpoint's rate limit was used up.
    RateLimited,
    /// The endpoint's daemon refused the request because too little of its time was left.
    OutOfTime,
    /// The endpoint's daemon refused the request for its content, which says nothing about the endpoint.
    Quarantined,
    /// The endpoint is unavailable or draining, or its daemon is stopping.
    Leaving,
    /// The daemon or the endpoint could not be reached.
    Unreachable,
    /// The answer was lost.
    Lost,
    /// Abandoned by this daemon after this time, at the request's deadline or because its caller disconnected; the
    /// answer would have taken longer.
    GivenUp(Duration),
}

impl AttemptEnd {
    /// Whether the endpoint got the request, so that its rate limit had room.
    fn shows_capacity(self) -> bool {
        matches!(self, Self::Answered(_) | Self::Failed(_) | Self::Rejected)
    }
}

/// Load that an endpoint's daemon reported with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running and waiting.
    pub busy: u32,
    /// Requests that may run at one time.
    pub limit: u32,
    /// Percentage of requests that the endpoint recently failed.
    pub failed_percent: u32,
}

/// Endpoints of all services, and the observations of each.
#[derive(Debug)]
pub struct Directory {
    zone: ZoneName,
    daemon: DaemonId,
    endpoints: HashMap<EndpointId, Endpoint>,
    by_service: HashMap<ServiceName, Service>,
    route_times: RouteTimes,
    statements: Statements,
}

/// An endpoint that may be chosen.
struct Candidate<'a> {
    id: &'a EndpointId,
    is_ejected: bool,
    /// In units of a full endpoint.
    cost: f64,
}

impl Directory {
    /// An empty directory of `daemon` in `zone`.
    pub fn new(zone: ZoneName, daemon: DaemonId) -> Self {
        Self {
            zone,
            daemon,
            endpoints: HashMap::new(),
            by_service: HashMap::new(),
            route_times: RouteTimes::default(),
            statements: Statements::default(),
        }
    }

    /// Applies a change of an endpoint's record.
    pub fn apply(&mut self, now: Timestamp, update: &EndpointUpdate) {
        let record = update.record.clone();
        self.remove_from_former_lists(&record);
        let is_known = self.endpoints.contains_key(&record.endpoint);
        match record.state {
            EndpointState::Ready => self.add(now, record),
            EndpointState::Silent if is_known => self.mark_silent(record),
            EndpointState::Silent | EndpointState::Draining | EndpointState::Gone => {
                self.remove(&record.endpoint);
            }
        }
    }

    /// Removes an endpoint from the lists of its former service or zone. An id must be in the lists of one service and
    /// zone only, even if a new record names others than the previous one, because a choice requires a record for each
    /// id in a list.
    fn remove_from_former_lists(&mut self, record: &EndpointRecord) {
        let Some(known) = self.endpoints.get_mut(&record.endpoint) else {
            return;
        };
        let former = &known.record;
        if former.service == record.service && former.zone == record.zone {
            return;
        }
        if let Some(service) = self.by_service.get_mut(&former.service) {
            service.remove(&record.endpoint, former.zone == self.zone);
        }
        known.record = record.clone();
    }

    fn add(&mut self, now: Timestamp, record: EndpointRecord) {
        let service = self.by_service.entry(record.service.clone()).or_default();
        service.add(&record.endpoint, record.zone == self.zone);
        if let Some(known) = self.endpoints.get_mut(&record.endpoint) {
            known.record = record;
            return;
        }
        let id = record.endpoint.clone();
        self.endpoints.insert(id, Endpoint::new(now, record));
    }

    /// Keeps an endpoint with which the control group has lost contact as a fallback, since perhaps only the connection
    /// to the control group is cut. Its own daemon decides whether it accepts requests.
    fn mark_silent(&mut self, record: EndpointRecord) {
        let is_in_own_zone = record.zone == self.zone;
        let service = self.by_service.entry(record.service).or_default();
        if let Some(oldest) = service.mark_silent(record.endpoint, is_in_own_zone) {
            self.endpoints.remove(&oldest);
        }
    }

    fn remove(&mut self, endpoint: &EndpointId) {
        let Some(removed) = self.endpoints.remove(endpoint) else {
            return;
        };
        let record = &removed.record;
        if let Some(service) = self.by_service.get_mut(&record.service) {
            service.remove(&record.endpoint, record.zone == self.zone);
        }
    }

    /// Number of endpoints of a service that accept requests.
    pub fn endpoint_count(&self, service: &ServiceName) -> usize {
        let service = self.by_service.get(service);
        service.map_or(0, |service| service.members().len())
    }

    /// Chooses the best endpoint of a service for a request of `route` that has not been tried yet, among the preferred
    /// endpoints and a few others. Endpoints that recently could not be reached are chosen only if there is no other,
    /// and silent ones only if no endpoint accepts requests.
    pub fn choose(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        route: &str,
        tried: &[EndpointId],
        random: &mut impl Rng,
    ) -> Option<Choice> {
        self.order(service);
        let known = self.by_service.get(service)?;
        let statements = &self.statements;
        let is_excluded = |id: &EndpointId| tried.contains(id) || statements.is_draining(id);
        let candidates = candidates(known.choosable(), is_excluded, random);
        let means = self.candidate_means(now, &candidates);
        let ranked = candidates.into_iter().map(|id| {
            let endpoint = &self.endpoints[id];
            Candidate {
                id,
                is_ejected: endpoint.is_ejected(now),
                cost: endpoint.cost(now, &self.zone, &means) + random.random_range(0.0..JITTER),
            }
        });
        let best = ranked.min_by(|one, other| {
            let by_cost = one.cost.total_cmp(&other.cost);
            one.is_ejected.cmp(&other.is_ejected).then(by_cost)
        });
        let id = best?.id.clone();
        self.choose_endpoint(now, &id, route)
    }

    /// Chooses this endpoint for a request of `route`; none if it is unknown or drains.
    pub fn choose_endpoint(
        &mut self,
        now: Timestamp,
        id: &EndpointId,
        route: &str,
    ) -> Option<Choice> {
        if self.statements.is_draining(id) {
            return None;
        }
        let endpoint = self.endpoints.get_mut(id)?;
        endpoint.record_send(now, self.route_times.usual_seconds(route));
        Some(Choice {
            endpoint: id.clone(),
            daemon: endpoint.record.daemon.clone(),
            address: endpoint.record.address,
            known_limit: self.statements.limit(now, id),
        })
    }

    /// Sorts a service's endpoints by this daemon's preference, after one has joined.
    fn order(&mut self, service: &ServiceName) {
        let Some(service) = self.by_service.get_mut(service) else {
            return;
        };
        service.order(|id| {
            let is_in_own_zone = self.endpoints[id].record.zone == self.zone;
            Preference::new(&self.daemon, id, is_in_own_zone)
        });
    }

    /// The means over these endpoints.
    fn candidate_means(&self, now: Timestamp, candidates: &[&EndpointId]) -> CandidateMeans {
        let endpoints = || candidates.iter().map(|id| &self.endpoints[*id]);
        let reported = || endpoints().filter_map(|endpoint| endpoint.reported(now));
        let weight: f64 = reported().map(|load| load.weight).sum();
        let total: f64 = reported().map(|load| load.utilization * load.weight).sum();
        let failed = endpoints().map(|endpoint| endpoint.failed(now));
        let stated = endpoints().filter_map(|endpoint| endpoint.stated_load.at(now));
        CandidateMeans {
            utilization: (weight > 0.0).then(|| total / weight),
            failures: mean(failed) + FREE_FAILURES,
            work: mean_work(stated),
        }
    }

    /// Mean share of failures of a service's endpoints, 0 to 1; 0 if it has none.
    pub fn failed_share(&self, now: Timestamp, service: &ServiceName) -> f64 {
        let Some(service) = self.by_service.get(service) else {
            return 0.0;
        };
        let members = service.members().iter();
        mean(members.map(|id| self.endpoints[id].failed(now)))
    }

    /// Records how an attempt that [`choose`](Self::choose) began has ended.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        route: &str,
        end: AttemptEnd,
        load: Option<LoadReport>,
    ) {
        let known = self.endpoints.get(endpoint);
        let usual_work = |time| known.map_or(time, |known| known.usual_work_time(now, time));
        let relative = match end {
            AttemptEnd::Answered(time) => Some(self.route_times.record(route, usual_work(time))),
            AttemptEnd::GivenUp(time) | AttemptEnd::Failed(time) => {
                self.route_times.min_slowness(route, usual_work(time))
            }
            _ => None,
        };
        if end.shows_capacity() || end == AttemptEnd::RateLimited {
            let is_refused = end == AttemptEnd::RateLimited;
            self.statements.record_attempt(now, endpoint, is_refused);
        }
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if let Some(load) = load {
            known.record_report(now, load);
        }
        known.record_end(now, end, relative);
    }
}

impl MachineShares for Directory {
    /// The larger of the parts in this daemon's zone and in all zones: requests come from the own zone first, which may
    /// lack a service.
    fn share_of(&self, services: &[&ServiceName]) -> f64 {
        let counted = || {
            services
                .iter()
                .filter_map(|name| self.by_service.get(*name))
        };
        let here = counted().map(Service::in_own_zone).sum();
        let here_of = self.by_service.values().map(Service::in_own_zone).sum();
        let everywhere = counted().map(|service| service.members().len()).sum();
        let everywhere_of = self.endpoints.len();
        fraction(here, here_of).max(fraction(everywhere, everywhere_of))
    }
}

/// `count` as a part of `whole`, 0 to 1; 1 if `whole` is 0.
fn fraction(count: usize, whole: usize) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    #[expect(
        clippy::cast_precision_loss,
        reason = "2^53 endpoints are out of reach"
    )]
    let fraction = count as f64 / whole as f64;
    fraction
}

/// Mean of the stated work times by their weights; `None` if nothing is stated.
fn mean_work(stated: impl Iterator<Item = StatedLoad>) -> Option<f64> {
    let (mut total, mut weights) = (0.0, 0.0);
    for stated in stated {
        let weight = stated.weight();
        total += stated.statement.work_factor() * weight;
        weights += weight;
    }
    (weights > 0.0).then(|| total / weights)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (mut total, mut count) = (0.0, 0_u32);
    for value in values {
        total += value;
        count += 1;
    }
    total / f64::from(count.max(1))
}
