//! A route table in force: look-up of a request's route, and the weighted choice among the route's services.

use super::{Route, RouteTable, ServiceSettings};
use crate::stable_hash::stable_hash;
use crate::tenants::TenantDirectory;
use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::ServiceName;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Fraction of the golden ratio: its multiples spread evenly over 0 to 1, so that the shares of weighted targets also
/// hold over short runs of requests.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Upper bound of a route's first request number: small enough that multiples of [`GOLDEN_RATIO_FRACTION`] keep many
/// exact digits for as long as a daemon runs.
const MAX_FIRST_COUNT: u64 = 1 << 20;

/// A route table prepared for look-ups.
#[derive(Debug)]
pub struct Router {
    version: TableVersion,
    by_host: HashMap<String, HashMap<String, Arc<ActiveRoute>>>,
    caller_idle_timeout: Option<Duration>,
    max_body_bytes: usize,
    tenants: TenantDirectory,
    services: BTreeMap<ServiceName, ServiceSettings>,
}

/// A route in force, with the state of the choice among its targets.
#[derive(Debug)]
pub struct ActiveRoute {
    /// The route as configured.
    pub route: Route,
    /// Number derived from its name, the same at all daemons.
    pub number: u64,
    total_weight: f64,
    /// Number of requests so far; its first value differs between daemons.
    request_count: AtomicU64,
}

impl Router {
    /// Prepares a table that has been checked. Daemons pass different `seed`s, so that their first requests do not all
    /// go to the same target.
    pub fn new(table: RouteTable, seed: u64) -> Self {
        let mut by_host: HashMap<String, HashMap<String, Arc<ActiveRoute>>> = HashMap::new();
        for route in table.routes {
            let routes = by_host.entry(route.host.clone()).or_default();
            let total_weight = route.targets.iter().map(|target| target.weight).sum();
            let active = ActiveRoute {
                number: stable_hash(route.name.bytes()),
                request_count: AtomicU64::new(seed % MAX_FIRST_COUNT),
                total_weight,
                route,
            };
            routes.insert(active.route.prefix.clone(), Arc::new(active));
        }
        Self {
            version: table.version,
            by_host,
            caller_idle_timeout: table.caller_idle_timeout,
            max_body_bytes: table.max_body_bytes.unwrap_or(usize::MAX),
            tenants: TenantDirectory::new(table.tenants),
            services: table.services,
        }
    }

    /// Idle time-out of callers' connections, if configured.
    pub fn caller_idle_timeout(&self) -> Option<Duration> {
        self.caller_idle_timeout
    }

    /// Version of the table.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// The tenants.
    pub fn tenants(&self) -> &TenantDirectory {
        &self.tenants
    }

    /// Whether the table has a service.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Services that routes may name, with their settings.
    pub fn services(&self) -> &BTreeMap<ServiceName, ServiceSettings> {
        &self.services
    }

    /// Maximum size of a request body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// The route with the longest prefix of `path`. Takes one look-up for each slash of the path.
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
        let request_count = self.request_count.fetch_add(1, Ordering::Relaxed);
        #[expect(clippy::cast_precision_loss, reason = "2^53 requests are out of reach")]
        let mut position =
            (request_count as f64 * GOLDEN_RATIO_FRACTION).fract() * self.total_weight;
        for target in targets {
            if position < target.weight {
                return &target.service;
            }
            position -= target.weight;
        }
        first
    }
}
