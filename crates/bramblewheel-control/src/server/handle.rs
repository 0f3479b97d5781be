//! Handle by which a process controls a running replica.

use super::error::RunError;
use super::input::{Input, Inputs};
use bramblewheel_storage::StorageError;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Time-out for connections to end after the node has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Addresses that a replica listens on.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// For messages of other replicas.
    pub peer: SocketAddr,
    /// For daemons and operators.
    pub service: SocketAddr,
    /// For health checks and metrics.
    pub admin: SocketAddr,
}

/// A running replica.
#[derive(Debug)]
pub struct ControlHandle {
    pub(super) replica: u64,
    pub(super) addresses: BoundAddresses,
    pub(super) inputs: Inputs,
    pub(super) ended: oneshot::Receiver<Result<(), StorageError>>,
    pub(super) stop: watch::Sender<bool>,
    pub(super) offer_to: watch::Sender<Vec<SocketAddr>>,
    pub(super) tasks: JoinSet<()>,
}

impl ControlHandle {
    /// Id of the replica, as stored in its data folder.
    pub fn replica(&self) -> u64 {
        self.replica
    }

    /// Addresses that the replica listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Changes the addresses to which this replica offers itself as a spare.
    pub fn offer_to(&self, members: Vec<SocketAddr>) {
        self.offer_to.send_replace(members);
    }

    /// Begins a planned stop: leadership is transferred, and waiting daemons are referred to other replicas.
    pub fn stop(&self) {
        // The thread may have ended already, which `stopped` reports.
        let _ = self.inputs.send(Input::Stop);
    }

    /// Waits until the replica has ended.
    ///
    /// # Errors
    /// [`RunError`] if it did not end by a planned stop.
    pub async fn stopped(&mut self) -> Result<(), RunError> {
        let result = (&mut self.ended).await.map_err(|_| RunError::Ended);
        self.stop.send_replace(true);
        let all_ended = async { while self.tasks.join_next().await.is_some() {} };
        let _ = timeout(CLOSE_TIMEOUT, all_ended).await;
        Ok(result??)
    }
}
