//! A deployment with all names resolved to indices, for use by the models.

use crate::deployment::{Deployment, FlowModel, NetworkModel, ReportModel, RouteModel};
use bramblewheel_types::{EndpointId, ServiceName, ZoneName};
use std::time::Duration;

/// Index of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneIndex(pub usize);

/// Index of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceIndex(pub usize);

/// Index of an endpoint among all endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub usize);

/// Index of a route among the routes of all services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteIndex(pub usize);

/// Index of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowIndex(pub usize);

/// A deployment that is ready for simulation.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Zones by index.
    pub zones: Vec<ZoneName>,
    /// Services by index.
    pub services: Vec<Service>,
    /// Endpoints by index.
    pub endpoints: Vec<Endpoint>,
    /// Routes by index.
    pub routes: Vec<Route>,
    /// Flows by index.
    pub flows: Vec<Flow>,
    network: NetworkModel,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Endpoints.
    pub endpoints: Vec<EndpointIndex>,
    /// Services that the service calls directly.
    pub callees: Vec<ServiceIndex>,
}

/// An endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name, such as `kassa-1`.
    pub name: EndpointId,
    /// Service.
    pub service: ServiceIndex,
    /// Zone.
    pub zone: ZoneIndex,
    /// Number of requests that run at the same time.
    pub slots: u32,
    /// Number of connections that the endpoint accepts; each carries one request at a time.
    pub connections: u32,
    /// Time after a start during which the endpoint is slow.
    pub cold_start: Duration,
    /// Slow-down factor right after a start.
    pub cold_factor: f64,
    /// Deviation of the load report from the true load.
    pub report: ReportModel,
}

/// Work of a service for one path.
#[derive(Clone, Debug)]
pub struct Route {
    /// The service.
    pub service: ServiceIndex,
    /// The path.
    pub path: String,
    /// Median time of the service's own work.
    pub work: Duration,
    /// Sigma of the log-normal distribution of the own work.
    pub work_sigma: f64,
    /// Sub-calls, each listed as often as it is made.
    pub calls: Vec<RouteIndex>,
    /// Whether the sub-calls are made in parallel.
    pub parallel: bool,
}

/// A flow: one kind of root request.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Settings in the deployment file.
    pub model: FlowModel,
    /// The route called.
    pub route: RouteIndex,
}

/// Index of the route that a call names; the deployment has been checked to contain it.
fn route_index(names: &[(ServiceName, String)], service: &ServiceName, path: &str) -> RouteIndex {
    let position = names
        .iter()
        .position(|(known, known_path)| known == service && known_path == path);
    RouteIndex(position.expect("each call of a checked deployment names an existing route"))
}

impl Topology {
    /// Resolves a checked deployment.
    ///
    /// # Panics
    /// If the deployment was built without [`crate::deployment::parse`] and names an unknown route.
    pub fn new(deployment: &Deployment) -> Self {
        let names: Vec<(ServiceName, String)> = deployment
            .services
            .iter()
            .flat_map(|service| {
                let of_route = |route: &RouteModel| (service.name.clone(), route.path.clone());
                service.routes.iter().map(of_route)
            })
            .collect();
        let mut topology = Self {
            zones: deployment.zones.clone(),
            services: Vec::new(),
            endpoints: Vec::new(),
            routes: Vec::new(),
            flows: Vec::new(),
            network: deployment.network.clone(),
        };
        topology.add_services(deployment, &names);
        for flow in &deployment.flows {
            topology.flows.push(Flow {
                model: flow.clone(),
                route: route_index(&names, &flow.service, &flow.path),
            });
        }
        topology
    }

    fn add_services(&mut self, deployment: &Deployment, names: &[(ServiceName, String)]) {
        for (position, model) in deployment.services.iter().enumerate() {
            let index = ServiceIndex(position);
            let mut endpoints = Vec::new();
            for (number, slots) in model.slots.iter().enumerate() {
                endpoints.push(EndpointIndex(self.endpoints.len()));
                self.endpoints.push(Endpoint {
                    name: EndpointId::new(&format!("{}-{}", model.name, number + 1))
                        .expect("a service name with a number is a valid endpoint name"),
                    service: index,
                    zone: ZoneIndex(number % self.zones.len()),
                    slots: *slots,
                    connections: model.connections,
                    cold_start: Duration::from_millis(model.cold_start_ms),
                    cold_factor: model.cold_factor,
                    report: model.report,
                });
            }
            let is_callee = |name: &ServiceName| deployment.callees(&model.name).contains(name);
            let callees = deployment.services.iter().enumerate();
            let callees = callees.filter(|(_, other)| is_callee(&other.name));
            self.services.push(Service {
                name: model.name.clone(),
                endpoints,
                callees: callees
                    .map(|(position, _)| ServiceIndex(position))
                    .collect(),
            });
            for route in &model.routes {
                self.routes.push(resolve_route(index, route, names));
            }
        }
    }

    /// Index of the service of that name.
    pub fn service_index(&self, name: &ServiceName) -> Option<ServiceIndex> {
        let position = self.services.iter().position(|s| s.name == *name);
        position.map(ServiceIndex)
    }

    /// One-way delay between two zones.
    pub fn delay(&self, from: ZoneIndex, to: ZoneIndex) -> Duration {
        let micros = if from == to {
            self.network.within_zone_us
        } else {
            self.network.between_zones_us
        };
        Duration::from_micros(micros)
    }

    /// One-way delay between a client and the deployment.
    pub fn client_delay(&self) -> Duration {
        Duration::from_micros(self.network.to_clients_us)
    }

    /// Time to open a connection.
    pub fn connect_time(&self) -> Duration {
        Duration::from_micros(self.network.new_connection_us)
    }

    /// One-way delay between two different zones.
    pub fn delay_between_zones(&self) -> Duration {
        Duration::from_micros(self.network.between_zones_us)
    }
}

fn resolve_route(
    service: ServiceIndex,
    route: &RouteModel,
    names: &[(ServiceName, String)],
) -> Route {
    let mut calls = Vec::new();
    for call in &route.calls {
        let index = route_index(names, &call.service, &call.path);
        calls.extend((0..call.count).map(|_| index));
    }
    Route {
        service,
        path: route.path.clone(),
        work: Duration::from_micros(route.work_us),
        work_sigma: route.work_sigma,
        calls,
        parallel: route.parallel,
    }
}
