//! Detects other daemons that no longer answer.
//!
//! A machine that is frozen or cut off may still accept bytes but doesn't answer. A request sent there is lost for
//! its caller, and one that may run only once can't be rerouted. Therefore a daemon that has not answered recently is
//! probed first, at the cost of one round trip, and probed again while a request waits for it. Concurrent requests
//! for a daemon share one probe.
//!
//! Time-outs are measured in the [running time](Lateness::running_time) of this process, so that a process that was
//! suspended reads what has arrived before it judges another daemon.
//!
//! Keeps the times of the last answer and the last failed probe of each other daemon, in memory only. Silent daemons
//! appear in the log line `daemon fell silent` and as results `unreachable` and `silent` of the metric
//! `bramblewheel_attempts_total`.

use crate::http::exchange::{self, NoAnswer, Outgoing, OutgoingBody};
use crate::http::pool::Pool;
use bramblewheel_process::clock::Clock;
use bramblewheel_process::invariants::lock;
use bramblewheel_process::lateness::Lateness;
use bramblewheel_types::Timestamp;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Path of liveness probes.
pub const PROBE_PATH: &str = "/ping";
/// Age of the last answer up to which a request that may run only once is sent to a daemon without a probe.
const MAX_ANSWER_AGE_ONCE: Duration = Duration::from_millis(300);
/// The same for a request that can be retried elsewhere if the daemon turns out to be silent.
const MAX_ANSWER_AGE_REPEATABLE: Duration = Duration::from_millis(1_500);
/// Time-out of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Shortest and longest silence during which a waiting request assumes that the daemon is still working on it.
const MAX_SILENCE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(600));
/// Divisor of a request's latency objective that gives this silence.
const MAX_SILENCE_DIVISOR: u32 = 4;
/// Maximum number of daemons whose answer times are kept, to bound memory.
const MAX_DAEMONS: usize = 4_096;

/// Times of the last answers of other daemons.
#[derive(Debug, Default)]
pub struct Liveness {
    daemons: Mutex<HashMap<SocketAddr, Arc<OtherDaemon>>>,
    lateness: Arc<Lateness>,
}

/// Why a probe counts as failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// No connection could be opened for it.
    NotConnected,
    /// Its connection was closed without an answer.
    Closed,
    /// No answer came in time.
    Unanswered,
}

impl ProbeFailure {
    /// Value of `probe` in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConnected => "not-connected",
            Self::Closed => "closed",
            Self::Unanswered => "unanswered",
        }
    }
}

/// A probe that got no answer.
#[derive(Clone, Copy, Debug)]
pub struct FailedProbe {
    /// When it was begun.
    pub begun_at: Timestamp,
    /// When it was given up.
    pub failed_at: Timestamp,
    /// Whether an idle connection was available for it.
    pub is_on_idle_connection: bool,
    /// Why it counts as failed.
    pub failure: ProbeFailure,
}

/// Why a daemon counts as silent.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Age of its last answer; none if it has not answered yet.
    pub answer_age: Option<Duration>,
    /// The last probe that it did not answer.
    pub probe: Option<FailedProbe>,
    /// How late this process was since the last answer, or since the request was sent if that is later.
    pub own_lateness: Duration,
}

/// Liveness of one other daemon.
#[derive(Debug, Default)]
struct OtherDaemon {
    times: Mutex<AnswerTimes>,
    /// Held while a probe is in progress, so that there is only one at a time.
    probing: tokio::sync::Mutex<()>,
}

/// Time at which something happened.
#[derive(Clone, Copy, Debug)]
struct Moment {
    at: Timestamp,
    /// Running time of this process until then.
    running: Timestamp,
}

#[derive(Clone, Copy, Debug, Default)]
struct AnswerTimes {
    last_answer: Option<Moment>,
    last_failed_probe: Option<FailedProbe>,
}

impl OtherDaemon {
    fn times(&self) -> MutexGuard<'_, AnswerTimes> {
        lock(&self.times)
    }

    fn has_answered_within(&self, now: Timestamp, max_age: Duration) -> bool {
        let last_answer = self.times().last_answer;
        last_answer.is_some_and(|last_answer| now.since(last_answer.at) <= max_age)
    }

    /// Whether a probe that was in progress at `started_at`, or started later, got no answer.
    fn has_failed_probe_since(&self, started_at: Timestamp) -> bool {
        let last_failed_probe = self.times().last_failed_probe;
        last_failed_probe.is_some_and(|probe| probe.failed_at >= started_at)
    }
}

/// Silence of a daemon after which a request with this latency objective probes it.
pub fn max_silence(objective: Duration) -> Duration {
    let (least, longest) = MAX_SILENCE_BOUNDS;
    (objective / MAX_SILENCE_DIVISOR).clamp(least, longest)
}

impl Liveness {
    /// Creates a record without answers; `lateness` is that of this process.
    pub fn new(lateness: Arc<Lateness>) -> Self {
        Self {
            daemons: Mutex::default(),
            lateness,
        }
    }

