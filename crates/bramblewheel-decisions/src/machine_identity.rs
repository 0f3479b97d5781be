//! Identity of a machine: the service, zone and address of its endpoint, as its settings state them.
//!
//! Rule: an endpoint record belongs to this machine only if it agrees with everything that the settings state.
//!
//! Inputs: the settings of the machine (as of their last reload); the record, from a heartbeat or the control group.
//!
//! Reason: any process that reaches the heartbeat listener can send a heartbeat, and a heartbeat may be delayed until
//! another endpoint runs on the machine. The settings come from the operators who placed the endpoint.
//!
//! Observability: metric `bramblewheel_identity_mismatches` (by what differs); log lines `heartbeat differs from the
//! settings`, `endpoint not adopted` and `machine runs another endpoint`.

use bramblewheel_protocol::routing::EndpointRecord;
use bramblewheel_types::{ServiceName, ZoneName};
use std::net::SocketAddr;
use thiserror::Error;

/// Identity of a machine, as its settings state it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineIdentity {
    /// Service of the machine's endpoint; none if the machine has no endpoint.
    pub service: Option<ServiceName>,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Where the endpoint listens; none if the settings do not state it.
    pub endpoint_address: Option<SocketAddr>,
}

/// How a record differs from the settings of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IdentityMismatch {
    /// The settings name no service, so the machine has no endpoint.
    #[error("this machine runs no endpoint")]
    NoEndpoint,
    /// The record names another service.
    #[error("this machine runs another service")]
    Service,
    /// The record names another zone.
    #[error("this machine is in another zone")]
    Zone,
    /// The record has another address of the endpoint.
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
    /// Checks that a record belongs to the machine's endpoint.
    ///
    /// # Errors
    /// [`IdentityMismatch`] with the first difference found.
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
