//! Checks that no replica or daemon goes back to an older bundle, that all replicas apply bundles in the same order,
//! and that each term has one leader.

use super::{Evidence, Line, Promise, Violation};
use crate::control::record::{BundleName, ControlRecord};
use crate::control::scenario::FaultKind;
use crate::kernel::{Fact, ProcessId};
use bramblewheel_types::BundleVersion;
use std::collections::BTreeMap;

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(check_daemons(evidence));
    violations.extend(check_replicas(evidence));
    violations.extend(check_log_order(evidence));
    violations.extend(check_leaders(evidence));
    violations
}

fn violation(message: String, evidence: Vec<usize>) -> Violation {
    Violation {
        promise: Promise::OrderNeverGoesBack,
        message,
        evidence,
    }
}

/// State of one daemon as shown by the history.
#[derive(Default)]
struct DaemonState {
    in_force: Option<(BundleVersion, usize)>,
    seen: Option<(u64, usize)>,
    has_empty_disk: bool,
}

fn check_daemons(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut states: BTreeMap<ProcessId, DaemonState> = BTreeMap::new();
    let mut violations = Vec::new();
    for line in evidence.records() {
        if let ControlRecord::Fault(fault) = line.record
            && fault.kind == FaultKind::DiskLoss
        {
            for process in &fault.processes {
                states.entry(*process).or_default().has_empty_disk = true;
            }
        }
        let Some(process) = line.process else {
            continue;
        };
        let name = || evidence.roles.name(process);
        let state = states.entry(process).or_default();
        match line.record {
            ControlRecord::DaemonOpened { bundle } => {
                state.seen = None;
                violations.extend(state.opened(&line, *bundle, &name));
            }
            ControlRecord::DaemonInForce { bundle } => {
                violations.extend(state.put_in_force(&line, *bundle, &name));
            }
            ControlRecord::DaemonSeen { index } => {
                let earlier = state.seen.replace((*index, line.index));
                if let Some((before, earlier_index)) = earlier.filter(|(before, _)| before > index)
                {
                    let message = format!("{} saw entry {before}, then {index}", name());
                    violations.push(violation(message, vec![earlier_index, line.index]));
                }
            }
            _ => {}
        }
    }
    violations
}

impl DaemonState {
    fn opened(
        &mut self,
        line: &Line<'_>,
        bundle: Option<BundleName>,
        name: &dyn Fn() -> String,
    ) -> Option<Violation> {
        if bundle.is_none() && self.has_empty_disk {
            return None;
        }
        let (before, earlier_index) = self.in_force?;
        let version = bundle.map(|bundle| bundle.version).unwrap_or_default();
        if version >= before {
            self.in_force = Some((version, line.index));
            return None;
        }
        let message = format!("{} had {before} in force, restarts with {version}", name());
        Some(violation(message, vec![earlier_index, line.index]))
    }

    /// Also checked after the loss of the disk, since the group keeps every bundle that a daemon had in force.
    fn put_in_force(
        &mut self,
        line: &Line<'_>,
        bundle: BundleName,
        name: &dyn Fn() -> String,
    ) -> Option<Violation> {
        self.has_empty_disk = false;
        let before = self.in_force.replace((bundle.version, line.index));
        let (before, earlier_index) = before.filter(|(before, _)| *before > bundle.version)?;
        let message = format!("{} goes from {before} to {}", name(), bundle.version);
        Some(violation(message, vec![earlier_index, line.index]))
    }
}

/// Checks that the bundle of a replica never goes back within one incarnation.
fn check_replicas(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut in_force: BTreeMap<ProcessId, (BundleVersion, usize)> = BTreeMap::new();
    let mut violations = Vec::new();
    for (index, entry) in evidence.history.iter().enumerate() {
        let Some(process) = entry.process else {
            continue;
        };
        match &entry.fact {
            Fact::Started(_) => {
                in_force.remove(&process);
            }
            Fact::Domain(ControlRecord::ReplicaInForce { bundle, .. }) => {
                let before = in_force.insert(process, (bundle.version, index));
                if let Some((before, earlier_index)) = before.filter(|(v, _)| *v >= bundle.version)
                {
                    let name = evidence.roles.name(process);
                    let message = format!("{name} goes from {before} to {}", bundle.version);
                    violations.push(violation(message, vec![earlier_index, index]));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Checks that the version in force depends only on the log position and grows with it.
fn check_log_order(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut applied: Vec<(u64, BundleVersion, usize)> = Vec::new();
    for line in evidence.records() {
        if let ControlRecord::ReplicaInForce { bundle, index } = line.record {
            applied.push((*index, bundle.version, line.index));
        }
    }
    applied.sort_unstable();
    let pairs = applied.iter().zip(applied.iter().skip(1));
    let inconsistent = pairs.filter(|(earlier, later)| {
        let is_same_position = earlier.0 == later.0;
        later.1 < earlier.1 || (is_same_position && later.1 != earlier.1)
    });
    let violations = inconsistent.map(|(earlier, later)| {
        let message = format!(
            "{} is in force at entry {}, and {} at entry {}",
            earlier.1, earlier.0, later.1, later.0
        );
        let mut lines = vec![earlier.2, later.2];
        lines.sort_unstable();
        violation(message, lines)
    });
    violations.collect()
}

fn check_leaders(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut first: BTreeMap<u64, (u64, usize)> = BTreeMap::new();
    let mut violations = Vec::new();
    for line in evidence.records() {
        let ControlRecord::Leading { identity, term } = line.record else {
            continue;
        };
        let (leader, earlier_index) = *first.entry(*term).or_insert((*identity, line.index));
        if leader != *identity {
            let message = format!("term {term} has two leaders");
            violations.push(violation(message, vec![earlier_index, line.index]));
        }
    }
    violations
}
