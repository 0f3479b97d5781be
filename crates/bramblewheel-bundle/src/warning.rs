//! Semantic changes between two bundles that are dangerous if unintended.

use crate::model::{Bundle, RequestLimits, ServicePolicy};
use bramblewheel_types::{Criticality, ServiceName};
use std::collections::BTreeSet;
use std::fmt;

/// A semantic change that is dangerous if unintended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Warning {
    /// Requests that were executed at most once may now be executed again.
    BecomesRepeatable {
        /// Service and path prefix.
        route: String,
    },
    /// Requests will be shed earlier than before.
    CriticalityLowered {
        /// Service; for a route, service and path prefix.
        route: String,
        /// Class before.
        before: Criticality,
        /// Class after.
        after: Criticality,
    },
    /// The operator keys that may sign the next bundle differ.
    OperatorsChanged,
    /// The next bundle needs fewer signatures.
    FewerSignatures {
        /// Required before.
        before: u32,
        /// Required after.
        after: u32,
    },
    /// Operation keys are discarded sooner.
    RetentionShortened {
        /// Milliseconds before.
        before: u64,
        /// Milliseconds after.
        after: u64,
    },
    /// A limit on retries was raised, so that retries may add more load.
    RetriesRaised {
        /// Key of the limit.
        limit: &'static str,
        /// Value before.
        before: u32,
        /// Value after.
        after: u32,
    },
    /// The service was removed, so that calls to it will be refused.
    ServiceRemoved(ServiceName),
    /// The bundle is for another deployment.
    DeploymentChanged,
}

impl fmt::Display for Warning {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BecomesRepeatable { route } => {
                write!(
                    formatter,
                    "{route}: was run at most once, may now be repeated"
                )
            }
            Self::CriticalityLowered {
                route,
                before,
                after,
            } => write!(
                formatter,
                "{route}: criticality lowered from {before} to {after}"
            ),
            Self::OperatorsChanged => formatter.write_str("operator keys changed"),
            Self::FewerSignatures { before, after } => write!(
                formatter,
                "required signatures lowered from {before} to {after}"
            ),
            Self::RetentionShortened { before, after } => write!(
                formatter,
                "retention of operation keys shortened from {before} ms to {after} ms"
            ),
            Self::RetriesRaised {
                limit,
                before,
                after,
            } => write!(formatter, "{limit} raised from {before} to {after}"),
            Self::ServiceRemoved(service) => write!(formatter, "service {service} removed"),
            Self::DeploymentChanged => formatter.write_str("bundle is for another deployment"),
        }
    }
}

/// Dangerous semantic changes between two bundles.
///
/// Routes are compared by the policy that each bundle resolves for a path, not by their text: inserting
/// a repeatable route before a non-repeatable one has the same effect as editing the latter.
pub fn warnings(before: &Bundle, after: &Bundle) -> Vec<Warning> {
    let mut warnings = Vec::new();
    if before.deployment != after.deployment {
        warnings.push(Warning::DeploymentChanged);
    }
    operator_warnings(before, after, &mut warnings);
    limit_warnings(&before.limits, &after.limits, &mut warnings);
    for (name, service) in &before.services {
        match after.services.get(name) {
            Some(next) => service_warnings(name, service, next, (before, after), &mut warnings),
            None => warnings.push(Warning::ServiceRemoved(name.clone())),
        }
    }
    warnings
}

fn operator_warnings(before: &Bundle, after: &Bundle, warnings: &mut Vec<Warning>) {
    let (old, new) = (&before.operators, &after.operators);
    if old.keys != new.keys {
        warnings.push(Warning::OperatorsChanged);
    }
    if new.required_signatures < old.required_signatures {
        warnings.push(Warning::FewerSignatures {
            before: old.required_signatures,
            after: new.required_signatures,
        });
    }
}

fn limit_warnings(before: &RequestLimits, after: &RequestLimits, warnings: &mut Vec<Warning>) {
    let (old, new) = (before.operation_retention.0, after.operation_retention.0);
    if new < old {
        warnings.push(Warning::RetentionShortened {
            before: old,
            after: new,
        });
    }
    let limits = [
        ("retry_tokens", before.retry_tokens, after.retry_tokens),
        (
            "retry_ratio_percent",
            before.retry_ratio_percent,
            after.retry_ratio_percent,
        ),
    ];
    for (limit, before, after) in limits {
        if after > before {
            warnings.push(Warning::RetriesRaised {
                limit,
                before,
                after,
            });
        }
    }
}

fn service_warnings(
    name: &ServiceName,
    old: &ServicePolicy,
    new: &ServicePolicy,
    (before, after): (&Bundle, &Bundle),
    warnings: &mut Vec<Warning>,
) {
    if new.criticality < old.criticality {
        warnings.push(Warning::CriticalityLowered {
            route: name.to_string(),
            before: old.criticality,
            after: new.criticality,
        });
    }
    let routes = old.routes.iter().chain(&new.routes);
    let prefixes: BTreeSet<&str> = routes.map(|route| route.prefix.as_str()).collect();
    for prefix in prefixes {
        let (Some(old_route), Some(new_route)) =
            (before.resolve(name, prefix), after.resolve(name, prefix))
        else {
            continue;
        };
        let route = format!("{name} {prefix}");
        if !old_route.repeatable && new_route.repeatable {
            let route = route.clone();
            warnings.push(Warning::BecomesRepeatable { route });
        }
        if new_route.criticality < old_route.criticality {
            warnings.push(Warning::CriticalityLowered {
                route,
                before: old_route.criticality,
                after: new_route.criticality,
            });
        }
    }
}
