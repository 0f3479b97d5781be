//! Checks that an operation runs at most once.

use super::facts::Facts;
use super::{Promise, Violation};
use std::collections::BTreeMap;

pub(super) fn check(facts: &Facts) -> Vec<Violation> {
    let mut runs: BTreeMap<_, Vec<usize>> = BTreeMap::new();
    for run in facts.runs.values() {
        if let Some(key) = &run.operation {
            runs.entry(key).or_default().push(run.index);
        }
    }
    let several = runs.into_iter().filter(|(_, runs)| runs.len() > 1);
    several
        .map(|(key, evidence)| Violation {
            promise: Promise::RunAtMostOnce,
            message: format!("operation {key} ran {} times", evidence.len()),
            evidence,
        })
        .collect()
}
