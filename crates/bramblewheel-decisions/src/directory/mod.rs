//! Choose an endpoint: which endpoint of a service a request is sent to.
//!
//! Rule: of the near endpoints and a few others, but for those tried already, the one of the least cost is chosen.
//! Ejected endpoints are chosen only when there is no other, and silent ones only when none takes work.
//!
//! Inputs: the endpoints' records (from the control group; as old as the last update); what this daemon saw of each
//! and what its daemon reported (load at most 2 s old, failures at most 6 s old); a random part of the cost.
//!
//! Reason: the control group may lose sight of an endpoint that can be reached, so that its silence only lowers it in
//! the order; the daemon beside the endpoint decides whether it takes work.
//!
//! Owns the endpoints of all services as this daemon knows them. Relies on the caller for time and randomness.
//!
//! Seen in: metric `bramblewheel_attempts` (by result); log lines `attempt failed` (`endpoint`, `result`) and
//! `no endpoint` (`service`, `tried`).

mod ejection;
mod endpoint;
mod route_times;
mod service;
mod subset;

use crate::nested_routes::MachineShares;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate};
use bramblewheel_types::{DaemonId, EndpointId, ServiceName, Timestamp, ZoneName};
use endpoint::{Endpoint, Usual};
use rand::{Rng, RngExt};
use route_times::RouteTimes;
use service::Service;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use subset::{Preference, candidates};

/// Share of failures, 0 to 1, above the mean of the candidates that costs nothing: single errors are usual, and
/// where all fail alike the cause lies downstream. Chosen, not measured.
const FREE_FAILURES: f64 = 0.04;
/// Largest random part of the cost, in units of a full endpoint, so that daemons don't all choose alike, and one
/// does not send all to the endpoint whose load it learned last. Measured on virtual time
/// (`docs/design/13-fleet-size.md`): with 0.1 the busiest endpoint had 1.69 of the mean use, with 0.05 1.66.
const JITTER: f64 = 0.05;

/// Where a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The daemon beside it.
    pub daemon: DaemonId,
    /// Where its daemon takes requests.
    pub address: SocketAddr,
}

/// How an attempt ended, as far as it concerns later choices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer came after this time.
    Answered(Duration),
    /// The endpoint answered with an error of its own after this time.
    Failed(Duration),
    /// The endpoint refused what its daemon had admitted.
    Rejected,
    /// The endpoint's daemon was full.
    Full,
    /// The endpoint's daemon refused the request for its content, which says nothing of the endpoint.
    Quarantined,
    /// The endpoint leaves or its daemon stops.
    Leaving,
    /// The daemon or the endpoint could not be reached.
    Unreachable,
    /// The answer was lost.
    Lost,
    /// Given up here after this time, at the end of the request's time or because its caller went
    /// away: the answer would have taken longer.
    GivenUp(Duration),
}

/// Load that an endpoint's daemon reported with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running and waiting.
    pub busy: u32,
    /// Requests that may run side by side.
    pub limit: u32,
    /// Requests in a hundred that the endpoint failed lately.
    pub failed_percent: u32,
}

