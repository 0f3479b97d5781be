//! Long polls of daemons for the route table, the registered endpoints and the quarantine.

use super::{EndpointUpdate, QuarantineList, StoredTable, TableVersion};
use crate::control::{LogPosition, Registration};
use bramblewheel_types::Millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Request of a daemon for updates of the route table and the endpoints; also renews its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Registration of the daemon.
    pub registration: Registration,
    /// Version of the table in force at the daemon; 0 if none, in which case the answer must be confirmed
    /// by a quorum.
    pub table_version: TableVersion,
    /// Revision of the registry that the daemon holds.
    pub registry_revision: u64,
    /// Revision of the quarantine that the daemon holds.
    #[serde(default)]
    pub quarantine_revision: u64,
    /// Highest position seen from any replica.
    pub position: LogPosition,
    /// How long the replica may hold the request, in milliseconds.
    pub wait: Millis,
}

/// Update for a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchReply {
    /// Log position that the reply reflects.
    pub position: LogPosition,
    /// A newer table, if there is one.
    pub table: Option<StoredTable>,
    /// Revision of the registry after the changes below.
    pub registry_revision: u64,
    /// Endpoints that changed since the daemon's revision.
    pub endpoints: Vec<EndpointUpdate>,
    /// The quarantine, if the daemon holds an older one.
    #[serde(default)]
    pub quarantine: Option<QuarantineList>,
    /// Number of registered daemons, from which each computes its share of what they may use together.
    pub daemons: u32,
    /// Service addresses of the group's replicas.
    pub replicas: Vec<SocketAddr>,
}
