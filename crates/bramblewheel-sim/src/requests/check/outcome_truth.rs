//! Checks that a request or sub-call reported as not run did not run in its call tree, neither before
//! nor after the report.

use super::facts::{CallerOutcome, Facts, Run, Send};
use super::{Promise, Violation};
use bramblewheel_types::{OperationKey, RequestId};
use std::collections::BTreeMap;

pub(super) fn check(facts: &Facts) -> Vec<Violation> {
    let index = RunIndex::new(facts);
    let mut violations = Vec::new();
    for send in facts.sends.values() {
        let Some(end) = &send.end else {
            continue;
        };
        let is_not_run =
            matches!(end.outcome, CallerOutcome::Answer(outcome, _) if outcome.is_not_run());
        let ran = is_not_run.then(|| index.first_run(facts, send)).flatten();
        if let Some(run) = ran {
            violations.push(Violation {
                promise: Promise::NotRunTruth,
                message: format!("request {} was reported as not run but ran", send.request),
                evidence: vec![send.index, run.index, end.index],
            });
        }
    }
    violations.extend(check_sub_calls(facts));
    violations
}

/// Runs by the request and the operation at the root of their call tree.
struct RunIndex<'a> {
    by_request: BTreeMap<RequestId, Vec<&'a Run>>,
    by_operation: BTreeMap<&'a OperationKey, Vec<&'a Run>>,
}

impl<'a> RunIndex<'a> {
    fn new(facts: &'a Facts) -> Self {
        let mut index = Self {
            by_request: BTreeMap::new(),
            by_operation: BTreeMap::new(),
        };
        for run in facts.runs.values() {
            index.by_request.entry(run.request).or_default().push(run);
            if let Some(key) = &run.operation {
                index.by_operation.entry(key).or_default().push(run);
            }
        }
        index
    }

    /// A run of this send, or of an earlier one of the same request or operation.
    fn first_run(&self, facts: &Facts, send: &Send) -> Option<&'a Run> {
        let of_request = self.by_request.get(&send.request).into_iter().flatten();
        let operation = send.operation.as_ref();
        let of_operation = operation.and_then(|key| self.by_operation.get(key));
        let runs = of_request.chain(of_operation.into_iter().flatten());
        let mut earlier = runs.filter(|run| {
            let root = facts.root_of(run).and_then(|root| facts.sends.get(&root));
            root.is_none_or(|root| root.index <= send.index)
        });
        earlier.next().copied()
    }
}

fn check_sub_calls(facts: &Facts) -> impl Iterator<Item = Violation> {
    let not_run = facts.sub_calls.iter();
    let not_run = not_run.filter(|sub_call| sub_call.outcome.is_not_run());
    not_run.filter_map(|sub_call| {
        let run = facts.runs_of(sub_call.content).next()?;
        Some(Violation {
            promise: Promise::NotRunTruth,
            message: format!(
                "sub-call {:?} was reported as not run but ran",
                sub_call.content
            ),
            evidence: vec![run.index, sub_call.index],
        })
    })
}
