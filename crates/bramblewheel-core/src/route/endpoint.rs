//! State of one endpoint as observed by this daemon.

use crate::event::{AdmissionLevel, DirectoryEndpoint, Feedback};
use bramblewheel_types::{EndpointId, ServiceName, Timestamp, ZoneName};
use std::net::SocketAddr;
use std::time::Duration;

/// Weight of a new latency sample in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Lower bound of the latency, in microseconds; smaller differences say nothing about load. An
/// endpoint without measurements is assumed to have this latency, so that it is measured soon.
const MIN_LATENCY: f64 = 100.0;
/// Half-life of a latency without new measurements, in seconds. Without decay, an endpoint that was
/// slow once would never be tried again.
const LATENCY_HALF_LIFE: f64 = 1.0;
/// Age at which a reported admission level is ignored.
const LEVEL_LIFETIME: Duration = Duration::from_millis(1_500);
/// Interval at which a call is sent to an endpoint despite its level, to refresh the level.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long an endpoint's report that it is draining overrides the directory.
const DRAINING_LIFETIME: Duration = Duration::from_secs(5);
/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Minimum time with unanswered attempts and no answer after which an endpoint counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(100);
/// The same time as a multiple of the observed latency.
const SILENCE_FACTOR: f64 = 4.0;
/// First ejection time; doubled with each further ejection without an answer in between.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Initial share of traffic during slow start.
const SLOW_START_FLOOR: f64 = 0.1;

/// Observed state of one endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) service: ServiceName,
    pub(crate) zone: ZoneName,
    pub(crate) address: SocketAddr,
    is_draining: bool,
    draining_until: Timestamp,
    pub(crate) outstanding: u32,
    latency_micros: f64,
    measured_at: Timestamp,
    pub(crate) load_percent: u32,
    /// Levels by number of the called route; each also covers the services that the route calls.
    levels: Vec<Option<(AdmissionLevel, Timestamp)>>,
    last_probe: Option<Timestamp>,
    warm_since: Timestamp,
    failures: u32,
    ejections: u32,
    ejected_until: Timestamp,
    /// Since when attempts are outstanding without any answer.
    unanswered_since: Option<Timestamp>,
}

impl Endpoint {
    pub(crate) fn new(now: Timestamp, entry: &DirectoryEndpoint) -> Self {
        Self {
            service: entry.service.clone(),
            zone: entry.zone.clone(),
            address: entry.address,
            is_draining: entry.draining,
            draining_until: Timestamp::ZERO,
            outstanding: 0,
            latency_micros: 0.0,
            measured_at: now,
            load_percent: 0,
            levels: Vec::new(),
            last_probe: None,
            warm_since: now,
            failures: 0,
            ejections: 0,
            ejected_until: Timestamp::ZERO,
            unanswered_since: None,
        }
    }

    /// Counts a sent attempt.
    pub(crate) fn record_sent(&mut self, now: Timestamp) {
        self.outstanding += 1;
        self.unanswered_since.get_or_insert(now);
    }

