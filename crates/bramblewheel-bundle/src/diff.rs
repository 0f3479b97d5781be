//! Differences between two bundles, value by value.

use crate::model::{Bundle, OperatorPublicKey, RequestLimits, RoutePolicy, ServicePolicy};
use bramblewheel_types::Criticality;
use std::collections::BTreeMap;
use std::fmt;

/// A value of a bundle, for display.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A number; times are in milliseconds.
    Number(u64),
    /// A string.
    Text(String),
    /// A boolean.
    Flag(bool),
    /// A criticality class.
    Criticality(Criticality),
    /// An operator's public key.
    PublicKey(OperatorPublicKey),
}

impl fmt::Display for Value {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) => number.fmt(formatter),
            Self::Text(text) => formatter.write_str(text),
            Self::Flag(flag) => flag.fmt(formatter),
            Self::Criticality(criticality) => criticality.fmt(formatter),
            Self::PublicKey(key) => formatter.write_str(&hex::encode(key.0)),
        }
    }
}

/// One difference between two bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key in dotted form; services are identified by name, routes by their prefix.
    pub key: String,
    /// Value before; `None` if the key is new.
    pub before: Option<Value>,
    /// Value after; `None` if the key was removed.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                write!(formatter, "~ {}: {before} -> {after}", self.key)
            }
            (None, Some(after)) => write!(formatter, "+ {}: {after}", self.key),
            (Some(before), None) => write!(formatter, "- {}: {before}", self.key),
            (None, None) => write!(formatter, "  {}", self.key),
        }
    }
}

/// All differences between two bundles, ordered by key.
pub fn changes(before: &Bundle, after: &Bundle) -> Vec<Change> {
    let mut before = flatten(before);
    let after = flatten(after);
    let mut changes = Vec::new();
    for (key, after) in after {
        let before = before.remove(&key);
        if before.as_ref() != Some(&after) {
            changes.push(Change {
                key,
                before,
                after: Some(after),
            });
        }
    }
    changes.extend(before.into_iter().map(|(key, before)| Change {
        key,
        before: Some(before),
        after: None,
    }));
    changes.sort_by(|a, b| a.key.cmp(&b.key));
    changes
}

fn flatten(bundle: &Bundle) -> BTreeMap<String, Value> {
    let operators = &bundle.operators;
    let mut values = BTreeMap::from([
        ("version".to_owned(), Value::Number(bundle.version.0)),
        (
            "deployment".to_owned(),
            Value::Text(bundle.deployment.clone()),
        ),
        (
            "operators.required_signatures".to_owned(),
            Value::Number(operators.required_signatures.into()),
        ),
    ]);
    for (name, key) in &operators.keys {
        values.insert(format!("operators.key.{name}"), Value::PublicKey(*key));
    }
    for (name, value) in limit_values(&bundle.limits) {
        values.insert(format!("limits.{name}"), Value::Number(value));
    }
    for (name, service) in &bundle.services {
        flatten_service(&format!("service.{name}"), service, &mut values);
    }
    values
}

fn limit_values(limits: &RequestLimits) -> [(&'static str, u64); 5] {
    [
        ("retry_tokens", limits.retry_tokens.into()),
        ("retry_ratio_percent", limits.retry_ratio_percent.into()),
        ("max_depth", limits.max_depth.into()),
        ("max_free_reroutes", limits.max_free_reroutes.into()),
        ("operation_retention_ms", limits.operation_retention.0),
    ]
}

fn flatten_service(path: &str, service: &ServicePolicy, values: &mut BTreeMap<String, Value>) {
    let admission = &service.admission;
    let routing = &service.routing;
    let numbers: [(&str, u64); 9] = [
        ("deadline_ms", service.deadline.0),
        ("admission.queue_length", admission.queue_length.into()),
        (
            "admission.min_concurrency",
            admission.min_concurrency.into(),
        ),
        (
            "admission.max_concurrency",
            admission.max_concurrency.into(),
        ),
        ("admission.max_sessions", admission.max_sessions.into()),
        (
            "routing.spill_over_percent",
            routing.spill_over_percent.into(),
        ),
        ("routing.slow_start_ms", routing.slow_start.0),
        (
            "routing.max_ejected_percent",
            routing.max_ejected_percent.into(),
        ),
        ("routing.max_connections", routing.max_connections.into()),
    ];
    for (name, value) in numbers {
        values.insert(format!("{path}.{name}"), Value::Number(value));
    }
    values.insert(
        format!("{path}.criticality"),
        Value::Criticality(service.criticality),
    );
    for (position, route) in service.routes.iter().enumerate() {
        flatten_route(path, position, route, values);
    }
}

fn flatten_route(
    service: &str,
    position: usize,
    route: &RoutePolicy,
    values: &mut BTreeMap<String, Value>,
) {
    let path = format!("{service}.route.{}", route.prefix);
    // The first matching route applies, so that a change of order can change the policy of a path.
    values.insert(format!("{path}.position"), Value::Number(position as u64));
    values.insert(format!("{path}.repeatable"), Value::Flag(route.repeatable));
    if let Some(criticality) = route.criticality {
        values.insert(
            format!("{path}.criticality"),
            Value::Criticality(criticality),
        );
    }
    if let Some(deadline) = route.deadline {
        values.insert(format!("{path}.deadline_ms"), Value::Number(deadline.0));
    }
}
