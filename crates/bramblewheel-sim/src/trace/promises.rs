//! Checks the promises that a trace states for its replay.

use super::error::Difference;
use super::model::Trace;
use super::outcome::StatedOutcome;
use super::run_outcomes::RunOutcomes;
use std::collections::BTreeMap;

pub(super) fn check(trace: &Trace, outcomes: &RunOutcomes) -> Vec<Difference> {
    let expect = &trace.head.expect;
    let mut differences = Vec::new();
    if expect.operations_run_once {
        differences.extend(check_run_once(outcomes));
    }
    if expect.retries_within_bound {
        let bound = trace.head.bundle.value.limits.retry_tokens as usize;
        differences.extend(check_retries(outcomes, bound));
    }
    if expect.not_run_is_true {
        differences.extend(check_not_run(trace, outcomes));
    }
    differences
}

fn check_run_once(outcomes: &RunOutcomes) -> Vec<Difference> {
    let mut runs: BTreeMap<_, (_, usize)> = BTreeMap::new();
    for run in &outcomes.runs {
        if let Some(operation) = &run.operation {
            let (_, times) = runs.entry(operation).or_insert((run.request, 0));
            *times += 1;
        }
    }
    let repeated = runs.into_iter().filter(|(_, (_, times))| *times > 1);
    repeated
        .map(|(operation, (request, times))| Difference::RanTwice {
            operation: operation.to_string(),
            request,
            times,
        })
        .collect()
}

/// Counts the runs of each call. Every send of a caller is a separate call, so a caller's resends are not extra runs.
fn check_retries(outcomes: &RunOutcomes, bound: usize) -> Vec<Difference> {
    let mut requests: BTreeMap<_, BTreeMap<_, usize>> = BTreeMap::new();
    for run in &outcomes.runs {
        let calls = requests.entry(run.request).or_default();
        *calls.entry(run.content).or_default() += 1;
    }
    let mut differences = Vec::new();
    for (request, calls) in requests {
        let extra = calls.values().map(|runs| runs - 1).sum();
        if extra > bound {
            differences.push(Difference::Retries {
                request,
                extra,
                bound,
            });
        }
    }
    differences
}

fn check_not_run(trace: &Trace, outcomes: &RunOutcomes) -> Vec<Difference> {
    let mut runs: BTreeMap<_, usize> = BTreeMap::new();
    for root in outcomes.runs.iter().filter_map(|run| run.root) {
        *runs.entry(root).or_default() += 1;
    }
    let mut differences = Vec::new();
    for (id, position, send) in trace.sends() {
        let outcome = outcomes.sends.get(&id).map(|end| end.outcome);
        let (Some(StatedOutcome::NotRun(_)), Some(runs)) = (outcome, runs.get(&id)) else {
            continue;
        };
        differences.push(Difference::NotRunUntrue {
            request: trace.requests[position].id,
            send: send + 1,
            runs: *runs,
        });
    }
    differences
}