    /// Counts the end of an attempt, answered or not.
    pub(crate) fn record_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if self.outstanding == 0 {
            self.unanswered_since = None;
        }
    }

    /// Whether the endpoint has sent no answer for suspiciously long. An endpoint that is cut off
    /// refuses nothing, and each call sent to it would hold its caller's slot until the deadline.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        let by_latency = Duration::from_micros((self.latency(now) * SILENCE_FACTOR) as u64);
        let longest = by_latency.max(MIN_SILENCE);
        self.unanswered_since
            .is_some_and(|since| now.since(since) > longest)
    }

    /// Applies a directory entry and keeps this daemon's own observations.
    pub(crate) fn update(&mut self, now: Timestamp, entry: &DirectoryEndpoint) {
        if self.address != entry.address || (self.is_draining && !entry.draining) {
            self.warm_since = now;
            self.draining_until = Timestamp::ZERO;
            self.failures = 0;
            self.ejected_until = Timestamp::ZERO;
        }
        self.address = entry.address;
        self.is_draining = entry.draining;
    }

    pub(crate) fn takes_new_work(&self, now: Timestamp) -> bool {
        !self.is_draining && now >= self.draining_until
    }

    pub(crate) fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Level of a route; admits everything if none was reported recently.
    pub(crate) fn level(&self, now: Timestamp, route: usize) -> AdmissionLevel {
        let reported = self.levels.get(route).copied().flatten();
        reported
            .filter(|(_, at)| now.since(*at) < LEVEL_LIFETIME)
            .map(|(level, _)| level)
            .unwrap_or_default()
    }

    /// Whether a request at `position` would be admitted rather than shed on arrival.
    pub(crate) fn admits(&self, now: Timestamp, route: usize, position: AdmissionLevel) -> bool {
        position >= self.level(now, route)
    }

    fn record_level(&mut self, now: Timestamp, route: usize, level: AdmissionLevel) {
        if self.levels.len() <= route {
            self.levels.resize(route + 1, None);
        }
        self.levels[route] = Some((level, now));
    }

    /// Whether a call may be sent despite the level, to find out whether the level has fallen.
    pub(crate) fn may_probe(&self, now: Timestamp) -> bool {
        self.last_probe
            .is_none_or(|at| now.since(at) >= PROBE_INTERVAL)
    }

    pub(crate) fn record_probe(&mut self, now: Timestamp) {
        self.last_probe = Some(now);
    }

    /// Cost of sending one more request to this endpoint; lower is better. It is based on this
    /// daemon's own observation; the reported load only scales it.
    pub(crate) fn cost(&self, now: Timestamp, slow_start: Duration) -> f64 {
        let queue = f64::from(self.outstanding + 1);
        let load = 1.0 + f64::from(self.load_percent.min(1_000)) / 100.0;
        queue * self.latency(now) * load / self.slow_start_share(now, slow_start)
    }

    /// Observed latency in microseconds, decaying with its age.
    fn latency(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.measured_at).as_secs_f64() / LATENCY_HALF_LIFE;
        let faded = self.latency_micros * (-half_lives).exp2();
        faded.max(MIN_LATENCY)
    }

    /// Share of its full traffic that the endpoint gets during slow start, rising with time.
    fn slow_start_share(&self, now: Timestamp, slow_start: Duration) -> f64 {
        if slow_start.is_zero() {
            return 1.0;
        }
        let warm_for = now.since(self.warm_since).as_secs_f64();
        (warm_for / slow_start.as_secs_f64()).clamp(SLOW_START_FLOOR, 1.0)
    }

    /// Adds the duration of an attempt to the average.
    pub(crate) fn record_latency(&mut self, now: Timestamp, sent: Timestamp) {
        let sample = now.since(sent).as_micros() as f64;
        let before = self.latency(now);
        self.latency_micros = before + LATENCY_WEIGHT * (sample - before);
        self.measured_at = now;
    }

    pub(crate) fn record_answer(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        route: usize,
        feedback: &Feedback,
    ) {
        self.record_latency(now, sent);
        self.load_percent = feedback.load_percent;
        self.record_level(now, route, feedback.admission_level);
        self.failures = 0;
        self.ejections = 0;
        self.unanswered_since = (self.outstanding > 0).then_some(now);
        if feedback.draining {
            self.draining_until = now + DRAINING_LIFETIME;
        }
    }

    /// Records a failure; returns whether the endpoint should be ejected.
    pub(crate) fn record_failure(&mut self, now: Timestamp) -> bool {
        self.failures += 1;
        let is_bad = self.failures >= FAILURES_TO_EJECT || self.is_silent(now);
        is_bad && !self.is_ejected(now)
    }

    /// Ejects the endpoint and returns the end of the ejection; it then resumes with slow start.
    pub(crate) fn eject(&mut self, now: Timestamp) -> Timestamp {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + BASE_EJECTION * 2_u32.pow(doublings);
        self.ejections += 1;
        self.warm_since = self.ejected_until;
        self.failures = 0;
        self.ejected_until
    }
}

/// An endpoint and its address.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
}
