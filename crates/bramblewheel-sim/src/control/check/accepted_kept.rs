//! Checks that accepted bundles are never lost: a resend is accepted again, and at the end every replica has the newest
//! accepted bundle or a newer one in force.

use super::{Evidence, Promise, Violation};
use crate::control::record::{BundleName, ControlRecord, PublishAnswer};
use crate::kernel::ProcessId;
use std::collections::BTreeMap;

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut accepted: BTreeMap<BundleName, usize> = BTreeMap::new();
    let mut in_force: BTreeMap<ProcessId, (BundleName, usize)> = BTreeMap::new();
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
                in_force.insert(replica, (*bundle, line.index));
            }
            _ => {}
        }
    }
    violations.extend(replicas_behind_at_end(evidence, &accepted, &in_force));
    violations
}

fn replicas_behind_at_end(
    evidence: Evidence<'_>,
    accepted: &BTreeMap<BundleName, usize>,
    in_force: &BTreeMap<ProcessId, (BundleName, usize)>,
) -> Vec<Violation> {
    let Some((newest, accepted_index)) = accepted.last_key_value() else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    for replica in &evidence.roles.replicas {
        let last = in_force.get(replica);
        if last.is_some_and(|(bundle, _)| bundle.version >= newest.version) {
            continue;
        }
        let name = evidence.roles.name(*replica);
        let version = last.map_or(0, |(bundle, _)| bundle.version.0);
        let in_force_index = last.map(|(_, index)| *index);
        let mut lines = vec![*accepted_index];
        lines.extend(in_force_index);
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
