//! Initial directory of a daemon: the endpoints of the services that it calls.

use crate::requests::process_layout::ProcessLayout;
use crate::requests::topology::{EndpointIndex, ServiceIndex, Topology};
use bramblewheel_core::event::{DirectoryEndpoint, DirectoryUpdate};

/// Services that a daemon calls: those that its endpoint calls, or all for a gateway.
pub(super) fn called_services(
    topology: &Topology,
    endpoint: Option<EndpointIndex>,
) -> Vec<ServiceIndex> {
    match endpoint {
        Some(index) => {
            let service = topology.endpoints[index.0].service;
            topology.services[service.0].callees.clone()
        }
        None => (0..topology.services.len()).map(ServiceIndex).collect(),
    }
}

/// Directory of all endpoints of the called services, none of them draining.
pub(super) fn directory(
    topology: &Topology,
    layout: ProcessLayout,
    called: &[ServiceIndex],
) -> DirectoryUpdate {
    let mut live = Vec::new();
    for service in called {
        let service = &topology.services[service.0];
        live.extend(service.endpoints.iter().map(|index| {
            let endpoint = &topology.endpoints[index.0];
            DirectoryEndpoint {
                endpoint: endpoint.name.clone(),
                service: service.name.clone(),
                zone: topology.zones[endpoint.zone.0].clone(),
                address: ProcessLayout::address(layout.host(*index)),
                draining: false,
            }
        }));
    }
    DirectoryUpdate {
        is_complete: true,
        live,
        removed: Vec::new(),
    }
}
