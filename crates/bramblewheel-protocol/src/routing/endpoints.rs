//! Endpoints as registered by the daemons beside them.

use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of an endpoint in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Neither the endpoint nor its daemon has sent a recent heartbeat; it may become ready again.
    Silent,
    /// Takes no new requests and will not take any again.
    Draining,
    /// Deregistered permanently.
    Gone,
}

impl EndpointState {
    /// Whether the endpoint can't become ready again under its id.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Draining | Self::Gone)
    }
}

/// One start of an endpoint as registered by the daemon beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Id of this start of the endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Daemon beside it.
    pub daemon: DaemonId,
    /// Address of its daemon to which other daemons send requests for it.
    pub address: SocketAddr,
    /// Address on which it listens; only its daemon connects to it.
    pub endpoint_address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// Its state.
    pub state: EndpointState,
    /// Sequence number of the endpoint's latest heartbeat; increases within one start, so that heartbeats
    /// that arrive late are recognised.
    pub sequence: u64,
    /// Remaining time of slow service after its start, in milliseconds from the registration.
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
