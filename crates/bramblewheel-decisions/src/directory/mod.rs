//! Endpoints of all services as this daemon knows them, and the choice among them.

mod endpoint;
mod subset;

use crate::nested_routes::MachineShares;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate};
use bramblewheel_types::{DaemonId, EndpointId, ServiceName, Timestamp, ZoneName};
use endpoint::{Endpoint, SMOOTHING, Usual};
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use subset::{EXPLORED, NEAR, Preference};

/// Bounds of the slowness that one answer can show.
const SLOWNESS_BOUNDS: (f64, f64) = (0.3, 8.0);
/// Failures above the mean of the service's endpoints that cost nothing: single errors are usual, and
/// where all fail alike the cause lies deeper.
const USUAL_FAILURES: f64 = 0.04;
/// Random part of the cost, so that daemons don't all choose alike, and one does not send all to the
/// endpoint whose load it learned last.
const JITTER: f64 = 0.05;

/// Silent endpoints of a service that are kept in mind: those that crashed for good are not told apart
/// from those that may come back.
const MAX_SILENT: usize = 16;

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

/// How a send ended, as far as it concerns later choices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer came after this time.
    Answered(Duration),
    /// The endpoint answered with an error of its own after this time.
    Failed(Duration),
    /// The endpoint refused what its daemon had let in.
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

/// Endpoints of one service.
#[derive(Debug, Default)]
struct Service {
    /// All that take work, the near ones first.
    members: Vec<EndpointId>,
    /// Those that the control group has not heard lately, the last one at the end.
    silent: Vec<EndpointId>,
    /// Whether the members are in the order of the preferences.
    is_ordered: bool,
    /// How many members are in the daemon's zone.
    in_own_zone: usize,
}

impl Service {
    /// Forgets an endpoint, whether it takes work or is silent.
    fn leave(&mut self, record: &EndpointRecord, own_zone: &ZoneName) {
        let before = self.members.len();
        self.members.retain(|other| *other != record.endpoint);
        self.silent.retain(|other| *other != record.endpoint);
        if self.members.len() < before && record.zone == *own_zone {
            self.in_own_zone = self.in_own_zone.saturating_sub(1);
        }
    }
}

/// Endpoints of all services and what was seen of them.
#[derive(Debug)]
pub struct Directory {
    zone: ZoneName,
    daemon: DaemonId,
    endpoints: HashMap<EndpointId, Endpoint>,
    by_service: HashMap<ServiceName, Service>,
    /// Mean answer time in seconds, by route.
    route_means: BTreeMap<String, f64>,
}

impl Directory {
    /// An empty directory of `daemon` in `zone`.
    pub fn new(zone: ZoneName, daemon: DaemonId) -> Self {
        Self {
            zone,
            daemon,
            endpoints: HashMap::new(),
            by_service: HashMap::new(),
            route_means: BTreeMap::new(),
        }
    }

    /// Takes over a change of an endpoint.
    pub fn apply(&mut self, now: Timestamp, news: &EndpointUpdate) {
        let record = news.record.clone();
        let is_known = self.endpoints.contains_key(&record.endpoint);
        match record.state {
            EndpointState::Ready => self.join(now, record),
            EndpointState::Silent if is_known => self.set_aside(record),
            EndpointState::Silent | EndpointState::Draining | EndpointState::Gone => {
                self.remove(&record.endpoint);
            }
        }
    }

    fn join(&mut self, now: Timestamp, record: EndpointRecord) {
        let service = self.by_service.entry(record.service.clone()).or_default();
        service.silent.retain(|other| *other != record.endpoint);
        if !service.members.contains(&record.endpoint) {
            service.members.push(record.endpoint.clone());
            service.in_own_zone += usize::from(record.zone == self.zone);
            service.is_ordered = false;
        }
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
        let service = self.by_service.entry(record.service.clone()).or_default();
        service.leave(&record, &self.zone);
        service.silent.push(record.endpoint);
        if service.silent.len() > MAX_SILENT {
            let oldest = service.silent.remove(0);
            self.endpoints.remove(&oldest);
        }
    }

    fn remove(&mut self, endpoint: &EndpointId) {
        let Some(gone) = self.endpoints.remove(endpoint) else {
            return;
        };
        if let Some(service) = self.by_service.get_mut(&gone.record.service) {
            service.leave(&gone.record, &self.zone);
        }
    }

