//! Which simulated process carries which endpoint, gateway, ledger, callers and control replica.

use super::topology::{EndpointIndex, Topology, ZoneIndex};
use crate::kernel::{ProcessId, ZoneId};
use std::net::{Ipv4Addr, SocketAddr};

/// Port on which each simulated daemon is said to listen.
const DAEMON_PORT: u16 = 7_000;

/// Processes in the order in which they are added: endpoints with their daemons, gateways, the
/// ledger, callers, control replicas.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLayout {
    endpoints: usize,
    zones: usize,
}

impl ProcessLayout {
    /// The layout of the processes of a topology.
    pub fn new(topology: &Topology) -> Self {
        Self {
            endpoints: topology.endpoints.len(),
            zones: topology.zones.len(),
        }
    }

    fn process(position: usize) -> ProcessId {
        ProcessId(u32::try_from(position).expect("a deployment has few processes"))
    }

    /// An endpoint with its daemon.
    pub fn host(&self, endpoint: EndpointIndex) -> ProcessId {
        Self::process(endpoint.0)
    }

    /// The gateway of a zone.
    pub fn gateway(&self, zone: ZoneIndex) -> ProcessId {
        Self::process(self.endpoints + zone.0)
    }

    /// The ledger.
    pub fn ledger(&self) -> ProcessId {
        Self::process(self.endpoints + self.zones)
    }

    /// The callers of a zone.
    pub fn callers(&self, zone: ZoneIndex) -> ProcessId {
        Self::process(self.endpoints + self.zones + 1 + zone.0)
    }

    /// A control replica, if there are any.
    pub fn replica(&self, number: u32) -> ProcessId {
        Self::process(self.first_replica() + number as usize)
    }

    /// Number of a control replica; the reverse of [`Self::replica`].
    pub fn replica_number(&self, replica: ProcessId) -> u32 {
        replica
            .0
            .saturating_sub(Self::process(self.first_replica()).0)
    }

    fn first_replica(&self) -> usize {
        self.endpoints + 2 * self.zones + 1
    }

    /// The network's name of a zone.
    pub fn zone(zone: ZoneIndex) -> ZoneId {
        ZoneId(u16::try_from(zone.0).expect("a deployment has few zones"))
    }

    /// The network zone of the callers of a zone.
    pub fn caller_zone(&self, zone: ZoneIndex) -> ZoneId {
        Self::zone(ZoneIndex(self.zones + zone.0))
    }

    /// Address under which a process is known to engines.
    pub fn address(process: ProcessId) -> SocketAddr {
        (Ipv4Addr::from(process.0), DAEMON_PORT).into()
    }

    /// The process with an address; the reverse of [`Self::address`].
    pub fn process_at(address: SocketAddr) -> ProcessId {
        match address {
            SocketAddr::V4(address) => ProcessId(u32::from(*address.ip())),
            SocketAddr::V6(_) => unreachable!("simulated processes have IPv4 addresses only"),
        }
    }
}