    fn moment(&self, at: Timestamp) -> Moment {
        Moment {
            at,
            running: self.lateness.running_time(at),
        }
    }

    fn daemon(&self, daemon: SocketAddr) -> Arc<OtherDaemon> {
        let mut daemons = lock(&self.daemons);
        if daemons.len() >= MAX_DAEMONS && !daemons.contains_key(&daemon) {
            daemons.clear();
        }
        Arc::clone(daemons.entry(daemon).or_default())
    }

    /// Records an answer of a daemon.
    pub fn record_answer(&self, daemon: SocketAddr, now: Timestamp) {
        self.daemon(daemon).times().last_answer = Some(self.moment(now));
    }

    /// Whether a daemon has answered recently or answers a probe now, so that a request may be sent to it. A
    /// repeatable request that needs a new connection is not preceded by a probe, since opening the connection serves
    /// as one.
    pub async fn is_responsive(
        &self,
        clock: Clock,
        daemon: SocketAddr,
        pool: &Arc<Pool>,
        is_repeatable: bool,
    ) -> bool {
        let max_answer_age = if is_repeatable {
            MAX_ANSWER_AGE_REPEATABLE
        } else {
            MAX_ANSWER_AGE_ONCE
        };
        if is_repeatable && !pool.has_idle() {
            return true;
        }
        self.is_responsive_within(clock, daemon, pool, max_answer_age)
            .await
    }

    async fn is_responsive_within(
        &self,
        clock: Clock,
        daemon: SocketAddr,
        pool: &Arc<Pool>,
        max_answer_age: Duration,
    ) -> bool {
        let other = self.daemon(daemon);
        let started_at = clock.now();
        if other.has_answered_within(started_at, max_answer_age) {
            return true;
        }
        let _probing = other.probing.lock().await;
        if other.has_answered_within(clock.now(), max_answer_age) {
            return true;
        }
        if other.has_failed_probe_since(started_at) {
            return false;
        }
        let probed = self.probe(clock, pool).await;
        let now = clock.now();
        let mut times = other.times();
        match probed {
            Ok(()) => times.last_answer = Some(self.moment(now)),
            Err(failed) => times.last_failed_probe = Some(failed),
        }
        probed.is_ok()
    }

    /// Returns once a daemon has been silent for `max_silence` and then fails a probe.
    pub async fn until_silent(
        &self,
        clock: Clock,
        daemon: SocketAddr,
        pool: &Arc<Pool>,
        max_silence: Duration,
    ) -> Silence {
        let other = self.daemon(daemon);
        let started = self.moment(clock.now());
        loop {
            let running = self.lateness.running_time(clock.now());
            let last_answer = other.times().last_answer;
            let since = last_answer.map_or(started.running, |answer| {
                answer.running.max(started.running)
            });
            let left = max_silence.saturating_sub(running.since(since));
            if left > Duration::ZERO {
                tokio::time::sleep(left).await;
                continue;
            }
            if !self
                .is_responsive_within(clock, daemon, pool, max_silence)
                .await
            {
                return self.silence(&other, started, clock.now());
            }
        }
    }

    fn silence(&self, other: &OtherDaemon, started: Moment, now: Timestamp) -> Silence {
        let times = *other.times();
        let answered = times.last_answer;
        let since = answered
            .filter(|answer| answer.at > started.at)
            .unwrap_or(started);
        let running = self.lateness.running_time(now).since(since.running);
        Silence {
            answer_age: answered.map(|answer| now.since(answer.at)),
            probe: times.last_failed_probe,
            own_lateness: now.since(since.at).saturating_sub(running),
        }
    }

    /// Sends a probe and waits for its answer.
    ///
    /// # Errors
    /// [`FailedProbe`] if there is no answer in time.
    async fn probe(&self, clock: Clock, pool: &Arc<Pool>) -> Result<(), FailedProbe> {
        let begun_at = clock.now();
        let is_on_idle_connection = pool.has_idle();
        let exchange = self
            .lateness
            .timeout(clock, PROBE_TIMEOUT, exchange_probe(pool));
        let failure = match exchange.await {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(failure)) => failure,
            Err(_) => ProbeFailure::Unanswered,
        };
        Err(FailedProbe {
            begun_at,
            failed_at: clock.now(),
            is_on_idle_connection,
            failure,
        })
    }
}

/// Sends a probe and reads its answer.
async fn exchange_probe(pool: &Arc<Pool>) -> Result<(), ProbeFailure> {
    let mut ping = Outgoing {
        method: Method::GET,
        target: Uri::from_static(PROBE_PATH),
        headers: HeaderMap::new(),
        body: OutgoingBody::Whole(Bytes::new()),
    };
    let sent = exchange::send(pool, &mut ping, None, |_| Ok::<(), Infallible>(())).await;
    let received = sent.map_err(|error| match error {
        NoAnswer::NotSent => ProbeFailure::NotConnected,
        NoAnswer::Lost => ProbeFailure::Closed,
    })?;
    let read = received.read(None).await;
    read.map(|_| ()).map_err(|_| ProbeFailure::Closed)
}
