//! Addresses of simulated replicas; the port encodes the process id.

use crate::kernel::ProcessId;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// First service port, for daemons and operators.
const FIRST_SERVICE_PORT: u16 = 10_000;
/// First peer port, for other replicas.
const FIRST_PEER_PORT: u16 = 20_000;

fn address(first_port: u16, process: ProcessId) -> SocketAddr {
    let offset = u16::try_from(process.0).expect("replicas have the lowest process ids");
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), first_port + offset)
}

/// Address of a replica for daemons and operators.
pub(super) fn service(process: ProcessId) -> SocketAddr {
    address(FIRST_SERVICE_PORT, process)
}

/// Address of a replica for its peers.
pub(super) fn peer(process: ProcessId) -> SocketAddr {
    address(FIRST_PEER_PORT, process)
}

/// The replica process with the given service or peer address.
pub(super) fn process(address: SocketAddr) -> ProcessId {
    let first_port = if address.port() >= FIRST_PEER_PORT {
        FIRST_PEER_PORT
    } else {
        FIRST_SERVICE_PORT
    };
    ProcessId(u32::from(address.port() - first_port))
}
