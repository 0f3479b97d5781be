//! Maps endpoints, gateways, the ledger, callers and control replicas to simulated processes.

use super::topology::{EndpointIndex, Topology, ZoneIndex};
use crate::kernel::{ProcessId, ZoneId};
use std::net::{Ipv4Addr, SocketAddr};

/// Port in the address of each simulated daemon.
const DAEMON_PORT: u16 = 7_000;

/// Process ids, in the order in which processes are added: endpoints with their daemons, gateways, the
/// ledger, callers, control replicas.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLayout {
    endpoints: usize,
    zones: usize,
}

impl ProcessLayout {
    /// Layout for a topology.
    pub fn new(topology: &Topology) -> Self {
        Self {
            endpoints: topology.endpoints.len(),
            zones: topology.zones.len(),
        }
    }

    fn process(position: usize) -> ProcessId {
        ProcessId(u32::try_from(position).expect("the number of processes fits into 32 bits"))
    }

    /// The process of an endpoint with its daemon.
    pub fn host(&self, endpoint: EndpointIndex) -> ProcessId {
        Self::process(endpoint.0)
    }

    /// The process of a zone's gateway.
    pub fn gateway(&self, zone: ZoneIndex) -> ProcessId {
        Self::process(self.endpoints + zone.0)
    }

    /// The process of the ledger.
    pub fn ledger(&self) -> ProcessId {
        Self::process(self.endpoints + self.zones)
    }

    /// The process of a zone's callers.
    pub fn callers(&self, zone: ZoneIndex) -> ProcessId {
        Self::process(self.endpoints + self.zones + 1 + zone.0)
    }

    /// The process of a control replica, if there are any.
    pub fn replica(&self, number: u32) -> ProcessId {
        Self::process(self.first_replica() + number as usize)
    }

    /// Number of a control replica; inverse of [`Self::replica`].
    pub fn replica_number(&self, replica: ProcessId) -> u32 {
        replica
            .0
            .saturating_sub(Self::process(self.first_replica()).0)
    }

    fn first_replica(&self) -> usize {
        self.endpoints + 2 * self.zones + 1
    }

    /// The network zone of a zone's machines.
    pub fn zone(zone: ZoneIndex) -> ZoneId {
        ZoneId(u16::try_from(zone.0).expect("the number of zones fits into 16 bits"))
    }

    /// The network zone of a zone's callers.
    pub fn caller_zone(&self, zone: ZoneIndex) -> ZoneId {
        Self::zone(ZoneIndex(self.zones + zone.0))
    }

    /// Address of a process, as engines use it.
    pub fn address(process: ProcessId) -> SocketAddr {
        (Ipv4Addr::from(process.0), DAEMON_PORT).into()
    }

    /// The process with an address; inverse of [`Self::address`].
    pub fn process_at(address: SocketAddr) -> ProcessId {
        match address {
            SocketAddr::V4(address) => ProcessId(u32::from(*address.ip())),
            SocketAddr::V6(_) => unreachable!("simulated processes have only IPv4 addresses"),
        }
    }
}
