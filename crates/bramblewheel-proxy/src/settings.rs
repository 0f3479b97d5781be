//! Settings of a daemon of the routed data path.
//!
//! Owns no file format: the program that starts the daemon reads and checks them.

use crate::dialect::Dialect;
use bramblewheel_decisions::machine_identity::MachineIdentity;
use bramblewheel_decisions::retry_budget::RetryBoundSettings;
use bramblewheel_decisions::tenant_quota::QuotaSettings;
use bramblewheel_types::{DaemonId, RegionName};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Settings of a daemon, as the program that starts it gives them.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Stable name of the daemon.
    pub name: DaemonId,
    /// Region it runs in.
    pub region: RegionName,
    /// Who runs on its machine when it starts; [`LocalEndpoint::identity`](crate::local::LocalEndpoint::identity) says
    /// who does later.
    pub identity: MachineIdentity,
    /// Listener for requests of callers on this machine.
    pub outbound: SocketAddr,
    /// Listener for requests that other daemons hand over.
    pub inbound: SocketAddr,
    /// Address that the inbound listener binds instead, at the same port, where the one that other
    /// daemons know is translated on the way.
    pub bind: Option<IpAddr>,
    /// Listener for metrics.
    pub metrics: SocketAddr,
    /// Service addresses of control replicas to begin with.
    pub replicas: Vec<SocketAddr>,
    /// Header names of callers and endpoints.
    pub dialect: Dialect,
    /// Bound on retries, for all daemons together.
    pub retry: RetryBoundSettings,
    /// Time after which no daemon may accept a key that was revoked; keys are used without a lease
    /// where there is none.
    pub key_revocation: Option<Duration>,
    /// Bound on the requests of tenants, for all daemons together.
    pub quota: QuotaSettings,
    /// Time between two heartbeats of an endpoint.
    pub heartbeat: Duration,
    /// Time between the order to stop and the end by force.
    pub stop_grace: Duration,
}

impl Settings {
    /// What the inbound listener binds.
    pub fn inbound_bound(&self) -> SocketAddr {
        let ip = self.bind.unwrap_or(self.inbound.ip());
        SocketAddr::new(ip, self.inbound.port())
    }
}
