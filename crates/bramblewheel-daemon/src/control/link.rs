//! Maintains a connection to one control replica and switches to another one on failure.

use crate::control::choice::ReplicaChoice;
use crate::control::connection::{Connection, ConnectionError};
use crate::metrics::Metrics;
use bramblewheel_protocol::MAX_IDLE;
use bramblewheel_protocol::control::{ReplyBody, RequestBody, Unavailable};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// No answer was received.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    /// The replica can't be reached or violated the protocol.
    #[error("{address}: {error}")]
    Connection {
        /// The replica.
        address: SocketAddr,
        /// The connection error.
        error: ConnectionError,
    },
    /// The replica reported that it can't answer.
    #[error("{address}: unavailable: {reason:?}")]
    Unavailable {
        /// The replica.
        address: SocketAddr,
        /// The stated reason.
        reason: Unavailable,
    },
}

/// A connection to one replica of the control group.
pub(super) struct Link {
    choice: ReplicaChoice,
    connection: Option<Connection>,
    metrics: Arc<Metrics>,
}

impl Link {
    /// Starts with a replica chosen by `seed`, so that daemons are spread over the replicas.
    pub(super) fn new(replicas: Vec<SocketAddr>, seed: u64, metrics: Arc<Metrics>) -> Self {
        Self {
            choice: ReplicaChoice::new(replicas, seed),
            connection: None,
            metrics,
        }
    }

    /// Sends a request to the current replica. After a failed connection the next request goes to
    /// another replica; after `Unavailable`, [`ReplicaChoice::record_unavailable`] decides.
    pub(super) async fn query(
        &mut self,
        body: RequestBody,
        wait: Duration,
    ) -> Result<ReplyBody, LinkError> {
        let address = self.choice.address();
        match self.query_at(address, body, wait).await {
            Ok(ReplyBody::Unavailable(reason)) => {
                self.choice.record_unavailable(&reason);
                if reason != Unavailable::Undecided {
                    self.connection = None;
                }
                Err(LinkError::Unavailable { address, reason })
            }
            Ok(reply) => Ok(reply),
            Err(error) => {
                self.next_replica();
                Err(LinkError::Connection { address, error })
            }
        }
    }

    /// Switches to another replica, because the current one's answer can't be used.
    pub(super) fn next_replica(&mut self) {
        self.connection = None;
        self.choice.next_replica();
    }

    /// Closes the connection; the next request goes to the same replica.
    pub(super) fn reconnect(&mut self) {
        self.connection = None;
    }

    /// Records a usable answer.
    pub(super) fn record_success(&mut self) {
        self.choice.record_success();
    }

    /// Pauses before the next request if too many have failed; see [`ReplicaChoice::pause`].
    pub(super) async fn back_off(&mut self) {
        let pause = self.choice.pause();
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }

    async fn query_at(
        &mut self,
        address: SocketAddr,
        body: RequestBody,
        wait: Duration,
    ) -> Result<ReplyBody, ConnectionError> {
        // The connection is put back only after a complete exchange. If the request is dropped before
        // that, the connection is closed, so that its late answer can't be read as another one.
        let idle = self.connection.take();
        let mut connection = match idle.filter(|idle| idle.idle_time() < MAX_IDLE) {
            Some(connection) => connection,
            None => Connection::open(address, Arc::clone(&self.metrics)).await?,
        };
        let reply = connection.query(body, wait).await?;
        self.connection = Some(connection);
        Ok(reply)
    }
}