/// Endpoints of all services and what was seen of them.
#[derive(Debug)]
pub struct Directory {
    zone: ZoneName,
    daemon: DaemonId,
    endpoints: HashMap<EndpointId, Endpoint>,
    by_service: HashMap<ServiceName, Service>,
    route_times: RouteTimes,
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
        }
    }

    /// Takes over a change of an endpoint.
    pub fn apply(&mut self, now: Timestamp, update: &EndpointUpdate) {
        let record = update.record.clone();
        self.leave_former_service(&record);
        let is_known = self.endpoints.contains_key(&record.endpoint);
        match record.state {
            EndpointState::Ready => self.join(now, record),
            EndpointState::Silent if is_known => self.set_aside(record),
            EndpointState::Silent | EndpointState::Draining | EndpointState::Gone => {
                self.remove(&record.endpoint);
            }
        }
    }

    /// An id is in the lists of one service and zone only, also where a record names others than the one before it: a choice
    /// relies on a record for each id in a list.
    fn leave_former_service(&mut self, record: &EndpointRecord) {
        let Some(known) = self.endpoints.get_mut(&record.endpoint) else {
            return;
        };
        let former = &known.record;
        if former.service == record.service && former.zone == record.zone {
            return;
        }
        if let Some(service) = self.by_service.get_mut(&former.service) {
            service.leave(&record.endpoint, former.zone == self.zone);
        }
        known.record = record.clone();
    }

    fn join(&mut self, now: Timestamp, record: EndpointRecord) {
        let service = self.by_service.entry(record.service.clone()).or_default();
        service.join(&record.endpoint, record.zone == self.zone);
        if let Some(known) = self.endpoints.get_mut(&record.endpoint) {
            known.record = record;
            return;
        }
        let id = record.endpoint.clone();
        self.endpoints.insert(id, Endpoint::new(now, record));
    }

    /// Keeps an endpoint that the control group has lost sight of for the case that no other is left:
    /// it may be the way to the control group that is cut. Its own daemon decides whether it takes work.
    fn set_aside(&mut self, record: EndpointRecord) {
        let is_in_own_zone = record.zone == self.zone;
        let service = self.by_service.entry(record.service).or_default();
        if let Some(oldest) = service.set_aside(record.endpoint, is_in_own_zone) {
            self.endpoints.remove(&oldest);
        }
    }

    fn remove(&mut self, endpoint: &EndpointId) {
        let Some(gone) = self.endpoints.remove(endpoint) else {
            return;
        };
        let record = &gone.record;
        if let Some(service) = self.by_service.get_mut(&record.service) {
            service.leave(&record.endpoint, record.zone == self.zone);
        }
    }

    /// How many endpoints of a service take work.
    pub fn endpoints_of(&self, service: &ServiceName) -> usize {
        let service = self.by_service.get(service);
        service.map_or(0, |service| service.members().len())
    }

    /// The best endpoint of a service for a request of `route`, but for those tried already: of those
    /// that this daemon mostly deals with and a few others. Endpoints that could not be reached lately
    /// are chosen only when there is no other, and silent ones only when none takes work.
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
        let candidates = candidates(known.choosable(), tried, random);
        let usual = self.usual(now, &candidates);
        let ranked = candidates.into_iter().map(|id| {
            let endpoint = &self.endpoints[id];
            Candidate {
                id,
                is_ejected: endpoint.is_ejected(now),
                cost: endpoint.cost(now, &self.zone, &usual) + random.random_range(0.0..JITTER),
            }
        });
        let best = ranked.min_by(|one, other| {
            let by_cost = one.cost.total_cmp(&other.cost);
            one.is_ejected.cmp(&other.is_ejected).then(by_cost)
        });
        let id = best?.id.clone();
        self.choose_this(now, &id, route)
    }

    /// This endpoint for a request of `route`, while it is known.
    pub fn choose_this(&mut self, now: Timestamp, id: &EndpointId, route: &str) -> Option<Choice> {
        let endpoint = self.endpoints.get_mut(id)?;
        endpoint.note_send(now, self.route_times.usual_seconds(route));
        Some(Choice {
            endpoint: id.clone(),
            daemon: endpoint.record.daemon.clone(),
            address: endpoint.record.address,
        })
    }

    /// Puts a service's endpoints in this daemon's order, after one has joined.
    fn order(&mut self, service: &ServiceName) {
        let Some(service) = self.by_service.get_mut(service) else {
            return;
        };
        service.order(|id| {
            let is_in_own_zone = self.endpoints[id].record.zone == self.zone;
            Preference::new(&self.daemon, id, is_in_own_zone)
        });
    }

    /// What is usual among these endpoints.
    fn usual(&self, now: Timestamp, candidates: &[&EndpointId]) -> Usual {
        let endpoints = || candidates.iter().map(|id| &self.endpoints[*id]);
        let reported = || endpoints().filter_map(|endpoint| endpoint.reported(now));
        let weight: f64 = reported().map(|load| load.weight).sum();
        let total: f64 = reported().map(|load| load.utilization * load.weight).sum();
        let failed = endpoints().map(|endpoint| endpoint.failed(now));
        Usual {
            utilization: (weight > 0.0).then(|| total / weight),
            failures: mean(failed) + FREE_FAILURES,
        }
    }

    /// Mean share of failures of a service's endpoints, 0 to 1; zero where none is known.
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
        let relative = match end {
            AttemptEnd::Answered(time) => Some(self.route_times.record(route, time)),
            AttemptEnd::GivenUp(time) | AttemptEnd::Failed(time) => {
                self.route_times.least_slowness(route, time)
            }
            _ => None,
        };
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if let Some(load) = load {
            known.note_report(now, load);
        }
        known.note_end(now, end, relative);
    }
}

impl MachineShares for Directory {
    /// The larger of the parts of the own zone and of all zones: requests come from the own zone
    /// first, which may lack a service.
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
        part(here, here_of).max(part(everywhere, everywhere_of))
    }
}

/// A part of a whole; all of it where the whole is nothing.
fn part(count: usize, whole: usize) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    #[expect(
        clippy::cast_precision_loss,
        reason = "2^53 endpoints are out of reach"
    )]
    let part = count as f64 / whole as f64;
    part
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (mut total, mut count) = (0.0, 0_u32);
    for value in values {
        total += value;
        count += 1;
    }
    total / f64::from(count.max(1))
}
