//! Checks that the retries of one request stay within the bound at any depth of the call tree.
//!
//! The bound of `docs/design/03-retry-bound.md` is, for `R` retry tokens,
//! `sum over calls c of (attempts(c) - 1 - free(c)) + repeats <= R`. Free attempts did not run, and the lab's endpoints
//! repeat no sub-call; for the attempts that ran, this gives `sum over calls c of (ran(c) - 1) <= R`. Each send of the
//! caller is a separate call, and only the first has tokens, so the sum over all sends of a request has the same bound
//! `R`.

use super::Finding;
use super::history::History;
use bramblewheel_types::RequestId;
use std::collections::{BTreeMap, HashMap};

pub(super) fn check(history: &History<'_>, retry_tokens: u32) -> Finding {
    let mut finding = Finding::new("retry-bound");
    let mut runs: BTreeMap<RequestId, HashMap<u64, u64>> = BTreeMap::new();
    for arrival in history.arrivals.values() {
        if arrival.ran_us.is_some() {
            let calls = runs.entry(arrival.context.request).or_default();
            *calls.entry(arrival.context.call).or_default() += 1;
        }
    }
    for (request, calls) in runs {
        let extra: u64 = calls.values().map(|runs| runs - 1).sum();
        finding.add_case(extra <= u64::from(retry_tokens), || {
            format!("request {request} caused {extra} extra runs, expected at most {retry_tokens}")
        });
    }
    finding
}
