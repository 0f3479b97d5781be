//! Registrations and long polls of daemons: the bundle, the directory, the lease.
//!
//! A poll renews the daemon's lease and is held until there is an update for it. Relies on the
//! directory revision to send only what changed.

use super::{BundleUpdate, LogPosition, OperatorChange};
use bramblewheel_types::{
    BundleVersion, DaemonId, EndpointId, Millis, RegionName, ServiceName, ZoneName,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a daemon reports of itself.
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
    /// The endpoint it stands beside, none for a gateway.
    pub endpoint: Option<EndpointRegistration>,
}

/// What a daemon reports of the endpoint beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRegistration {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Address of the daemon's inbound listener.
    pub address: SocketAddr,
    /// The endpoint takes no new work.
    pub draining: bool,
}

/// A daemon asks for updates and renews its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Who asks.
    pub registration: Registration,
    /// Bundle in force at the daemon; version 0 if none.
    pub bundle_version: BundleVersion,
    /// Version whose operators the daemon trusts: that of the bundle in force, or higher once
    /// operator changes were followed whose bundle has not arrived yet; 0 if none.
    pub operators_version: BundleVersion,
    /// The bundle is to come whole: a delta did not lead to the bundle it stated.
    pub whole_bundle: bool,
    /// Highest position seen from any replica.
    pub position: LogPosition,
    /// Directory revision the daemon holds; 0 if none.
    pub directory_revision: u64,
    /// Services whose endpoints the daemon wants to know.
    pub services: Vec<ServiceName>,
    /// How long the replica may hold the request, in milliseconds.
    pub wait: Millis,
}

/// Update for a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReply {
    /// Position at which the reply is true.
    pub position: LogPosition,
    /// Changes of the operators between the version whose operators the daemon trusts and the
    /// bundle below, oldest first. When they don't fit one reply, the bundle is left out and the
    /// daemon polls again at once.
    pub operator_changes: Vec<OperatorChange>,
    /// A newer bundle, if there is one.
    pub bundle: Option<BundleUpdate>,
    /// Revision of the directory after the changes below.
    pub directory_revision: u64,
    /// Whether `live` is all there is, rather than changes since the daemon's revision.
    pub directory_is_complete: bool,
    /// Endpoints that are live or changed.
    pub live: Vec<DirectoryEntry>,
    /// Endpoints that are gone.
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
    /// It takes no new work.
    pub draining: bool,
}

/// What the control group knows of a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// What the daemon reported of itself.
    pub registration: Registration,
    /// Bundle in force at its last poll.
    pub bundle_version: BundleVersion,
    /// Time since its last poll, in milliseconds.
    pub silent_for: Millis,
}
