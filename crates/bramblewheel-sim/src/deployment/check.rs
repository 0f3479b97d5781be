//! Validation across the fields of a deployment.

use super::Deployment;
use bramblewheel_types::ServiceName;
use thiserror::Error;

/// Greatest allowed depth of a call chain.
pub const MAX_CHAIN_DEPTH: usize = 32;
/// Allowed deviation of the sum of the flow shares from 1.
const SHARE_TOLERANCE: f64 = 1e-6;

/// A problem in a deployment.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum DeploymentProblem {
    /// The deployment has no zone.
    #[error("zones: at least one zone is needed")]
    NoZone,
    /// A service has no endpoint, or an endpoint without slots.
    #[error("service `{0}`: slots: at least one endpoint is needed, each with at least one slot")]
    NoSlots(ServiceName),
    /// A call names an unknown service or path.
    #[error("{from}: call of `{service}` `{path}`, which is not in the deployment")]
    UnknownRoute {
        /// Caller: service and path, or flow.
        from: String,
        /// Service called.
        service: ServiceName,
        /// Path called.
        path: String,
    },
    /// A call chain is deeper than [`MAX_CHAIN_DEPTH`] or has a cycle.
    #[error("call chain from `{service}` `{path}` is deeper than {MAX_CHAIN_DEPTH}")]
    TooDeep {
        /// Service called first.
        service: ServiceName,
        /// Path called first.
        path: String,
    },
    /// The shares of the flows do not add up to 1.
    #[error("flow: the shares add up to {0}, not to 1")]
    Shares(f64),
}

/// All problems of a deployment.
pub(super) fn problems(deployment: &Deployment) -> Vec<DeploymentProblem> {
    let mut found = Vec::new();
    if deployment.zones.is_empty() {
        found.push(DeploymentProblem::NoZone);
    }
    for service in &deployment.services {
        if service.slots.is_empty() || service.slots.contains(&0) {
            found.push(DeploymentProblem::NoSlots(service.name.clone()));
        }
    }
    check_calls(deployment, &mut found);
    let share: f64 = deployment.flows.iter().map(|flow| flow.share).sum();
    if (share - 1.0).abs() > SHARE_TOLERANCE {
        found.push(DeploymentProblem::Shares(share));
    }
    found
}

fn check_calls(deployment: &Deployment, found: &mut Vec<DeploymentProblem>) {
    let mut check = |from: String, service: &ServiceName, path: &str| {
        if deployment.route(service, path).is_none() {
            let (service, path) = (service.clone(), path.to_owned());
            found.push(DeploymentProblem::UnknownRoute {
                from,
                service,
                path,
            });
        }
    };
    for service in &deployment.services {
        for route in &service.routes {
            for call in &route.calls {
                check(
                    format!("{} {}", service.name, route.path),
                    &call.service,
                    &call.path,
                );
            }
        }
    }
    for flow in &deployment.flows {
        check(format!("flow {}", flow.name), &flow.service, &flow.path);
    }
    for flow in &deployment.flows {
        if chain_depth(deployment, &flow.service, &flow.path, 1).is_none() {
            let (service, path) = (flow.service.clone(), flow.path.clone());
            found.push(DeploymentProblem::TooDeep { service, path });
        }
    }
}

fn chain_depth(
    deployment: &Deployment,
    service: &ServiceName,
    path: &str,
    depth: usize,
) -> Option<usize> {
    if depth > MAX_CHAIN_DEPTH {
        return None;
    }
    let Some(route) = deployment.route(service, path) else {
        return Some(depth);
    };
    let mut deepest = depth;
    for call in &route.calls {
        deepest = deepest.max(chain_depth(
            deployment,
            &call.service,
            &call.path,
            depth + 1,
        )?);
    }
    Some(deepest)
}
