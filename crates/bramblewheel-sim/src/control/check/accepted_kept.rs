//! What was accepted is accepted ever after: a resend is accepted again, and in the end every
//! replica holds it or a newer one.

use super::{Evidence, Promise, Violation};
use crate::control::record::{BundleName, ControlRecord, PublishAnswer};
use crate::kernel::ProcessId;
use std::collections::BTreeMap;

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut accepted: BTreeMap<BundleName, usize> = BTreeMap::new();
    let mut held: BTreeMap<ProcessId, (BundleName, usize)> = BTreeMap::new();
    let mut violations = Vec::new();
    for line in evidence.records() {
        match (line.record, line.process) {
            (ControlRecord::PublishAnswered { bundle, answer, .. }, _) => {
                let earlier = accepted.get(bundle).copied();
                match (answer, earlier) {
                    (PublishAnswer::Accepted, _) => {
                        accepted.entry(*bundle).or_insert(line.index);
                    }
                    (other, Some(earlier)) => violations.push(Violation {
                        promise: Promise::AcceptedNeverLost,
                        message: format!(
                            "version {} was accepted, and a resend got {other:?}",
                            bundle.version
                        ),
                        evidence: vec![earlier, line.index],
                    }),
                    (_, None) => {}
                }
            }
            (ControlRecord::ReplicaInForce { bundle, .. }, Some(replica)) => {
                held.insert(replica, (*bundle, line.index));
            }
            _ => {}
        }
    }
    violations.extend(missing_at_the_end(evidence, &accepted, &held));
    violations
}

fn missing_at_the_end(
    evidence: Evidence<'_>,
    accepted: &BTreeMap<BundleName, usize>,
    held: &BTreeMap<ProcessId, (BundleName, usize)>,
) -> Vec<Violation> {
    let Some((newest, accepted_at)) = accepted.last_key_value() else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    for replica in &evidence.cast.replicas {
        let last = held.get(replica);
        if last.is_some_and(|(bundle, _)| bundle.version >= newest.version) {
            continue;
        }
        let name = evidence.cast.name(*replica);
        let version = last.map_or(0, |(bundle, _)| bundle.version.0);
        let shown = last.map(|(_, index)| *index);
        let mut lines = vec![*accepted_at];
        lines.extend(shown);
        lines.sort_unstable();
        violations.push(Violation {
            promise: Promise::AcceptedNeverLost,
            message: format!(
                "version {} was accepted, and {name} ends with {version}",
                newest.version
            ),
            evidence: lines,
        });
    }
    violations
}
