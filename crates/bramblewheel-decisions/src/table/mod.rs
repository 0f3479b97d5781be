//! Route tables: which service a request goes to, and under which terms.

use crate::stable_hash::stable_hash;
use crate::tenants::{self, Tenant, TenantDirectory, TenantError};
use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::ServiceName;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use thiserror::Error;

/// By how much a latency objective may exceed its route's time-out.
const MAX_OBJECTIVE_EXCESS: Duration = Duration::from_secs(60);
/// Fraction of the golden ratio: multiples of it spread evenly over 0 to 1, so that shares of
/// weighted targets hold over short runs of requests too.
const SPREAD: f64 = 0.618_033_988_749_895;

/// One version of the routes, as operators state it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version of the table.
    pub version: TableVersion,
    /// Routes, in any order.
    pub routes: Vec<Route>,
    /// Services that routes may name.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
    /// How long a caller's connection may rest between two requests, if stated.
    pub caller_rest: Option<Duration>,
    /// Longest body of a request in bytes, if stated.
    pub longest_body: Option<usize>,
    /// Tenants; requests need no key where there are none.
    pub tenants: Vec<Tenant>,
}

/// Terms of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceSettings {
    /// Connections that one endpoint takes, from all together.
    pub max_connections: u32,
}

/// Terms of the requests to one host whose path begins with one prefix.
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
    /// Whether a request may be run more than once.
    pub is_repeatable: bool,
    /// Longest time from the first byte to the answer.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Endpoints that may be sent one request.
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
    /// Its share, relative to the other targets'.
    pub weight: f64,
}

/// A route table can't be put in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// A route names a service that the table does not have.
    #[error("route {route}: unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have one host and prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    SamePlace {
        /// One of them.
        first: String,
        /// The other.
        second: String,
    },
    /// A prefix does not start and end with a slash.
    #[error("route {0}: the prefix must start and end with a slash")]
    BadPrefix(String),
    /// A weight is below zero or no number.
    #[error("route {0}: a weight is below zero")]
    BadWeight(String),
    /// A route has no target.
    #[error("route {0}: no service")]
    NoTarget(String),
    /// A route allows no attempt.
    #[error("route {0}: no attempt is allowed")]
    NoAttempts(String),
    /// A latency objective goes far beyond the time-out.
    #[error("route {0}: the latency objective exceeds the time-out by a minute or more")]
    ObjectiveOverTimeout(String),
    /// What it says of tenants does not hold together.
    #[error(transparent)]
    Tenants(#[from] TenantError),
    /// The version is that of no table.
    #[error("version 0 stands for no table")]
    NoVersion,
}

impl RouteTable {
    /// Checks what a table says by itself.
    ///
    /// # Errors
    /// The first [`TableError`] found.
    pub fn check(&self) -> Result<(), TableError> {
        if self.version == TableVersion::default() {
            return Err(TableError::NoVersion);
        }
        let mut places: HashMap<(&str, &str), &Route> = HashMap::new();
        for route in &self.routes {
            self.check_route(route)?;
            let place = (route.host.as_str(), route.prefix.as_str());
            if let Some(other) = places.insert(place, route) {
                return Err(TableError::SamePlace {
                    first: other.name.clone(),
                    second: route.name.clone(),
                });
            }
        }
        tenants::check(&self.tenants)?;
        Ok(())
    }

    fn check_route(&self, route: &Route) -> Result<(), TableError> {
        let name = || route.name.clone();
        if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
            return Err(TableError::BadPrefix(name()));
        }
        if route.targets.is_empty() {
            return Err(TableError::NoTarget(name()));
        }
        let is_bad = |target: &Target| !target.weight.is_finite() || target.weight < 0.0;
        if route.targets.iter().any(is_bad) {
            return Err(TableError::BadWeight(name()));
        }
        let is_unknown = |target: &&Target| !self.services.contains_key(&target.service);
        if let Some(target) = route.targets.iter().find(is_unknown) {
            return Err(TableError::UnknownService {
                route: name(),
                service: target.service.clone(),
            });
        }
        if route.max_attempts == 0 {
            return Err(TableError::NoAttempts(name()));
        }
        if route.objective >= route.timeout + MAX_OBJECTIVE_EXCESS {
            return Err(TableError::ObjectiveOverTimeout(name()));
        }
        Ok(())
    }
}

/// A route table prepared for look-ups.
#[derive(Debug)]
pub struct Router {
    version: TableVersion,
    by_host: HashMap<String, HashMap<String, Arc<ActiveRoute>>>,
    caller_rest: Option<Duration>,
    longest_body: usize,
    tenants: TenantDirectory,
}

/// A route in force, with what the choice among its targets needs.
#[derive(Debug)]
pub struct ActiveRoute {
    /// The route as stated.
    pub route: Route,
    /// Number that stands for its name, the same at all daemons.
    pub number: u64,
    total_weight: f64,
    /// Requests so far; where it begins differs between daemons.
    turn: AtomicU64,
}

impl Router {
    /// Prepares a table that was checked. Daemons pass different `seed`s, so that their first
    /// requests don't all go to the same target.
    pub fn new(table: RouteTable, seed: u64) -> Self {
        let mut by_host: HashMap<String, HashMap<String, Arc<ActiveRoute>>> = HashMap::new();
        for route in table.routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            let total_weight = route.targets.iter().map(|target| target.weight).sum();
            let active = ActiveRoute {
                number: stable_hash(route.name.bytes()),
                turn: AtomicU64::new(seed % (1 << 20)),
                total_weight,
                route,
            };
            routes.insert(active.route.prefix.clone(), Arc::new(active));
        }
        Self {
            version: table.version,
            by_host,
            caller_rest: table.caller_rest,
            longest_body: table.longest_body.unwrap_or(usize::MAX),
            tenants: TenantDirectory::new(table.tenants),
        }
    }

    /// How long a caller's connection may rest between two requests, if stated.
    pub fn caller_rest(&self) -> Option<Duration> {
        self.caller_rest
    }

    /// Version of the table.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// The tenants.
    pub fn tenants(&self) -> &TenantDirectory {
        &self.tenants
    }

    /// Longest body of a request, in bytes.
    pub fn longest_body(&self) -> usize {
        self.longest_body
    }

    /// The route of the longest prefix that begins `path`. One look-up for each slash of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ActiveRoute>> {
        let routes = self.by_host.get(normal_host(host).as_str())?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}

/// A host without its port, in lower case.
pub fn normal_host(host: &str) -> String {
    let name = host.rsplit_once(':').map_or(host, |(name, port)| {
        let is_port = port.bytes().all(|byte| byte.is_ascii_digit());
        if is_port { name } else { host }
    });
    name.to_ascii_lowercase()
}

impl ActiveRoute {
    /// The service that the next request goes to.
    pub fn next_target(&self) -> &ServiceName {
        let targets = &self.route.targets;
        let first = &targets[0].service;
        if targets.len() == 1 || self.total_weight <= 0.0 {
            return first;
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        #[expect(clippy::cast_precision_loss, reason = "2^53 requests are out of reach")]
        let mut position = (turn as f64 * SPREAD).fract() * self.total_weight;
        for target in targets {
            if position < target.weight {
                return &target.service;
            }
            position -= target.weight;
        }
        first
    }
}
