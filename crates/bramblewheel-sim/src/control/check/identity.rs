//! Checks that an identity whose state was lost takes no further part: it is not opened again, does not vote,
//! acknowledges no entry and does not become leader.

use super::{Evidence, Promise, Violation};
use crate::control::record::ControlRecord;
use std::collections::BTreeMap;

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut lost: BTreeMap<u64, usize> = BTreeMap::new();
    let mut violations = Vec::new();
    for line in evidence.records() {
        let identity = match line.record {
            ControlRecord::IdentityLost { identity } => {
                lost.insert(*identity, line.index);
                continue;
            }
            ControlRecord::ReplicaOpened { identity }
            | ControlRecord::VoteGiven { identity, .. }
            | ControlRecord::Acknowledged { identity }
            | ControlRecord::Leading { identity, .. } => identity,
            _ => continue,
        };
        if let Some(&lost_index) = lost.get(identity) {
            violations.push(Violation {
                promise: Promise::LostIdentityNeverVotes,
                message: format!("identity {identity:016x} was lost and takes part again"),
                evidence: vec![lost_index, line.index],
            });
        }
    }
    violations
}
