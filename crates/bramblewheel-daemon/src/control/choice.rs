//! Selection of the control replica to query next and of the pause before it. Free of I/O.

use bramblewheel_protocol::control::Unavailable;
use std::net::SocketAddr;
use std::time::Duration;

/// First pause, after every replica has failed once.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Selects the replica to query: the last one that answered, or the leader if one is needed.
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
    /// Starts with a replica chosen by `seed`, so that daemons are spread over the replicas.
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

    /// Address of the replica to query.
    pub fn address(&self) -> SocketAddr {
        self.hinted.unwrap_or(self.replicas[self.current])
    }

    /// Switches to another replica, because the current one did not give a usable answer.
    pub fn next_replica(&mut self) {
        if self.hinted.take().is_none() {
            self.current = (self.current + 1) % self.replicas.len();
        }
    }

    /// Records that the current replica reported itself unavailable.
    pub fn record_unavailable(&mut self, reason: &Unavailable) {
        match reason {
            Unavailable::NotLeader(Some(leader)) if self.hinted != Some(*leader) => {
                self.hinted = Some(*leader);
            }
            // The replica works but has not decided on this request: query it again.
            Unavailable::Undecided => {}
            _ => self.next_replica(),
        }
    }

    /// Records a usable answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.backoff = MIN_BACKOFF;
    }

    /// Pause before the next query: none until every replica was tried once, then exponential
    /// back-off, with jitter so that daemons do not return at the same time.
    pub fn pause(&mut self) -> Duration {
        self.failures += 1;
        if !self.failures.is_multiple_of(self.replicas.len().max(1)) {
            return Duration::ZERO;
        }
        let pause = self.backoff / 2 + self.backoff.mul_f64(self.random_fraction() / 2.0);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        pause
    }

    /// Pseudo-random number between 0 and 1 (one xorshift step); sufficient for spreading pauses.
    fn random_fraction(&mut self) -> f64 {
        self.jitter ^= self.jitter << 13;
        self.jitter ^= self.jitter >> 7;
        self.jitter ^= self.jitter << 17;
        (self.jitter >> 11) as f64 / (1_u64 << 53) as f64
    }
}
