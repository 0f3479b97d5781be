//! Whether other daemons still answer.
//!
//! A machine that is frozen or cut off takes bytes, or seems to, and answers nothing. A request that was
//! sent there is lost for its caller, and one that may run only once can't be rerouted. So a
//! daemon that has not answered for a moment is probed first, which costs one round trip, and probed
//! again while a request waits for it. One probe at a time serves all requests for a daemon.
//!
//! Owns the times of the last answer and the last failed probe of each other daemon, in memory only. Shown by the log
//! line `daemon fell silent` and the results `unreachable` and `silent` of the metric `bramblewheel_attempts_total`.

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

/// Path of the probe whether a daemon answers.
pub const PROBE_PATH: &str = "/ping";
/// Age of the last answer up to which a daemon is trusted with a request that may run only once. Chosen, not
/// measured.
const TRUSTED_ONCE: Duration = Duration::from_millis(300);
/// The same for a request that can be attempted elsewhere when the daemon turns out to be silent. Chosen, not measured.
const TRUSTED_REPEATABLE: Duration = Duration::from_millis(1_500);
/// Time in which a daemon must answer a probe. Chosen, not measured.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Least and longest time for which a waiting request takes a daemon's silence for work. Chosen, not
/// measured.
const PATIENCE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(600));
/// Part of a request's objective, as a divisor, for which it does so. Chosen, not measured.
const PATIENCE_PART: u32 = 4;
/// Daemons whose answers are remembered, so that memory is bounded. Chosen, not measured.
const MAX_DAEMONS: usize = 4_096;

/// When other daemons answered last.
#[derive(Debug, Default)]
pub struct Liveness {
    daemons: Mutex<HashMap<SocketAddr, Arc<OtherDaemon>>>,
}

/// One other daemon.
#[derive(Debug, Default)]
struct OtherDaemon {
    times: Mutex<AnswerTimes>,
    /// Held by the request that probes.
    probing: tokio::sync::Mutex<()>,
}

#[derive(Clone, Copy, Debug, Default)]
struct AnswerTimes {
    answered: Option<Timestamp>,
    /// End of the last probe without an answer.
    unanswered: Option<Timestamp>,
}

impl OtherDaemon {
    fn times(&self) -> MutexGuard<'_, AnswerTimes> {
        lock(&self.times)
    }

    fn is_trusted(&self, now: Timestamp, trusted: Duration) -> bool {
        let answered = self.times().answered;
        answered.is_some_and(|answered| now.since(answered) <= trusted)
    }

    /// Whether a probe that was open at `begun` or began since then got no answer.
    fn was_silent_since(&self, begun: Timestamp) -> bool {
        let unanswered = self.times().unanswered;
        unanswered.is_some_and(|unanswered| unanswered >= begun)
    }
}

/// How long a request with this objective waits for a silent daemon before it probes it.
pub fn patience(objective: Duration) -> Duration {
    let (least, longest) = PATIENCE_BOUNDS;
    (objective / PATIENCE_PART).clamp(least, longest)
}

impl Liveness {
    fn daemon(&self, daemon: SocketAddr) -> Arc<OtherDaemon> {
        let mut daemons = lock(&self.daemons);
        if daemons.len() >= MAX_DAEMONS && !daemons.contains_key(&daemon) {
            daemons.clear();
        }
        Arc::clone(daemons.entry(daemon).or_default())
    }

    /// Notes an answer of a daemon.
    pub fn note_answer(&self, daemon: SocketAddr, now: Timestamp) {
        self.daemon(daemon).times().answered = Some(now);
    }

    /// Whether a daemon may be sent a request: it answered a moment ago, or does so now. A request
    /// that may run more than once and would open a connection needs no probe: opening it is one.
    pub async fn answers(
        &self,
        clock: Clock,
        daemon: SocketAddr,
        pool: &Arc<Pool>,
        is_repeatable: bool,
    ) -> bool {
        let trusted = if is_repeatable {
            TRUSTED_REPEATABLE
        } else {
            TRUSTED_ONCE
        };
        if is_repeatable && !pool.has_idle() {
            return true;
        }
        self.answers_within(clock, daemon, pool, trusted).await
    }

    async fn answers_within(
        &self,
        clock: Clock,
        daemon: SocketAddr,
        pool: &Arc<Pool>,
        trusted: Duration,
    ) -> bool {
        let other = self.daemon(daemon);
        let begun = clock.now();
        if other.is_trusted(begun, trusted) {
            return true;
        }
        let _probing = other.probing.lock().await;
        if other.is_trusted(clock.now(), trusted) {
            return true;
        }
        if other.was_silent_since(begun) {
            return false;
        }
        let answers = probe(pool).await;
        let now = clock.now();
        let mut times = other.times();
        if answers {
            times.answered = Some(now);
        } else {
            times.unanswered = Some(now);
        }
        answers
    }

    /// Ends when a daemon does not answer any more.
    pub async fn until_silent(
        &self,
        clock: Clock,
        daemon: SocketAddr,
        pool: &Arc<Pool>,
        patience: Duration,
    ) {
        let other = self.daemon(daemon);
        let begun = clock.now();
        loop {
            let now = clock.now();
            let since = other.times().answered.unwrap_or(begun).max(begun);
            let left = patience.saturating_sub(now.since(since));
            if left > Duration::ZERO {
                tokio::time::sleep(left).await;
                continue;
            }
            if !self.answers_within(clock, daemon, pool, patience).await {
                return;
            }
        }
    }
}

/// Whether a daemon answers now.
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
    let answer = tokio::time::timeout(ANSWER_TIME, answering).await;
    matches!(answer, Ok(Some(_)))
}
