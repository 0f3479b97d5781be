//! Addresses of simulated replicas: the port names the process.

use crate::kernel::ProcessId;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// First port for daemons and operators.
const SERVICE_PORTS: u16 = 10_000;
/// First port for peers.
const PEER_PORTS: u16 = 20_000;

fn address(first: u16, process: ProcessId) -> SocketAddr {
    let offset = u16::try_from(process.0).expect("replicas are the first processes");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), first + offset)
}

/// Where daemons and operators reach a replica.
pub(super) fn service(process: ProcessId) -> SocketAddr {
    address(SERVICE_PORTS, process)
}

/// Where its peers reach a replica.
pub(super) fn peer(process: ProcessId) -> SocketAddr {
    address(PEER_PORTS, process)
}

/// The process behind either address.
pub(super) fn process(address: SocketAddr) -> ProcessId {
    let first = if address.port() >= PEER_PORTS {
        PEER_PORTS
    } else {
        SERVICE_PORTS
    };
    ProcessId(u32::from(address.port() - first))
}