    /// How many endpoints of a service take work.
    pub fn endpoints_of(&self, service: &ServiceName) -> usize {
        let service = self.by_service.get(service);
        service.map_or(0, |service| service.members.len())
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
        let takes_work = !known.members.is_empty();
        let members = if takes_work {
            &known.members
        } else {
            &known.silent
        };
        let candidates = candidates(members, tried, random);
        let usual = self.usual(now, &candidates);
        let ranked = candidates.into_iter().map(|id| {
            let endpoint = &self.endpoints[id];
            let cost = endpoint.cost(now, &self.zone, &usual) + random.random_range(0.0..JITTER);
            (endpoint.is_ejected(now), cost, id)
        });
        let best = ranked.min_by(|one, other| {
            let by_cost = one.1.total_cmp(&other.1);
            one.0.cmp(&other.0).then(by_cost)
        });
        let id = best?.2.clone();
        self.choose_this(now, &id, route)
    }

    /// This endpoint for a request of `route`, while it is known.
    pub fn choose_this(&mut self, now: Timestamp, id: &EndpointId, route: &str) -> Option<Choice> {
        let endpoint = self.endpoints.get_mut(id)?;
        endpoint.note_send(now, self.route_means.get(route).copied());
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
        if service.is_ordered {
            return;
        }
        let preference = |id: &EndpointId| {
            let is_in_own_zone = self.endpoints[id].record.zone == self.zone;
            Preference::new(&self.daemon, id, is_in_own_zone)
        };
        service.members.sort_by_cached_key(preference);
        service.is_ordered = true;
    }

    /// What is usual among these endpoints.
    fn usual(&self, now: Timestamp, candidates: &[&EndpointId]) -> Usual {
        let endpoints = || candidates.iter().map(|id| &self.endpoints[*id]);
        let reported = || endpoints().filter_map(|endpoint| endpoint.reported(now));
        let weight: f64 = reported().map(|(_, weight)| weight).sum();
        let total: f64 = reported().map(|(load, weight)| load * weight).sum();
        let failed = endpoints().map(|endpoint| endpoint.failed(now));
        Usual {
            utilization: (weight > 0.0).then(|| total / weight),
            failures: mean(failed) + USUAL_FAILURES,
        }
    }

    /// Mean share of failures of a service's endpoints; zero where none is known.
    pub fn failed_share(&self, now: Timestamp, service: &ServiceName) -> f64 {
        let Some(service) = self.by_service.get(service) else {
            return 0.0;
        };
        let members = service.members.iter();
        mean(members.map(|id| self.endpoints[id].failed(now)))
    }

    /// Notes how a send that [`choose`](Self::choose) began has ended.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        route: &str,
        end: AttemptEnd,
        load: Option<LoadReport>,
    ) {
        let relative = match end {
            AttemptEnd::Answered(time) => Some(self.relative_time(route, time)),
            AttemptEnd::GivenUp(time) | AttemptEnd::Failed(time) => {
                self.least_relative_time(route, time)
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

    /// What a send without an answer says of the endpoint's time: nothing, unless it was longer than
    /// the mean of the route.
    fn least_relative_time(&self, route: &str, time: Duration) -> Option<f64> {
        let mean = self.route_means.get(route)?;
        let relative = time.as_secs_f64() / mean;
        (relative > 1.0).then(|| relative.min(SLOWNESS_BOUNDS.1))
    }

    /// An answer's time relative to the mean of its route.
    fn relative_time(&mut self, route: &str, time: Duration) -> f64 {
        let seconds = time.as_secs_f64().max(0.000_1);
        if let Some(mean) = self.route_means.get_mut(route) {
            *mean += SMOOTHING * (seconds - *mean);
            let (least, most) = SLOWNESS_BOUNDS;
            return (seconds / *mean).clamp(least, most);
        }
        self.route_means.insert(route.to_owned(), seconds);
        1.0
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
        let here = counted().map(|service| service.in_own_zone).sum();
        let here_of = self
            .by_service
            .values()
            .map(|service| service.in_own_zone)
            .sum();
        let everywhere = counted().map(|service| service.members.len()).sum();
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

/// The near endpoints and a few others, but for those tried already.
fn candidates<'a>(
    members: &'a [EndpointId],
    tried: &[EndpointId],
    random: &mut impl Rng,
) -> Vec<&'a EndpointId> {
    if members.len() <= NEAR + EXPLORED {
        let untried = members.iter().filter(|id| !tried.contains(id));
        return untried.collect();
    }
    let (near, others) = members.split_at(NEAR);
    let explored = (0..EXPLORED).map(|_| &others[random.random_range(0..others.len())]);
    let all = near.iter().chain(explored);
    all.filter(|id| !tried.contains(id)).collect()
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (mut total, mut count) = (0.0, 0_u32);
    for value in values {
        total += value;
        count += 1;
    }
    total / f64::from(count.max(1))
}
