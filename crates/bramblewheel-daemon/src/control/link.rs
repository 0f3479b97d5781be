//! Keeps a connection to some replica: the one that answers, the leader where one is needed.

use crate::control::choice::ReplicaChoice;
use crate::control::connection::{Connection, ConnectionError};
use crate::metrics::Metrics;
use bramblewheel_protocol::control::{ReplyBody, RequestBody, Unavailable};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

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
    choice: ReplicaChoice,
    connection: Option<Connection>,
    metrics: Arc<Metrics>,
}

impl Link {
    /// A link that begins with a replica chosen by `seed`, so that daemons spread over them.
    pub(super) fn new(replicas: Vec<SocketAddr>, seed: u64, metrics: Arc<Metrics>) -> Self {
        Self {
            choice: ReplicaChoice::new(replicas, seed),
            connection: None,
            metrics,
        }
    }

    /// Asks the current replica; on any failure the next question goes to another one.
    pub(super) async fn ask(
        &mut self,
        body: RequestBody,
        wait: Duration,
    ) -> Result<ReplyBody, LinkError> {
        let address = self.choice.address();
        match self.ask_at(address, body, wait).await {
            Ok(ReplyBody::Unavailable(reason)) => {
                self.choice.unavailable(&reason);
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

    /// Goes to another replica, because the current one's answer can't be used.
    pub(super) fn next_replica(&mut self) {
        self.connection = None;
        self.choice.next_replica();
    }

    /// Closes the connection but stays with its replica.
    pub(super) fn reconnect(&mut self) {
        self.connection = None;
    }

    /// Notes that an answer was of use.
    pub(super) fn succeeded(&mut self) {
        self.choice.succeeded();
    }

    /// Pauses before the next question, if too many failed; see [`ReplicaChoice::pause`].
    pub(super) async fn back_off(&mut self) {
        let pause = self.choice.pause();
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
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
}
