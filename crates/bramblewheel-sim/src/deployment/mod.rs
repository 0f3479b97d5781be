//! Model of a deployment: zones, services, endpoints, call graph and mix of requests.
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
    /// Zones; endpoints are spread over them in turn.
    pub zones: Vec<ZoneName>,
    /// Delays of the network.
    pub network: NetworkModel,
    /// Services of the call graph.
    #[serde(rename = "service")]
    pub services: Vec<ServiceModel>,
    /// Kinds of root requests.
    #[serde(rename = "flow")]
    pub flows: Vec<FlowModel>,
}

/// Delays of the network, one way, in microseconds.
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
    /// Requests that each endpoint can run side by side; one number per endpoint.
    pub slots: Vec<u32>,
    /// Connections that each endpoint accepts.
    pub connections: u32,
    /// Time after a start during which requests take up to `cold_factor` times as long.
    #[serde(default)]
    pub cold_start_ms: u64,
    /// Slow-down of the first request after a start.
    #[serde(default = "default_cold_factor")]
    pub cold_factor: f64,
    /// How the endpoint's own load report relates to the truth.
    #[serde(default)]
    pub report: ReportModel,
    /// What the service does for each path.
    #[serde(rename = "route")]
    pub routes: Vec<RouteModel>,
}

fn default_cold_factor() -> f64 {
    1.0
}

/// How an endpoint's own load report relates to the truth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportModel {
    /// Age of the numbers reported, in milliseconds.
    #[serde(default)]
    pub lag_ms: u64,
    /// Share of the true load that the report leaves out, 0 to 1.
    #[serde(default)]
    pub flattery: f64,
}

/// What a service does for one path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteModel {
    /// Exact path.
    pub path: String,
    /// Median of the endpoint's own work, in microseconds, without its sub-calls.
    pub work_us: u64,
    /// Spread of the work: sigma of a log-normal distribution; 0 makes it constant.
    #[serde(default)]
    pub work_sigma: f64,
    /// Sub-calls, made after half of the own work.
    #[serde(default, rename = "call")]
    pub calls: Vec<SubCallModel>,
    /// Whether the sub-calls go out together rather than one after another.
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
    /// Times it is called, each with other content.
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
    /// The service of that name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceModel> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// What a service does for a path.
    pub fn route(&self, service: &ServiceName, path: &str) -> Option<&RouteModel> {
        self.service(service)?
            .routes
            .iter()
            .find(|route| route.path == path)
    }

    /// Services that the endpoints of `service` call directly.
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

    /// Zone of the endpoint with that position among a service's endpoints.
    pub fn zone_of(&self, endpoint_position: usize) -> &ZoneName {
        &self.zones[endpoint_position % self.zones.len()]
    }
}
