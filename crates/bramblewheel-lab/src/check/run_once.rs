//! Checks that a run-once operation begins to run at most once, however many callers send it and how often.

use super::Finding;
use super::history::History;
use std::collections::BTreeMap;

pub(super) fn check(history: &History<'_>) -> Finding {
    let mut finding = Finding::new("run-once");
    let mut runs: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for arrival in history.arrivals.values() {
        if let (Some(key), Some(_)) = (&arrival.context.operation, arrival.ran_us) {
            runs.entry(key.as_str()).or_default().push(arrival.endpoint);
        }
    }
    for (key, endpoints) in runs {
        finding.add_case(endpoints.len() == 1, || {
            let times = endpoints.len();
            format!(
                "operation {key} ran {times} times: {}",
                endpoints.join(", ")
            )
        });
    }
    finding
}
