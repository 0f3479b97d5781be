//! Which replica a daemon asks next, and how long it pauses before. Pure.

use bramblewheel_protocol::control::Unavailable;
use std::net::SocketAddr;
use std::time::Duration;

/// First pause after every replica has failed once.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Which replica a daemon asks next: the one that answers, the leader where one is needed.
#[derive(Clone, Debug)]
pub struct ReplicaChoice {
    replicas: Vec<SocketAddr>,
    current: usize,
    hinted: Option<SocketAddr>,
    backoff: Duration,
    failures: usize,
    jitter: u64,
}

impl ReplicaChoice {
    /// Begins with a replica chosen by `seed`, so that daemons spread over them.
    ///
    /// `replicas` must not be empty.
    pub fn new(replicas: Vec<SocketAddr>, seed: u64) -> Self {
        let current = (seed % replicas.len().max(1) as u64) as usize;
        Self {
            replicas,
            current,
            hinted: None,
            backoff: MIN_BACKOFF,
            failures: 0,
            jitter: seed | 1,
        }
    }

    /// The replica to ask.
    pub fn address(&self) -> SocketAddr {
        self.hinted.unwrap_or(self.replicas[self.current])
    }

    /// Goes to another replica, because the current one's answer can't be had or used.
    pub fn next_replica(&mut self) {
        if self.hinted.take().is_none() {
            self.current = (self.current + 1) % self.replicas.len();
        }
    }

    /// The current replica says that it can't answer.
    pub fn unavailable(&mut self, reason: &Unavailable) {
        match reason {
            Unavailable::NotLeader(Some(leader)) if self.hinted != Some(*leader) => {
                self.hinted = Some(*leader);
            }
            // The replica works, only this answer is open: ask it again.
            Unavailable::Undecided => {}
            _ => self.next_replica(),
        }
    }

    /// Notes that an answer was of use.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.backoff = MIN_BACKOFF;
    }

    /// How long to pause before the next question: not at all until every replica was tried once,
    /// then longer each time, with jitter so that daemons don't come back together.
    pub fn pause(&mut self) -> Duration {
        self.failures += 1;
        if !self.failures.is_multiple_of(self.replicas.len().max(1)) {
            return Duration::ZERO;
        }
        let pause = self.backoff / 2 + self.backoff.mul_f64(self.random_fraction() / 2.0);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        pause
    }

    /// Between 0 and 1; good enough to spread pauses (a xorshift step).
    fn random_fraction(&mut self) -> f64 {
        self.jitter ^= self.jitter << 13;
        self.jitter ^= self.jitter >> 7;
        self.jitter ^= self.jitter << 17;
        (self.jitter >> 11) as f64 / (1_u64 << 53) as f64
    }
}
