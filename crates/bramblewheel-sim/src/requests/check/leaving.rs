//! Checks that a leaving endpoint begins no runs after a bounded time, until it restarts.

use super::super::faults::FaultRecord;
use super::super::record::Record;
use super::super::topology::EndpointIndex;
use super::facts::Facts;
use super::{Evidence, Promise, Violation};
use crate::kernel::{Fact, ProcessId};
use bramblewheel_types::Timestamp;

pub(super) fn check(facts: &Facts, evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, entry) in evidence.history.iter().enumerate() {
        let Fact::Domain(Record::Fault(FaultRecord::Leaving { endpoint, .. })) = &entry.fact else {
            continue;
        };
        let from = entry.at + evidence.bounds.leave_within;
        let until = next_start(evidence, *endpoint, index);
        let runs = facts.runs.values();
        let late = runs.filter(|run| run.endpoint == *endpoint);
        let late = late.filter(|run| run.at > from && run.at < until);
        violations.extend(late.map(|run| Violation {
            promise: Promise::LeavingLeftAlone,
            message: format!(
                "endpoint {} began a run {:?} after it started to leave",
                endpoint.0,
                run.at.since(entry.at)
            ),
            evidence: vec![index, run.index],
        }));
    }
    violations
}

/// Time of the next start of the endpoint's process.
fn next_start(evidence: &Evidence<'_>, endpoint: EndpointIndex, after: usize) -> Timestamp {
    let process = u32::try_from(endpoint.0).ok().map(ProcessId);
    let later = evidence.history[after..].iter();
    let mut starts =
        later.filter(|entry| entry.process == process && matches!(entry.fact, Fact::Started(_)));
    starts.next().map_or(Timestamp::NEVER, |entry| entry.at)
}
