//! Requests to the control group as an operator sends them: bootstrap, publish, replace, status.

use bramblewheel_protocol::control::{
    BootstrapRequest, DaemonStatus, GroupStatus, PublishReply, ReplaceRequest, ReplicaAddress,
    ReplyBody, RequestBody, SignedBundle,
};
use bramblewheel_protocol::{ClientError, ControlClient, RequestError, request_any};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Time-out of a request including all attempts.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time-out of a replacement, in which the new replica must receive the whole log.
const REPLACE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time-out of a status request to a single replica.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// A request to the control group failed.
#[derive(Debug, Error)]
pub enum GroupError {
    /// No replica completed the request.
    #[error("control group: {0}")]
    Request(#[from] RequestError),
    /// A single replica did not answer.
    #[error("control replica {address}: {error}")]
    Replica {
        /// The replica's service address.
        address: SocketAddr,
        /// The client's error.
        error: ClientError,
    },
    /// The group answered with another reply than expected.
    #[error("control group answered {0}")]
    Unexpected(String),
}

impl GroupError {
    fn unexpected(reply: &ReplyBody) -> Self {
        Self::Unexpected(format!("{reply:?}"))
    }
}

/// Status of the group as seen by one replica.
///
/// # Errors
/// [`GroupError`] when the replica does not answer.
pub async fn status(address: SocketAddr) -> Result<GroupStatus, GroupError> {
    let replica_error = |error| GroupError::Replica { address, error };
    let mut client = ControlClient::connect(address)
        .await
        .map_err(replica_error)?;
    let reply = client
        .request(RequestBody::GroupStatus, STATUS_TIMEOUT)
        .await;
    match reply.map_err(replica_error)? {
        ReplyBody::GroupStatus(status) => Ok(status),
        other => Err(GroupError::unexpected(&other)),
    }
}

/// Bootstraps a group of replicas with empty data folders.
///
/// # Errors
/// [`GroupError`] when a replica does not answer or refuses.
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
        expect_done(request_any(&[*address], &body, REQUEST_TIMEOUT).await?)?;
    }
    Ok(())
}

/// Publishes a bundle.
///
/// # Errors
/// [`GroupError`] when the bundle is not accepted.
pub async fn publish(addresses: &[SocketAddr], bundle: SignedBundle) -> Result<(), GroupError> {
    let body = RequestBody::Publish(bundle);
    match request_any(addresses, &body, REQUEST_TIMEOUT).await? {
        ReplyBody::Publish(PublishReply::Accepted { .. }) => Ok(()),
        other => Err(GroupError::unexpected(&other)),
    }
}

/// The registered daemons.
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
/// [`GroupError`] when the replacement is not completed in time.
pub async fn replace(
    addresses: &[SocketAddr],
    lost: u64,
    replacement: ReplicaAddress,
) -> Result<(), GroupError> {
    let body = RequestBody::Replace(ReplaceRequest { lost, replacement });
    expect_done(request_any(addresses, &body, REPLACE_TIMEOUT).await?)
}

fn expect_done(reply: ReplyBody) -> Result<(), GroupError> {
    match reply {
        ReplyBody::Done => Ok(()),
        other => Err(GroupError::unexpected(&other)),
    }
}
