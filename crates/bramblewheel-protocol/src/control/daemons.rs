//! Registrations of daemons and their long polls for the bundle and the directory.
//!
//! A poll renews the daemon's lease and is held until there is an update for the daemon. The directory
//! revision in it lets the replica send only what changed.

use super::{BundleUpdate, LogPosition, OperatorChange};
use bramblewheel_types::{
    BundleVersion, DaemonId, EndpointId, Millis, RegionName, ServiceName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A daemon's report on itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Drawn at random at each start of the process.
    pub incarnation: u64,
    /// Zone of the daemon.
    pub zone: ZoneName,
    /// Region of the daemon.
    pub region: RegionName,
    /// The endpoint beside the daemon; `None` for a gateway.
    pub endpoint: Option<EndpointRegistration>,
}

/// A daemon's report on the endpoint beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRegistration {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Address of the daemon's inbound listener.
    pub address: SocketAddr,
    /// Whether the endpoint is draining and takes no new requests.
    pub draining: bool,
}

/// Request of a daemon for updates; also renews its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Registration of the daemon.
    pub registration: Registration,
    /// Bundle in force at the daemon; version 0 if none.
    pub bundle_version: BundleVersion,
    /// Version whose operators the daemon trusts; 0 if none. Above the version of the bundle in force when
    /// the daemon has applied operator changes whose bundle has not arrived yet.
    pub operators_version: BundleVersion,
    /// Requests the whole bundle, because applying a delta did not give the bundle with the stated digest.
    pub whole_bundle: bool,
    /// Highest position seen from any replica.
    pub position: LogPosition,
    /// Directory revision that the daemon holds; 0 if none.
    pub directory_revision: u64,
    /// Services whose endpoints the daemon asks for.
    pub services: Vec<ServiceName>,
    /// How long the replica may hold the request, in milliseconds.
    pub wait: Millis,
}

/// Update for a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReply {
    /// Log position that the reply reflects.
    pub position: LogPosition,
    /// Operator changes between the version whose operators the daemon trusts and the bundle below, oldest
    /// first. If they don't fit into one reply, the bundle is left out and the daemon polls again at once.
    pub operator_changes: Vec<OperatorChange>,
    /// A newer bundle, if there is one.
    pub bundle: Option<BundleUpdate>,
    /// Revision of the directory after the changes below.
    pub directory_revision: u64,
    /// Whether `live` is the whole directory rather than the changes since the daemon's revision.
    pub directory_is_complete: bool,
    /// Live endpoints, or those of them that changed.
    pub live: Vec<DirectoryEntry>,
    /// Endpoints that were removed.
    pub removed: Vec<EndpointId>,
}

/// One endpoint in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Its zone.
    pub zone: ZoneName,
    /// Address of its daemon's inbound listener.
    pub address: SocketAddr,
    /// Whether it is draining and takes no new requests.
    pub draining: bool,
}

/// State of a daemon as known to the control group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Latest registration of the daemon.
    pub registration: Registration,
    /// Bundle in force at its last poll.
    pub bundle_version: BundleVersion,
    /// Time since its last poll, in milliseconds.
    pub silent_for: Millis,
}
