//! Detects other daemons that no longer answer.
//!
//! A machine that is frozen or cut off may still accept bytes but doesn't answer. A request sent there is lost for
//! its caller, and one that may run only once can't be rerouted. Therefore a daemon that has not answered recently is
//! probed first, at the cost of one round trip, and probed again while a request waits for it. Concurrent requests
//! for a daemon share one probe.
//!
//! Keeps the times of the last answer and the last failed probe of each other daemon, in memory only. Silent daemons
//! appear in the log line `daemon fell silent` and as results `unreachable` and `silent` of the metric
//! `bramblewheel_attempts_total`.

use crate::http::exchange::{self, Outgoing, OutgoingBody};
use crate::http::pool::Pool;
use bramblewheel_process::clock::Clock;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::Timestamp;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use std::collections::HashMap;
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
}

/// Liveness of one other daemon.
#[derive(Debug, Default)]
struct OtherDaemon {
    times: Mutex<AnswerTimes>,
    /// Held while a probe is in progress, so that there is only one at a time.
    probing: tokio::sync::Mutex<()>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AnswerTimes {
    last_answer: Option<Timestamp>,
    /// End of the last probe without an answer.
    last_failed_probe: Option<Timestamp>,
}

impl OtherDaemon {
    fn times(&self) -> MutexGuard<'_, AnswerTimes> {
        lock(&self.times)
    }

    fn has_answered_within(&self, now: Timestamp, max_age: Duration) -> bool {
        let last_answer = self.times().last_answer;
        last_answer.is_some_and(|last_answer| now.since(last_answer) <= max_age)
    }

    /// Whether a probe that was in progress at `started_at`, or started later, got no answer.
    fn has_failed_probe_since(&self, started_at: Timestamp) -> bool {
        let last_failed_probe = self.times().last_failed_probe;
        last_failed_probe.is_some_and(|failed_at| failed_at >= started_at)
    }
}

/// Silence of a daemon after which a request with this latency objective probes it.
pub fn max_silence(objective: Duration) -> Duration {
    let (least, longest) = MAX_SILENCE_BOUNDS;
    (objective / MAX_SILENCE_DIVISOR).clamp(least, longest)
}

impl Liveness {
    fn daemon(&self, daemon: SocketAddr) -> Arc<OtherDaemon> {
        let mut daemons = lock(&self.daemons);
        if daemons.len() >= MAX_DAEMONS && !daemons.contains_key(&daemon) {
            daemons.clear();
        }
        Arc::clone(daemons.entry(daemon).or_default())
    }

    /// Records an answer of a daemon.
    pub fn record_answer(&self, daemon: SocketAddr, now: Timestamp) {
        self.daemon(daemon).times().last_answer = Some(now);
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
        let has_answered = probe(pool).await;
        let now = clock.now();
        let mut times = other.times();
        if has_answered {
            times.last_answer = Some(now);
        } else {
            times.last_failed_probe = Some(now);
        }
        has_answered
    }

    /// Returns once a daemon has been silent for `max_silence` and then fails a probe.
    pub async fn until_silent(
        &self,
        clock: Clock,
        daemon: SocketAddr,
        pool: &Arc<Pool>,
        max_silence: Duration,
    ) {
        let other = self.daemon(daemon);
        let started_at = clock.now();
        loop {
            let now = clock.now();
            let since = other
                .times()
                .last_answer
                .unwrap_or(started_at)
                .max(started_at);
            let left = max_silence.saturating_sub(now.since(since));
            if left > Duration::ZERO {
                tokio::time::sleep(left).await;
                continue;
            }
            if !self
                .is_responsive_within(clock, daemon, pool, max_silence)
                .await
            {
                return;
            }
        }
    }
}

/// Sends a probe; returns whether the daemon answered in time.
async fn probe(pool: &Arc<Pool>) -> bool {
    let mut ping = Outgoing {
        method: Method::GET,
        target: Uri::from_static(PROBE_PATH),
        headers: HeaderMap::new(),
        body: OutgoingBody::Whole(Bytes::new()),
    };
    let answering = async {
        let received = exchange::send(pool, &mut ping, |_| ()).await.ok()?;
        received.read(None).await.ok()
    };
    let answer = tokio::time::timeout(PROBE_TIMEOUT, answering).await;
    matches!(answer, Ok(Some(_)))
}
