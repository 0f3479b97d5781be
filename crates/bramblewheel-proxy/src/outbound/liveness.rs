//! Whether other daemons still answer.
//!
//! A machine that is frozen or cut off takes bytes, or seems to, and says nothing. A request that was
//! sent there is lost for its caller, and one that may run only once can't be sent elsewhere. So a
//! daemon that has not been heard for a moment is asked first, which costs one round trip, and asked
//! again while a request waits for it.

use crate::http::exchange::{self, Outgoing, OutgoingBody};
use crate::http::pool::Pool;
use bramblewheel_process::clock::Clock;
use bramblewheel_types::Timestamp;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Path of the question whether a daemon answers.
pub const PING_PATH: &str = "/ping";
/// Age of the last answer up to which a daemon is trusted without a question.
const TRUSTED: Duration = Duration::from_millis(300);
/// Time in which a daemon must answer the question.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// When other daemons were heard last.
#[derive(Debug, Default)]
pub struct Liveness {
    heard: Mutex<HashMap<SocketAddr, Timestamp>>,
}

impl Liveness {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Timestamp>> {
        self.heard
            .lock()
            .expect("a panic under the lock ends the process, so the lock is never poisoned")
    }

    /// Notes an answer of a daemon.
    pub fn heard(&self, daemon: SocketAddr, now: Timestamp) {
        self.lock().insert(daemon, now);
    }

    fn is_trusted(&self, daemon: SocketAddr, now: Timestamp) -> bool {
        let heard = self.lock().get(&daemon).copied();
        heard.is_some_and(|heard| now.since(heard) <= TRUSTED)
    }

    /// Whether a daemon answers: it did a moment ago, or does so now.
    pub async fn answers(&self, clock: Clock, daemon: SocketAddr, pool: &Arc<Pool>) -> bool {
        if self.is_trusted(daemon, clock.now()) {
            return true;
        }
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
        let answers = matches!(answer, Ok(Some(_)));
        if answers {
            self.heard(daemon, clock.now());
        }
        answers
    }

    /// Ends when a daemon does not answer any more.
    pub async fn until_silent(&self, clock: Clock, daemon: SocketAddr, pool: &Arc<Pool>) {
        loop {
            tokio::time::sleep(TRUSTED).await;
            if !self.answers(clock, daemon, pool).await {
                return;
            }
        }
    }
}
