//! Endpoints as the daemons beside them register them.

use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an endpoint is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// No heartbeat lately, of it or of its daemon; may come back.
    Silent,
    /// Leaves: takes no new work, now or later.
    Draining,
    /// Has left for good.
    Gone,
}

impl EndpointState {
    /// Whether the endpoint will take no work again under its id.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Draining | Self::Gone)
    }
}

/// One start of an endpoint as the daemon beside it registered it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Id of this start of the endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Daemon beside it.
    pub daemon: DaemonId,
    /// Where other daemons hand requests for it to its daemon.
    pub address: SocketAddr,
    /// Where it listens; only its daemon connects there.
    pub endpoint_address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests it runs at one time.
    pub slots: u32,
    /// What it is ready for.
    pub state: EndpointState,
    /// Sequence number of the endpoint's latest heartbeat; rises within one start, so that late
    /// heartbeats are recognised.
    pub sequence: u64,
    /// Time for which it is still slow after its start, counted from the registration; in
    /// milliseconds.
    pub cold_for: Millis,
}

/// An endpoint with the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub record: EndpointRecord,
    /// Revision of the registry at which it changed last.
    pub revision: u64,
}
