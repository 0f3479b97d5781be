//! Whether other daemons still answer.
//!
//! A machine that is frozen or cut off takes bytes, or seems to, and says nothing. A request that was
//! sent there is lost for its caller, and one that may run only once can't be sent elsewhere. So a
//! daemon that has not been heard for a moment is asked first, which costs one round trip, and asked
//! again while a request waits for it. One question at a time serves all requests for a daemon.

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

/// Path of the question whether a daemon answers.
pub const PING_PATH: &str = "/ping";
/// Age of the last answer up to which a daemon is trusted with a request that may run only once.
const TRUSTED_ONCE: Duration = Duration::from_millis(300);
/// The same for a request that can be sent elsewhere when the daemon turns out to be silent.
const TRUSTED_REPEATABLE: Duration = Duration::from_millis(1_500);
/// Time in which a daemon must answer the question.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Least and longest time for which a waiting request takes a daemon's silence for work.
const PATIENCE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(600));
/// Part of a request's objective for which it does so.
const PATIENCE_PART: u32 = 4;
/// Daemons whose word is remembered.
const MAX_DAEMONS: usize = 4_096;

/// When other daemons were heard last.
#[derive(Debug, Default)]
pub struct Liveness {
    daemons: Mutex<HashMap<SocketAddr, Arc<HeartbeatResult>>>,
}

/// What was heard of one daemon.
#[derive(Debug, Default)]
struct HeartbeatResult {
    times: Mutex<HeardTimes>,
    /// Held by the one that asks.
    asking: tokio::sync::Mutex<()>,
}

#[derive(Clone, Copy, Debug, Default)]
struct HeardTimes {
    answered: Option<Timestamp>,
    /// End of the last question without an answer.
    unanswered: Option<Timestamp>,
}

impl HeartbeatResult {
    fn times(&self) -> MutexGuard<'_, HeardTimes> {
        lock(&self.times)
    }

    fn is_trusted(&self, now: Timestamp, trusted: Duration) -> bool {
        let answered = self.times().answered;
        answered.is_some_and(|answered| now.since(answered) <= trusted)
    }

    /// Whether a question that was open at `begun` or asked since then got no answer.
    fn was_silent_since(&self, begun: Timestamp) -> bool {
        let unanswered = self.times().unanswered;
        unanswered.is_some_and(|unanswered| unanswered >= begun)
    }
}

/// How long a request with this objective waits for a silent daemon before it has it asked.
pub fn patience(objective: Duration) -> Duration {
    let (least, longest) = PATIENCE_BOUNDS;
    (objective / PATIENCE_PART).clamp(least, longest)
}

impl Liveness {
    fn daemon(&self, daemon: SocketAddr) -> Arc<HeartbeatResult> {
        let mut daemons = lock(&self.daemons);
        if daemons.len() >= MAX_DAEMONS && !daemons.contains_key(&daemon) {
            daemons.clear();
        }
        Arc::clone(daemons.entry(daemon).or_default())
    }

    /// Notes an answer of a daemon.
    pub fn heard(&self, daemon: SocketAddr, now: Timestamp) {
        self.daemon(daemon).times().answered = Some(now);
    }

    /// Whether a daemon may be sent a request: it answered a moment ago, or does so now. A request
    /// that may be repeated and would open a connection needs no question: opening it is one.
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
        let heard = self.daemon(daemon);
        let begun = clock.now();
        if heard.is_trusted(begun, trusted) {
            return true;
        }
        let _asking = heard.asking.lock().await;
        if heard.is_trusted(clock.now(), trusted) {
            return true;
        }
        if heard.was_silent_since(begun) {
            return false;
        }
        let answers = ask(pool).await;
        let now = clock.now();
        let mut times = heard.times();
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
        let heard = self.daemon(daemon);
        let begun = clock.now();
        loop {
            let now = clock.now();
            let since = heard.times().answered.unwrap_or(begun).max(begun);
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

/// Asks a daemon whether it answers.
async fn ask(pool: &Arc<Pool>) -> bool {
    let mut question = Outgoing {
        method: Method::GET,
        target: Uri::from_static(PING_PATH),
        headers: HeaderMap::new(),
        body: OutgoingBody::Whole(Bytes::new()),
    };
    let asking = async {
        let received = exchange::send(pool, &mut question, |_| ()).await.ok()?;
        received.read(None).await.ok()
    };
    let answer = tokio::time::timeout(ANSWER_TIME, asking).await;
    matches!(answer, Ok(Some(_)))
}
