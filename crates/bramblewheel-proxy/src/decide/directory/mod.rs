//! Endpoints of all services as this daemon knows them, and the choice among them.

use super::failure_share::FailureShare;
use bramblewheel_protocol::routing::{EndpointNews, EndpointRecord, EndpointState};
use bramblewheel_types::{DaemonId, EndpointId, ServiceName, Timestamp, ZoneName};
use rand::{Rng, RngExt};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// Cost of leaving the own zone, in units of a full endpoint: bytes between zones cost more than
/// a somewhat longer wait.
const OTHER_ZONE_COST: f64 = 0.3;
/// Cost of an idle endpoint of usual speed, so that slowness counts without load too.
const IDLE_COST: f64 = 0.15;
/// How much slower an endpoint is taken to be while it is cold.
const COLD_FACTOR: f64 = 2.0;
/// Weight of the newest measurement in the moving averages.
const SMOOTHING: f64 = 0.2;
/// Bounds of the slowness that one answer can show.
const SLOWNESS_BOUNDS: (f64, f64) = (0.3, 8.0);
/// Age up to which a load report of an endpoint's daemon is used.
const REPORT_LIFETIME: Duration = Duration::from_millis(500);
/// First time-out of an endpoint that could not be reached; doubled with each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(200);
/// Longest such time-out.
const LONGEST_EJECTION: Duration = Duration::from_secs(2);
/// Lost answers in a row that count as a failure to reach the endpoint.
const LOST_IN_A_ROW: u32 = 3;
/// Time for which a daemon that refuses for its own stop is left alone.
const REFUSAL_PAUSE: Duration = Duration::from_millis(800);
/// Cost of an endpoint that fails all requests, in units of a full endpoint. An endpoint that fails
/// does so fast, and would look idle and quick without it.
const FAILURE_COST: f64 = 2.5;
/// Failures above the mean of the service's endpoints that cost nothing: single errors are usual, and
/// where all fail alike the cause lies deeper.
const USUAL_FAILURES: f64 = 0.04;
/// Weight of the newest outcome in the share of failures seen here.
const FAILURE_SMOOTHING: f64 = 0.15;
/// Random part of the cost, so that daemons don't all choose alike.
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

/// How a send ended, as far as it concerns later choices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// A whole answer came after this time.
    Answered(Duration),
    /// The endpoint answered with an error of its own after this time.
    Failed(Duration),
    /// The endpoint refused what its daemon had let in.
    Rejected,
    /// The endpoint's daemon was full.
    Full,
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

#[derive(Debug)]
struct Endpoint {
    record: EndpointRecord,
    cold_until: Timestamp,
    outstanding: u32,
    report: Option<(Timestamp, LoadReport)>,
    /// Mean of answer times relative to those of all endpoints on the same route.
    slowness: f64,
    /// Share of failures among this daemon's requests.
    failed_here: FailureShare,
    /// The same among all requests, as the endpoint's daemon reported it.
    failed_reported: FailureShare,
    failures: u32,
    lost_in_a_row: u32,
    ejected_until: Timestamp,
}

impl Endpoint {
    fn utilization(&self, now: Timestamp) -> f64 {
        let own = f64::from(self.outstanding);
        let slots = f64::from(self.record.slots.max(1));
        match self.report {
            Some((at, report)) if now.since(at) <= REPORT_LIFETIME => {
                let limit = f64::from(report.limit.max(1));
                (f64::from(report.busy) / limit).max(own / slots)
            }
            _ => own / slots,
        }
    }

    fn failed(&self, now: Timestamp) -> f64 {
        let reported = self.failed_reported.at(now);
        self.failed_here.at(now).max(reported)
    }

    /// Cost of a request here; `usual_failures` is the share that costs nothing.
    fn cost(&self, now: Timestamp, zone: &ZoneName, usual_failures: f64) -> f64 {
        let is_cold = now < self.cold_until;
        let slowness = self.slowness * if is_cold { COLD_FACTOR } else { 1.0 };
        let distance = if self.record.zone == *zone {
            0.0
        } else {
            OTHER_ZONE_COST
        };
        let failures = (self.failed(now) - usual_failures).max(0.0);
        (self.utilization(now) + IDLE_COST) * slowness + distance + failures * FAILURE_COST
    }
}

/// Endpoints of all services and what was seen of them.
#[derive(Debug)]
pub struct Directory {
    zone: ZoneName,
    endpoints: HashMap<EndpointId, Endpoint>,
    by_service: HashMap<ServiceName, Vec<EndpointId>>,
    /// Mean answer time in seconds, by route.
    route_means: BTreeMap<String, f64>,
}

