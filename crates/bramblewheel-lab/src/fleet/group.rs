//! What an operator does with the control group: bootstrap, publish, replace.

use bramblewheel_protocol::control::{
    BootstrapRequest, DaemonStatus, GroupStatus, PublishReply, ReplaceRequest, ReplicaAddress,
    ReplyBody, RequestBody, SignedBundle,
};
use bramblewheel_protocol::{ClientError, ControlClient, RequestError, request_any};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Longest time for one request, all tries together.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for a replacement: the new replica must get the whole log.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time for one replica's own view.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// The control group did not do what it was asked.
#[derive(Debug, Error)]
pub enum GroupError {
    /// No replica settled the request.
    #[error("control group: {0}")]
    Request(#[from] RequestError),
    /// One replica gave no answer.
    #[error("control replica {address}: {error}")]
    Replica {
        /// The replica's service address.
        address: SocketAddr,
        /// What went wrong.
        error: ClientError,
    },
    /// The group answered something else than was hoped for.
    #[error("control group answered {0}")]
    Unexpected(String),
}

impl GroupError {
    fn unexpected(reply: &ReplyBody) -> Self {
        Self::Unexpected(format!("{reply:?}"))
    }
}

/// One replica's own view of the group.
///
/// # Errors
/// [`GroupError`] when it gives none.
pub async fn status(address: SocketAddr) -> Result<GroupStatus, GroupError> {
    let failed = |error| GroupError::Replica { address, error };
    let mut client = ControlClient::connect(address).await.map_err(failed)?;
    let reply = client
        .request(RequestBody::GroupStatus, STATUS_TIMEOUT)
        .await;
    match reply.map_err(failed)? {
        ReplyBody::GroupStatus(status) => Ok(status),
        other => Err(GroupError::unexpected(&other)),
    }
}

/// Starts a group from replicas with empty data folders.
///
/// # Errors
/// [`GroupError`] when a replica does not take part.
pub async fn bootstrap(addresses: &[SocketAddr], bundle: SignedBundle) -> Result<(), GroupError> {
    let mut voters: Vec<ReplicaAddress> = Vec::new();
    for address in addresses {
        voters.push(status(*address).await?.replica);
    }
    voters.sort_by_key(|voter| voter.replica);
    let request = BootstrapRequest {
        group: voters
            .iter()
            .fold(0, |number, voter| number ^ voter.replica),
        voters,
        bundle,
    };
    for address in addresses {
        let body = RequestBody::Bootstrap(request.clone());
        done(request_any(&[*address], &body, REQUEST_TIMEOUT).await?)?;
    }
    Ok(())
}

/// Publishes a bundle.
///
/// # Errors
/// [`GroupError`] when it is not accepted.
pub async fn publish(addresses: &[SocketAddr], bundle: SignedBundle) -> Result<(), GroupError> {
    let body = RequestBody::Publish(bundle);
    match request_any(addresses, &body, REQUEST_TIMEOUT).await? {
        ReplyBody::Publish(PublishReply::Accepted { .. }) => Ok(()),
        other => Err(GroupError::unexpected(&other)),
    }
}

/// The daemons that are registered.
///
/// # Errors
/// [`GroupError`] when no replica answers.
pub async fn daemons(addresses: &[SocketAddr]) -> Result<Vec<DaemonStatus>, GroupError> {
    match request_any(addresses, &RequestBody::FleetStatus, REQUEST_TIMEOUT).await? {
        ReplyBody::FleetStatus(daemons) => Ok(daemons),
        other => Err(GroupError::unexpected(&other)),
    }
}

/// Replaces a lost replica.
///
/// # Errors
/// [`GroupError`] when it is not done in time.
pub async fn replace(
    addresses: &[SocketAddr],
    lost: u64,
    replacement: ReplicaAddress,
) -> Result<(), GroupError> {
    let body = RequestBody::Replace(ReplaceRequest { lost, replacement });
    done(request_any(addresses, &body, REPLACE_TIMEOUT).await?)
}

fn done(reply: ReplyBody) -> Result<(), GroupError> {
    match reply {
        ReplyBody::Done => Ok(()),
        other => Err(GroupError::unexpected(&other)),
    }
}
