//! Targets of faults: named by the scenario, or drawn.

use super::World;
use crate::kernel::ProcessId;
use crate::requests::scenario::file::{Fault, MachineKind};
use crate::requests::topology::{EndpointIndex, ServiceIndex, ZoneIndex};
use rand::RngExt;

impl World {
    pub(super) fn service(&mut self, fault: &Fault) -> ServiceIndex {
        let topology = self.simulation.topology();
        let named = fault.service.as_ref().and_then(|name| {
            let mut services = topology.services.iter();
            services.position(|service| service.name.as_str() == name)
        });
        let count = topology.services.len();
        ServiceIndex(named.unwrap_or_else(|| self.random.random_range(0..count)))
    }

    pub(super) fn endpoint(&mut self, fault: &Fault) -> EndpointIndex {
        let service = self.service(fault);
        let endpoints = self.endpoints_of(service);
        endpoints[self.random.random_range(0..endpoints.len())]
    }

    pub(super) fn machine(&mut self, kind: MachineKind, fault: &Fault) -> ProcessId {
        let layout = self.simulation.layout();
        match kind {
            MachineKind::Endpoint => {
                let endpoint = self.endpoint(fault);
                layout.host(endpoint)
            }
            MachineKind::Gateway => {
                let zones = self.simulation.topology().zones.len();
                layout.gateway(ZoneIndex(self.random.random_range(0..zones)))
            }
            MachineKind::Replica => layout.replica(self.random.random_range(0..self.replicas)),
            MachineKind::Leader => {
                let drawn = self.random.random_range(0..self.replicas);
                layout.replica(self.simulation.leader(self.replicas).unwrap_or(drawn))
            }
        }
    }
}