impl Directory {
    /// An empty directory of a daemon in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            endpoints: HashMap::new(),
            by_service: HashMap::new(),
            route_means: BTreeMap::new(),
        }
    }

    /// Takes over a change of an endpoint.
    pub fn apply(&mut self, now: Timestamp, news: &EndpointNews) {
        let record = news.record.clone();
        if record.state != EndpointState::Ready {
            self.remove(&record.endpoint);
            return;
        }
        if let Some(known) = self.endpoints.get_mut(&record.endpoint) {
            known.record = record;
            return;
        }
        let service = self.by_service.entry(record.service.clone()).or_default();
        service.push(record.endpoint.clone());
        let endpoint = Endpoint {
            cold_until: now + Duration::from(record.cold_for),
            outstanding: 0,
            report: None,
            slowness: 1.0,
            failed_here: FailureShare::default(),
            failed_reported: FailureShare::default(),
            failures: 0,
            lost_in_a_row: 0,
            ejected_until: Timestamp::ZERO,
            record,
        };
        self.endpoints
            .insert(endpoint.record.endpoint.clone(), endpoint);
    }

    fn remove(&mut self, endpoint: &EndpointId) {
        let Some(gone) = self.endpoints.remove(endpoint) else {
            return;
        };
        if let Some(service) = self.by_service.get_mut(&gone.record.service) {
            service.retain(|other| other != endpoint);
        }
    }

    /// How many endpoints of a service take work.
    pub fn endpoints_of(&self, service: &ServiceName) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// The best endpoint of a service, but for those tried already. Endpoints that could not be
    /// reached lately are chosen only when there is no other.
    pub fn choose(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        tried: &[EndpointId],
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let all = self.by_service.get(service)?;
        let usual_failures = self.mean_failed(now, all) + USUAL_FAILURES;
        let candidates = all.iter();
        let untried = candidates.filter(|endpoint| !tried.contains(endpoint));
        let ranked = untried.map(|id| {
            let endpoint = &self.endpoints[id];
            let is_ejected = now < endpoint.ejected_until;
            let cost =
                endpoint.cost(now, &self.zone, usual_failures) + random.random_range(0.0..JITTER);
            (is_ejected, cost, id)
        });
        let best = ranked.min_by(|one, other| {
            let by_cost = one.1.total_cmp(&other.1);
            one.0.cmp(&other.0).then(by_cost)
        });
        let id = best?.2.clone();
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.outstanding += 1;
        Some(Choice {
            endpoint: id,
            daemon: endpoint.record.daemon.clone(),
            address: endpoint.record.address,
        })
    }

    /// Mean share of failures of a service's endpoints; zero where none is known.
    pub fn failed_share(&self, now: Timestamp, service: &ServiceName) -> f64 {
        let endpoints = self.by_service.get(service);
        endpoints.map_or(0.0, |endpoints| self.mean_failed(now, endpoints))
    }

    fn mean_failed(&self, now: Timestamp, endpoints: &[EndpointId]) -> f64 {
        let total: f64 = endpoints
            .iter()
            .map(|id| self.endpoints[id].failed(now))
            .sum();
        #[expect(
            clippy::cast_precision_loss,
            reason = "a service has far fewer endpoints"
        )]
        let count = endpoints.len().max(1) as f64;
        total / count
    }

    /// Notes how a send that [`choose`](Self::choose) began has ended.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        route: &str,
        end: SendEnd,
        load: Option<LoadReport>,
    ) {
        let relative = match end {
            SendEnd::Answered(time) => Some(self.relative_time(route, time)),
            SendEnd::GivenUp(time) | SendEnd::Failed(time) => self.least_relative_time(route, time),
            _ => None,
        };
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        known.outstanding = known.outstanding.saturating_sub(1);
        if let Some(load) = load {
            known.report = Some((now, load));
            let reported = f64::from(load.failed_percent) / 100.0;
            known.failed_reported = FailureShare::measured(now, reported);
        }
        known.note_outcome(now, end);
        match end {
            SendEnd::Answered(_) => {
                known.failures = 0;
                known.lost_in_a_row = 0;
                let relative = relative.unwrap_or(1.0);
                known.slowness += SMOOTHING * (relative - known.slowness);
            }
            SendEnd::Unreachable => known.eject(now),
            SendEnd::Lost => {
                known.lost_in_a_row += 1;
                if known.lost_in_a_row >= LOST_IN_A_ROW {
                    known.eject(now);
                }
            }
            SendEnd::Leaving => known.ejected_until = now + REFUSAL_PAUSE,
            SendEnd::GivenUp(_) | SendEnd::Failed(_) => {
                let relative = relative.unwrap_or(known.slowness);
                known.slowness += SMOOTHING * (relative - known.slowness);
            }
            SendEnd::Full | SendEnd::Rejected => {}
        }
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

impl Endpoint {
    /// Counts an outcome that shows whether the endpoint does its work.
    fn note_outcome(&mut self, now: Timestamp, end: SendEnd) {
        let has_failed = match end {
            SendEnd::Answered(_) => false,
            SendEnd::Failed(_) | SendEnd::Rejected | SendEnd::Lost => true,
            SendEnd::Full | SendEnd::Leaving | SendEnd::Unreachable | SendEnd::GivenUp(_) => return,
        };
        self.failed_here.record(now, has_failed, FAILURE_SMOOTHING);
    }

    fn eject(&mut self, now: Timestamp) {
        let doublings = self.failures.min(4);
        let pause = (FIRST_EJECTION * 2_u32.pow(doublings)).min(LONGEST_EJECTION);
        self.failures += 1;
        self.ejected_until = now + pause;
    }
}
