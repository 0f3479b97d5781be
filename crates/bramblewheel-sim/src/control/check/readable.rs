//! Whatever crash comes, a data folder can be read again, unless a synced file was damaged.

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
                let name = evidence.cast.name(process);
                violations.push(Violation {
                    promise: Promise::SyncedStaysReadable,
                    message: format!("{name} can't read its folder: {reason}"),
                    evidence: vec![line.index],
                });
            }
            _ => {}
        }
    }
    violations
}
