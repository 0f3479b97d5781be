//! Validation of a route table before it is put in force.

use super::{Route, RouteTable, Target};
use crate::tenants::{self, TenantError};
use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::ServiceName;
use std::collections::HashMap;
use std::time::Duration;
use thiserror::Error;

/// Time by which a latency objective may exceed its route's time-out.
const MAX_OBJECTIVE_EXCESS: Duration = Duration::from_secs(60);

/// Why a route table cannot be put in force.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TableError {
    /// A route names a service that the table does not define.
    #[error("route {route}: unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and prefix")]
    SameHostAndPrefix {
        /// One of them.
        first: String,
        /// The other.
        second: String,
    },
    /// A prefix does not start and end with a slash.
    #[error("route {0}: the prefix must start and end with a slash")]
    BadPrefix(String),
    /// A weight is negative or not finite.
    #[error("route {0}: a weight is below zero")]
    BadWeight(String),
    /// A route has no target.
    #[error("route {0}: no service")]
    NoTarget(String),
    /// A route allows no attempt.
    #[error("route {0}: no attempt is allowed")]
    NoAttempts(String),
    /// A latency objective exceeds the time-out by too much.
    #[error("route {0}: the latency objective exceeds the time-out by a minute or more")]
    ObjectiveOverTimeout(String),
    /// Its tenants are invalid.
    #[error(transparent)]
    Tenants(#[from] TenantError),
    /// The version is the one that stands for no table.
    #[error("version 0 stands for no table")]
    NoVersion,
}

/// The requests that a route applies to.
#[derive(PartialEq, Eq, Hash)]
struct HostAndPrefix<'a> {
    host: &'a str,
    prefix: &'a str,
}

impl RouteTable {
    /// Checks a table on its own, without regard to the table in force.
    ///
    /// # Errors
    /// The first [`TableError`] found.
    pub fn check(&self) -> Result<(), TableError> {
        if self.version == TableVersion::default() {
            return Err(TableError::NoVersion);
        }
        let mut known: HashMap<HostAndPrefix, &Route> = HashMap::new();
        for route in &self.routes {
            self.check_route(route)?;
            let requests = HostAndPrefix {
                host: &route.host,
                prefix: &route.prefix,
            };
            if let Some(other) = known.insert(requests, route) {
                return Err(TableError::SameHostAndPrefix {
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
