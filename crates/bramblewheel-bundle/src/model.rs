//! The bundle as the system uses it: already checked, with defaults filled in.

use crate::sections::Head;
use bramblewheel_types::{BundleVersion, Criticality, Millis, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One version of the configuration that operators sign and roll out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// Strictly rising version, chosen by the operators.
    pub version: BundleVersion,
    /// Deployment the bundle is for, such as `torgnett`.
    pub deployment: String,
    /// Who may sign the next bundle, and how many of them must.
    pub operators: OperatorPolicy,
    /// Limits that hold for every request tree.
    pub limits: RequestLimits,
    /// Policies by service.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
}

/// Keys that may sign the next bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorPolicy {
    /// Signatures by different keys that a bundle needs.
    pub required_signatures: u32,
    /// Operator name to Ed25519 public key.
    pub keys: BTreeMap<String, OperatorPublicKey>,
}

/// An operator's Ed25519 public key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperatorPublicKey(pub [u8; 32]);

/// Limits that hold for every request tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Extra attempts one original request may cause in its whole call tree.
    pub retry_tokens: u32,
    /// Retries allowed per 100 first tries, per caller and per called service.
    pub retry_ratio_percent: u32,
    /// Deepest call accepted; the root call has depth 1.
    pub max_depth: u8,
    /// Free re-routes of one call after a refusal that cost nothing (draining, stale route).
    pub max_free_reroutes: u8,
    /// Age beyond which an operation key is refused, so that it may be forgotten.
    pub operation_retention: Millis,
}

/// Policy of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePolicy {
    /// Importance of a root request to this service where no route says otherwise.
    pub criticality: Criticality,
    /// Deadline of a root request where no route says otherwise.
    pub deadline: Millis,
    /// Admission control at the service's own daemons.
    pub admission: AdmissionPolicy,
    /// How callers choose among the service's endpoints.
    pub routing: RoutingPolicy,
    /// Routes in order; the first whose prefix matches applies.
    pub routes: Vec<RoutePolicy>,
}

/// Admission control of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionPolicy {
    /// Calls that may wait per endpoint.
    pub queue_length: u32,
    /// Concurrency limit is never below this.
    pub min_concurrency: u32,
    /// Concurrency limit is never above this; normally the endpoint's slots.
    pub max_concurrency: u32,
    /// Sessions an endpoint may hold open.
    pub max_sessions: u32,
}

/// How callers choose among a service's endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingPolicy {
    /// Calls leave the own zone once its endpoints' mean load passes this percentage.
    pub spill_over_percent: u32,
    /// Time over which a new or returning endpoint is brought to its full share.
    pub slow_start: Millis,
    /// Share of a service's endpoints that may be ejected at one time.
    pub max_ejected_percent: u32,
    /// Connections a daemon keeps to one endpoint's daemon.
    pub max_connections: u32,
}

/// Policy of the paths that begin with `prefix`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePolicy {
    /// Path prefix, such as `/pay`.
    pub prefix: String,
    /// Importance of a root request to this route.
    pub criticality: Option<Criticality>,
    /// Deadline of a root request to this route.
    pub deadline: Option<Millis>,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
}

/// What the bundle says of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// Importance of a root request.
    pub criticality: Criticality,
    /// Deadline of a root request.
    pub deadline: Millis,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
}

impl Bundle {
    /// First section: which bundle it is and who may sign the next one.
    pub fn head(&self) -> Head {
        Head {
            version: self.version,
            deployment: self.deployment.clone(),
            operators: self.operators.clone(),
        }
    }

    /// Policy of a service, if the bundle knows the service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServicePolicy> {
        self.services.get(service)
    }

    /// What the bundle says of a request to `path` of `service`.
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
