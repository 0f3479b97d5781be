//! The processes that a deployment consists of.

use bramblewheel_sim::deployment::Deployment;
use bramblewheel_types::{ServiceName, ZoneName};

/// Number of control replicas; they are distributed over the zones.
const REPLICAS: usize = 3;
/// Prefix of a daemon's name; the name of its endpoint follows.
pub const DAEMON_PREFIX: &str = "daemon-";

/// The processes of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Control replicas.
    pub replicas: Vec<PlannedReplica>,
    /// Endpoints, each with a daemon.
    pub endpoints: Vec<PlannedEndpoint>,
    /// Gateways, one in each zone.
    pub gateways: Vec<PlannedGateway>,
    /// Callers, one in each zone.
    pub callers: Vec<PlannedCaller>,
}

/// A control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedReplica {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: ZoneName,
}

/// An endpoint and its daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedEndpoint {
    /// Name of the endpoint and of its process.
    pub name: String,
    /// Name of its daemon.
    pub daemon: String,
    /// Service.
    pub service: ServiceName,
    /// Zone.
    pub zone: ZoneName,
    /// Services that it calls.
    pub calls: Vec<ServiceName>,
}

/// A gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedGateway {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: ZoneName,
    /// Services that callers request.
    pub calls: Vec<ServiceName>,
}

/// A caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedCaller {
    /// Name.
    pub name: String,
    /// Names of the gateways, that of its own zone first.
    pub gateways: Vec<String>,
}

impl Plan {
    /// The processes of a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let zones = &deployment.zones;
        let replicas = (0..REPLICAS).map(|index| PlannedReplica {
            name: format!("control-{}", index + 1),
            zone: zones[index % zones.len()].clone(),
        });
        let gateways: Vec<_> = zones.iter().map(|zone| gateway(deployment, zone)).collect();
        let names: Vec<String> = gateways.iter().map(|g| g.name.clone()).collect();
        let callers = zones.iter().enumerate().map(|(index, zone)| {
            let mut preferred = names.clone();
            preferred.rotate_left(index);
            PlannedCaller {
                name: format!("caller-{zone}"),
                gateways: preferred,
            }
        });
        Self {
            replicas: replicas.collect(),
            endpoints: endpoints(deployment),
            callers: callers.collect(),
            gateways,
        }
    }

    /// Number of processes.
    pub fn process_count(&self) -> usize {
        self.replicas.len() + 2 * self.endpoints.len() + self.gateways.len() + self.callers.len()
    }
}

fn endpoints(deployment: &Deployment) -> Vec<PlannedEndpoint> {
    let mut endpoints = Vec::new();
    for service in &deployment.services {
        for position in 0..service.slots.len() {
            let name = format!("{}-{}", service.name, position + 1);
            endpoints.push(PlannedEndpoint {
                daemon: format!("{DAEMON_PREFIX}{name}"),
                name,
                service: service.name.clone(),
                zone: deployment.zone_of(position).clone(),
                calls: deployment.callees(&service.name),
            });
        }
    }
    endpoints
}

fn gateway(deployment: &Deployment, zone: &ZoneName) -> PlannedGateway {
    let flows = deployment.flows.iter();
    let mut calls: Vec<_> = flows.map(|flow| flow.service.clone()).collect();
    calls.sort();
    calls.dedup();
    PlannedGateway {
        name: format!("gateway-{zone}"),
        zone: zone.clone(),
        calls,
    }
}
