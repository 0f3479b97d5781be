//! Checks that the extra runs of one original request stay within the bound.
//!
//! The bound is the number of retry tokens in the bundle. Runs are extra if they have the same content,
//! so each send of a caller counts on its own. Reroutes run nothing and are not counted.

use super::facts::Facts;
use super::{Promise, Violation};
use bramblewheel_bundle::Bundle;
use std::collections::BTreeMap;

pub(super) fn check(facts: &Facts, bundle: &Bundle) -> Vec<Violation> {
    let bound = bundle.limits.retry_tokens as usize;
    let mut requests: BTreeMap<_, BTreeMap<_, Vec<usize>>> = BTreeMap::new();
    for run in facts.runs.values() {
        let calls = requests.entry(run.request).or_default();
        calls.entry(run.content).or_default().push(run.index);
    }
    let mut violations = Vec::new();
    for (request, calls) in requests {
        let extra: usize = calls.values().map(|runs| runs.len() - 1).sum();
        if extra > bound {
            let repeated = calls.into_values().filter(|runs| runs.len() > 1);
            violations.push(Violation {
                promise: Promise::RetryBound,
                message: format!("request {request} caused {extra} extra runs, bound {bound}"),
                evidence: repeated.flatten().collect(),
            });
        }
    }
    violations
}
