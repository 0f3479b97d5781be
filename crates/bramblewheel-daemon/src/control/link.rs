//! Keeps a connection to some replica: the one that answers, the leader where one is needed.

use crate::control::connection::{Connection, ConnectionError};
use crate::metrics::Metrics;
use bramblewheel_protocol::control::{ReplyBody, RequestBody, Unavailable};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// First pause after every replica has failed once.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// No answer could be had now.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    /// The replica can't be reached or broke the protocol.
    #[error("{address}: {error}")]
    Connection {
        /// The replica.
        address: SocketAddr,
        /// What went wrong.
        error: ConnectionError,
    },
    /// The replica says that it can't answer.
    #[error("{address}: unavailable: {reason:?}")]
    Unavailable {
        /// The replica.
        address: SocketAddr,
        /// Why.
        reason: Unavailable,
    },
}

/// A connection to some replica of the group.
pub(super) struct Link {
    replicas: Vec<SocketAddr>,
    current: usize,
    hinted: Option<SocketAddr>,
    connection: Option<Connection>,
    metrics: Arc<Metrics>,
    backoff: Duration,
    failures: usize,
    jitter: u64,
}

impl Link {
    /// A link that begins with a replica chosen by `seed`, so that daemons spread over them.
    pub(super) fn new(replicas: Vec<SocketAddr>, seed: u64, metrics: Arc<Metrics>) -> Self {
        let current = (seed % replicas.len().max(1) as u64) as usize;
        Self {
            replicas,
            current,
            hinted: None,
            connection: None,
            metrics,
            backoff: MIN_BACKOFF,
            failures: 0,
            jitter: seed | 1,
        }
    }

    /// Asks the current replica; on any failure the next question goes to another one.
    pub(super) async fn ask(
        &mut self,
        body: RequestBody,
        wait: Duration,
    ) -> Result<ReplyBody, LinkError> {
        let address = self.address();
        match self.ask_at(address, body, wait).await {
            Ok(ReplyBody::Unavailable(reason)) => {
                self.give_up(&reason);
                Err(LinkError::Unavailable { address, reason })
            }
            Ok(reply) => Ok(reply),
            Err(error) => {
                self.next_replica();
                Err(LinkError::Connection { address, error })
            }
        }
    }

    /// Goes to another replica, because the current one's answer can't be used.
    pub(super) fn next_replica(&mut self) {
        self.connection = None;
        if self.hinted.take().is_none() {
            self.current = (self.current + 1) % self.replicas.len();
        }
    }

    /// Closes the connection but stays with its replica.
    pub(super) fn reconnect(&mut self) {
        self.connection = None;
    }

    /// Notes that an answer was of use.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.backoff = MIN_BACKOFF;
    }

    /// Pauses before the next question: not at all until every replica was tried once, then
    /// longer each time, with jitter so that daemons don't come back together.
    pub(super) async fn back_off(&mut self) {
        self.failures += 1;
        if !self.failures.is_multiple_of(self.replicas.len().max(1)) {
            return;
        }
        let pause = self.backoff / 2 + self.backoff.mul_f64(self.random_fraction() / 2.0);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        tokio::time::sleep(pause).await;
    }

    fn address(&self) -> SocketAddr {
        self.hinted.unwrap_or(self.replicas[self.current])
    }

    async fn ask_at(
        &mut self,
        address: SocketAddr,
        body: RequestBody,
        wait: Duration,
    ) -> Result<ReplyBody, ConnectionError> {
        // Taken out and put back only after a whole exchange: a question that is dropped half-way
        // leaves no connection behind on which its late answer could be read.
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::open(address, Arc::clone(&self.metrics)).await?,
        };
        let reply = connection.ask(body, wait).await?;
        self.connection = Some(connection);
        Ok(reply)
    }

    fn give_up(&mut self, reason: &Unavailable) {
        match reason {
            Unavailable::NotLeader(Some(leader)) if self.hinted != Some(*leader) => {
                self.connection = None;
                self.hinted = Some(*leader);
            }
            // The replica works, only this answer is open: ask it again.
            Unavailable::Undecided => {}
            _ => self.next_replica(),
        }
    }

    /// Between 0 and 1; good enough to spread pauses (a xorshift step).
    fn random_fraction(&mut self) -> f64 {
        self.jitter ^= self.jitter << 13;
        self.jitter ^= self.jitter >> 7;
        self.jitter ^= self.jitter << 17;
        (self.jitter >> 11) as f64 / (1_u64 << 53) as f64
    }
}
