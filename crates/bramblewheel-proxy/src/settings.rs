//! Settings of a daemon of the routed data path.
//!
//! They have no file format of their own: the program that starts the daemon reads and checks them.

use crate::dialect::Dialect;
use crate::http::ahead::AheadSettings;
use bramblewheel_decisions::machine_identity::MachineIdentity;
use bramblewheel_decisions::retry_budget::RetryBoundSettings;
use bramblewheel_decisions::tenant_quota::QuotaSettings;
use bramblewheel_types::{DaemonId, RegionName};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Stable name of the daemon.
    pub name: DaemonId,
    /// Region it runs in.
    pub region: RegionName,
    /// Identity of the machine's endpoint at the start of the daemon; the current one is
    /// [`LocalEndpoint::identity`](crate::local::LocalEndpoint::identity).
    pub identity: MachineIdentity,
    /// Listener for requests of callers on this machine.
    pub outbound: SocketAddr,
    /// Listener for requests that other daemons hand over.
    pub inbound: SocketAddr,
    /// Address that the inbound listener binds instead, with the same port, if the address known to other daemons is
    /// translated by the network.
    pub bind: Option<IpAddr>,
    /// Listener for metrics.
    pub metrics: SocketAddr,
    /// Initial service addresses of control replicas.
    pub replicas: Vec<SocketAddr>,
    /// Header names of callers and endpoints.
    pub dialect: Dialect,
    /// Bound on retries, shared by all daemons.
    pub retry: RetryBoundSettings,
    /// Time after which no daemon may accept a revoked key; `None` means that keys are used without a lease.
    pub key_revocation: Option<Duration>,
    /// Bound on the requests of tenants, shared by all daemons.
    pub quota: QuotaSettings,
    /// Limits on requests that are started before the answers to those ahead of them on their connection.
    pub requests_ahead: AheadSettings,
    /// Time between two heartbeats of an endpoint.
    pub heartbeat: Duration,
    /// Grace time: from the order to stop until the process is killed.
    pub stop_grace: Duration,
}

impl Settings {
    /// Address that the inbound listener binds.
    pub fn inbound_bind_address(&self) -> SocketAddr {
        let ip = self.bind.unwrap_or(self.inbound.ip());
        SocketAddr::new(ip, self.inbound.port())
    }
}
