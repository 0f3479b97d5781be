//! Model of a deployment: zones, services, endpoints, call graph and request mix.
//!
//! The simulator and the process fleet read the same files (`examples/deployments/`).

mod check;
mod load;
#[cfg(test)]
mod tests;

pub use check::DeploymentProblem;
pub use load::{DeploymentError, parse};

use bramblewheel_types::{RegionName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// One deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Name, such as `torgnett`.
    pub name: String,
    /// Region that holds all zones.
    pub region: RegionName,
    /// Zones; endpoints are assigned to them in turn.
    pub zones: Vec<ZoneName>,
    /// Network delays.
    pub network: NetworkModel,
    /// Services of the call graph.
    #[serde(rename = "service")]
    pub services: Vec<ServiceModel>,
    /// Kinds of root requests.
    #[serde(rename = "flow")]
    pub flows: Vec<FlowModel>,
}

/// One-way network delays in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkModel {
    /// Between two zones.
    pub between_zones_us: u64,
    /// Inside a zone.
    pub within_zone_us: u64,
    /// Between a client and the gateway of a zone.
    pub to_clients_us: u64,
    /// Opening a new connection.
    pub new_connection_us: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceModel {
    /// Name.
    pub name: ServiceName,
    /// Requests that each endpoint can run at the same time; one number per endpoint.
    pub slots: Vec<u32>,
    /// Connections that each endpoint accepts.
    pub connections: u32,
    /// Time after a start during which requests take up to `cold_factor` times as long.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// Slow-down of the first request after a start.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// Inaccuracy of the load reports of its endpoints.
    #[serde(default)]
    pub report: ReportModel,
    /// Behaviour per path.
    #[serde(rename = "route")]
    pub routes: Vec<RouteModel>,
}

fn default_cold_factor() -> f64 {
    1.0
}

/// Inaccuracy of the load reports of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportModel {
    /// Age of the reported numbers, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// Share of the true load that the report omits, from 0 to 1.
    #[serde(default)]
    pub flattery: f64,
}

/// Behaviour of a service for one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteModel {
    /// Exact path.
    pub path: String,
    /// Median of the work of the endpoint itself without sub-calls, in microseconds.
    pub work_us: u64,
    /// Spread of the work: sigma of a log-normal distribution; 0 makes it constant.
    #[serde(default)]
    pub work_sigma: f64,
    /// Sub-calls, made after half of the endpoint's own work.
    #[serde(default, rename = "call")]
    pub calls: Vec<SubCallModel>,
    /// Whether the sub-calls are made at the same time rather than one after another.
    #[serde(default)]
    pub parallel: bool,
}

/// One sub-call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubCallModel {
    /// Service called.
    pub service: ServiceName,
    /// Path called.
    pub path: String,
    /// Number of calls, each with different content.
    #[serde(default = "default_count")]
    pub count: u32,
}

fn default_count() -> u32 {
    1
}

/// One kind of root request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowModel {
    /// Name in reports.
    pub name: String,
    /// Service called.
    pub service: ServiceName,
    /// Path called.
    pub path: String,
    /// Share of all root requests; the shares of a deployment add up to 1.
    pub share: f64,
    /// Time the client waits, in milliseconds.
    pub deadline_ms: u64,
    /// Share of the requests that belong to an open session.
    #[serde(default)]
    pub in_session: f64,
    /// Whether the request carries an operation key.
    #[serde(default)]
    pub run_once: bool,
}

impl Deployment {
    /// The service with the given name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceModel> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Behaviour of a service for a path.
    pub fn route(&self, service: &ServiceName, path: &str) -> Option<&RouteModel> {
        self.service(service)?
            .routes
            .iter()
            .find(|route| route.path == path)
    }

    /// Services that the endpoints of `service` call directly, sorted by name.
    pub fn callees(&self, service: &ServiceName) -> Vec<ServiceName> {
        let Some(model) = self.service(service) else {
            return Vec::new();
        };
        let calls = model.routes.iter().flat_map(|route| &route.calls);
        let mut names: Vec<_> = calls.map(|call| call.service.clone()).collect();
        names.sort();
        names.dedup();
        names
    }

    /// Zone of the endpoint at the given position among the endpoints of a service.
    pub fn zone_of(&self, endpoint_position: usize) -> &ZoneName {
        &self.zones[endpoint_position % self.zones.len()]
    }
}
