//! What this daemon knows of one endpoint from its own observation.

use crate::event::{AdmissionLevel, DirectoryEndpoint, Feedback};
use bramblewheel_types::{EndpointId, ServiceName, Timestamp, ZoneName};
use std::net::SocketAddr;
use std::time::Duration;

/// Weight of a new latency sample in the moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Smallest latency that counts, in microseconds; also that of an endpoint not measured yet, so
/// that it is measured soon. Differences below it say nothing about load.
const MIN_LATENCY: f64 = 100.0;
/// Time in which a latency that is not measured again counts half: an endpoint that was slow
/// once would otherwise never be tried again.
const LATENCY_HALF_LIFE: f64 = 1.0;
/// An admission level older than this is not acted on.
const LEVEL_LIFETIME: Duration = Duration::from_millis(1_500);
/// How often a call goes to an endpoint although its level would shed it, to learn the level.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// How long an endpoint's own word that it is leaving outweighs the directory.
const DRAINING_LIFETIME: Duration = Duration::from_secs(5);
/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Shortest time without any answer, while answers are awaited, from which an endpoint counts as
/// silent.
const MIN_SILENCE: Duration = Duration::from_millis(100);
/// The same as a multiple of the observed latency.
const SILENCE_FACTOR: f64 = 4.0;
/// First ejection time; doubled with each ejection that follows without a success.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Most doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Share of the traffic that slow start begins with.
const SLOW_START_FLOOR: f64 = 0.1;

/// One endpoint as this daemon sees it.
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
    /// By the number of the route called; the level of a route holds for what it calls as well.
    levels: Vec<Option<(AdmissionLevel, Timestamp)>>,
    last_probe: Option<Timestamp>,
    warm_since: Timestamp,
    failures: u32,
    ejections: u32,
    ejected_until: Timestamp,
    /// Since when answers are awaited and none has come.
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

    /// Counts an attempt that is sent.
    pub(crate) fn record_sent(&mut self, now: Timestamp) {
        self.outstanding += 1;
        self.unanswered_since.get_or_insert(now);
    }

    /// Counts an attempt that is over, answered or not.
    pub(crate) fn record_over(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if self.outstanding == 0 {
            self.unanswered_since = None;
        }
    }

    /// Whether nothing has come back for suspiciously long: a cut-off endpoint refuses nothing,
    /// and each call sent there would keep its caller's slot until its deadline.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        let by_latency = Duration::from_micros((self.latency(now) * SILENCE_FACTOR) as u64);
        let longest = by_latency.max(MIN_SILENCE);
        self.unanswered_since
            .is_some_and(|since| now.since(since) > longest)
    }

    /// Takes over what the directory says; own observation stays.
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

    /// Level of a route; admits everything when none was told lately.
    pub(crate) fn level(&self, now: Timestamp, route: usize) -> AdmissionLevel {
        let told = self.levels.get(route).copied().flatten();
        told.filter(|(_, at)| now.since(*at) < LEVEL_LIFETIME)
            .map(|(level, _)| level)
            .unwrap_or_default()
    }

    /// Whether a request at `position` may be sent, or would be shed on arrival.
    pub(crate) fn admits(&self, now: Timestamp, route: usize, position: AdmissionLevel) -> bool {
        position >= self.level(now, route)
    }

    fn record_level(&mut self, now: Timestamp, route: usize, level: AdmissionLevel) {
        if self.levels.len() <= route {
            self.levels.resize(route + 1, None);
        }
        self.levels[route] = Some((level, now));
    }

    /// Whether a call may be sent against the level, to learn whether it has fallen.
    pub(crate) fn may_probe(&self, now: Timestamp) -> bool {
        self.last_probe
            .is_none_or(|at| now.since(at) >= PROBE_INTERVAL)
    }

    pub(crate) fn record_probe(&mut self, now: Timestamp) {
        self.last_probe = Some(now);
    }

    /// Cost of sending one more request here; the smaller is chosen. Own observation first: the
    /// reported load only scales it.
    pub(crate) fn cost(&self, now: Timestamp, slow_start: Duration) -> f64 {
        let queue = f64::from(self.outstanding + 1);
        let load = 1.0 + f64::from(self.load_percent.min(1_000)) / 100.0;
        queue * self.latency(now) * load / self.slow_start_share(now, slow_start)
    }

    /// Observed latency in microseconds, fading with its age.
    fn latency(&self, now: Timestamp) -> f64 {
        let half_lives = now.since(self.measured_at).as_secs_f64() / LATENCY_HALF_LIFE;
        let faded = self.latency_micros * (-half_lives).exp2();
        faded.max(MIN_LATENCY)
    }

    /// Share of its full traffic that a cold endpoint gets, rising with time.
    fn slow_start_share(&self, now: Timestamp, slow_start: Duration) -> f64 {
        if slow_start.is_zero() {
            return 1.0;
        }
        let warm_for = now.since(self.warm_since).as_secs_f64();
        (warm_for / slow_start.as_secs_f64()).clamp(SLOW_START_FLOOR, 1.0)
    }

    /// Counts the time that an attempt has taken.
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

    /// Counts a failure; returns whether the endpoint should be ejected.
    pub(crate) fn record_failure(&mut self, now: Timestamp) -> bool {
        self.failures += 1;
        let is_bad = self.failures >= FAILURES_TO_EJECT || self.is_silent(now);
        is_bad && !self.is_ejected(now)
    }

    /// Ejects the endpoint; it comes back with slow start.
    pub(crate) fn eject(&mut self, now: Timestamp) -> Timestamp {
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + BASE_EJECTION * 2_u32.pow(doublings);
        self.ejections += 1;
        self.warm_since = self.ejected_until;
        self.failures = 0;
        self.ejected_until
    }
}

/// An endpoint and where it is.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) endpoint: EndpointId,
    pub(crate) address: SocketAddr,
}
