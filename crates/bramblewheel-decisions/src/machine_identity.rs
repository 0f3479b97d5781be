//! Who runs on a machine: the service, zone and address of its endpoint, as the settings of the machine say.
//!
//! Rule: a record of an endpoint is one of this machine only if it agrees with the settings in all that they state.
//!
//! Inputs: the settings of the machine (as of their last reload); the record, from a heartbeat or from the control group.
//!
//! Reason: whoever reaches the listener for heartbeats can send one, and a heartbeat may be delayed until another
//! endpoint runs here. The settings come from those who placed the endpoint.
//!
//! Seen in: metric `bramblewheel_identity_mismatches` (by what differs); log lines `heartbeat differs from the settings`,
//! `endpoint not adopted` and `machine runs another endpoint`.

use bramblewheel_protocol::routing::EndpointRecord;
use bramblewheel_types::{ServiceName, ZoneName};
use std::net::SocketAddr;
use thiserror::Error;

/// Who runs on a machine, as its settings say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineIdentity {
    /// Service of the machine's endpoint; none where the machine has no endpoint.
    pub service: Option<ServiceName>,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Where the endpoint listens; none where the settings leave it open.
    pub endpoint_address: Option<SocketAddr>,
}

/// How a record differs from the settings of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IdentityMismatch {
    /// The settings name no service: the machine has no endpoint.
    #[error("this machine runs no endpoint")]
    NoEndpoint,
    /// Another service.
    #[error("this machine runs another service")]
    Service,
    /// Another zone.
    #[error("this machine is in another zone")]
    Zone,
    /// Another address of the endpoint.
    #[error("the endpoint of this machine has another address")]
    Address,
}

impl IdentityMismatch {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no-endpoint",
            Self::Service => "other-service",
            Self::Zone => "other-zone",
            Self::Address => "other-address",
        }
    }
}

impl MachineIdentity {
    /// Whether a record is one of the machine's endpoint.
    ///
    /// # Errors
    /// [`IdentityMismatch`] with the first thing that differs.
    pub fn check(&self, record: &EndpointRecord) -> Result<(), IdentityMismatch> {
        let service = self.service.as_ref().ok_or(IdentityMismatch::NoEndpoint)?;
        if record.service != *service {
            return Err(IdentityMismatch::Service);
        }
        if record.zone != self.zone {
            return Err(IdentityMismatch::Zone);
        }
        let is_elsewhere = |address: SocketAddr| address != record.endpoint_address;
        if self.endpoint_address.is_some_and(is_elsewhere) {
            return Err(IdentityMismatch::Address);
        }
        Ok(())
    }
}
