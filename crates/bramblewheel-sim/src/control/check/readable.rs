//! Checks that a data folder is readable after any crash, unless a fault damaged a synced file.

use super::{Evidence, Promise, Violation};
use crate::control::record::ControlRecord;
use crate::control::scenario::FaultKind;
use std::collections::BTreeSet;

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut damaged = BTreeSet::new();
    let mut violations = Vec::new();
    for line in evidence.records() {
        match (line.record, line.process) {
            (ControlRecord::Fault(fault), _) if fault.kind == FaultKind::Damage => {
                damaged.extend(fault.processes.iter().copied());
            }
            (ControlRecord::ReplicaUnusable { reason }, Some(process))
                if !damaged.contains(&process) =>
            {
                let name = evidence.roles.name(process);
                violations.push(Violation {
                    promise: Promise::SyncedStaysReadable,
                    message: format!("{name} can't read its data folder: {reason}"),
                    evidence: vec![line.index],
                });
            }
            _ => {}
        }
    }
    violations
}
