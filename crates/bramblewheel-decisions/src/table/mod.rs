//! Route tables: which service a request goes to, and with which limits.
//!
//! Rule: of the routes for the request's host, the one with the longest prefix of its path is chosen; its services
//! share the requests by weight. A table is put in force as a whole, after [`RouteTable::check`] found no error.
//!
//! Inputs: the table of the control group (as of the last update), and a request's host and path. Reason: operators
//! move traffic by replacing a table; the table alone determines which requests a change affects.
//!
//! State: [`Router`] holds the table prepared for look-ups, with a request count for each route. [`crate::tenants`]
//! handles the tenants of a table.
//!
//! Observability: metric `bramblewheel_table_version`; log lines `route table in force` (`routes`, `tenants`) and `no
//! route` (`host`, `path`); `route` and `table` in the lines of a request.

mod check;
mod router;

pub use check::TableError;
pub use router::{ActiveRoute, Router, normal_host};

use crate::tenants::Tenant;
use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::ServiceName;
use std::collections::BTreeMap;
use std::time::Duration;

/// One version of the route table, as configured by operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version of the table.
    pub version: TableVersion,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// Idle time-out of callers' connections, if configured.
    pub caller_idle_timeout: Option<Duration>,
    /// Maximum size of a request body in bytes, if configured.
    pub max_body_bytes: Option<usize>,
    /// Tenants; requests need no key if there are none.
    pub tenants: Vec<Tenant>,
}

/// Settings of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Connections that one endpoint accepts, from all daemons together.
    pub max_connections: u32,
}

/// Settings for the requests to one host whose path begins with one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host, in lower case, without a port.
    pub host: String,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: String,
    /// Services that share the requests.
    pub targets: Vec<Target>,
    /// Whether a request may run more than once.
    pub is_repeatable: bool,
    /// Time-out: longest time from the first byte to the answer.
    pub timeout: Duration,
    /// Latency objective: time within which an answer has its full value.
    pub objective: Duration,
    /// Most endpoints that may receive one request.
    pub max_attempts: u32,
    /// Importance; 0 is the most important.
    pub rank: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// One of the services that share the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other targets'; 0 or more.
    pub weight: f64,
}
