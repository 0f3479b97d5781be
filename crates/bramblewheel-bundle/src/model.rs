//! The configuration bundle after parsing, with defaults filled in.

use crate::sections::Head;
use bramblewheel_types::{BundleVersion, Criticality, Millis, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One version of the configuration that operators sign and roll out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// Version, chosen by the operators; strictly increasing.
    pub version: BundleVersion,
    /// Name of the deployment that the bundle belongs to, such as `torgnett`.
    pub deployment: String,
    /// Operators that may sign the next bundle, and the number of signatures it needs.
    pub operators: OperatorPolicy,
    /// Limits for every request tree.
    pub limits: RequestLimits,
    /// Policies by service.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
}

/// Operators that may sign the next bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorPolicy {
    /// Number of signatures by different keys that a bundle needs.
    pub required_signatures: u32,
    /// Ed25519 public keys by operator name.
    pub keys: BTreeMap<String, OperatorPublicKey>,
}

/// An operator's Ed25519 public key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperatorPublicKey(pub [u8; 32]);

/// Limits for every request tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Extra attempts that one root request may cause in its whole call tree.
    pub retry_tokens: u32,
    /// Retries allowed per 100 first attempts, per caller and called service.
    pub retry_ratio_percent: u32,
    /// Maximum call depth accepted; the root call has depth 1.
    pub max_depth: u8,
    /// Reroutes of one call that cost no retry token, after a refusal because of draining or a stale route.
    pub max_free_reroutes: u8,
    /// Age beyond which an operation key is refused, so that older keys need not be kept.
    pub operation_retention: Millis,
}

/// Policy of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Criticality of root requests to this service; a route may override it.
    pub criticality: Criticality,
    /// Deadline of root requests to this service; a route may override it.
    pub deadline: Millis,
    /// Admission control at the daemons of the service's endpoints.
    pub admission: AdmissionPolicy,
    /// Load balancing over the service's endpoints.
    pub routing: RoutingPolicy,
    /// Routes in order of precedence; the first whose prefix matches applies.
    pub routes: Vec<RoutePolicy>,
}

/// Admission control of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionPolicy {
    /// Maximum number of queued calls per endpoint.
    pub queue_length: u32,
    /// Lower bound of the concurrency limit.
    pub min_concurrency: u32,
    /// Upper bound of the concurrency limit; normally the endpoint's number of slots.
    pub max_concurrency: u32,
    /// Maximum number of open sessions per endpoint.
    pub max_sessions: u32,
}

/// Load balancing over a service's endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingPolicy {
    /// Mean load of the endpoints in the caller's zone, in percent, above which calls go to other zones.
    pub spill_over_percent: u32,
    /// Ramp-up time of a new or returning endpoint to its full share of the load.
    pub slow_start: Millis,
    /// Maximum percentage of a service's endpoints that may be ejected at the same time.
    pub max_ejected_percent: u32,
    /// Maximum number of connections from a daemon to the daemon of one endpoint.
    pub max_connections: u32,
}

/// Policy of the paths that begin with `prefix`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePolicy {
    /// Prefix of the path, such as `/pay`.
    pub prefix: String,
    /// Criticality of root requests to this route; the service's one if absent.
    pub criticality: Option<Criticality>,
    /// Deadline of root requests to this route; the service's one if absent.
    pub deadline: Option<Millis>,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
}

/// Policy that applies to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// Criticality of a root request.
    pub criticality: Criticality,
    /// Deadline of a root request.
    pub deadline: Millis,
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
}

impl Bundle {
    /// First section of the encoding: version, deployment and operators.
    pub fn head(&self) -> Head {
        Head {
            version: self.version,
            deployment: self.deployment.clone(),
            operators: self.operators.clone(),
        }
    }

    /// Policy of a service, or `None` if the bundle does not list the service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServicePolicy> {
        self.services.get(service)
    }

    /// Policy for a request to `path` of `service`, or `None` if the bundle does not list the service.
    pub fn resolve(&self, service: &ServiceName, path: &str) -> Option<ResolvedRoute> {
        let policy = self.service(service)?;
        let route = policy
            .routes
            .iter()
            .find(|route| path.starts_with(&route.prefix));
        Some(ResolvedRoute {
            criticality: route
                .and_then(|r| r.criticality)
                .unwrap_or(policy.criticality),
            deadline: route.and_then(|r| r.deadline).unwrap_or(policy.deadline),
            repeatable: route.is_none_or(|r| r.repeatable),
        })
    }
}
