//! No replica and no daemon goes back to an older bundle; all replicas see one order, and a term
//! has one leader.

use super::{Evidence, Line, Promise, Violation};
use crate::control::record::{BundleName, ControlRecord};
use crate::control::scenario::FaultKind;
use crate::kernel::{Fact, ProcessId};
use bramblewheel_types::BundleVersion;
use std::collections::BTreeMap;

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(daemons(evidence));
    violations.extend(replicas(evidence));
    violations.extend(one_order(evidence));
    violations.extend(leaders(evidence));
    violations
}

fn violation(message: String, evidence: Vec<usize>) -> Violation {
    Violation {
        promise: Promise::OrderNeverGoesBack,
        message,
        evidence,
    }
}

/// What is known of one daemon.
#[derive(Default)]
struct DaemonState {
    in_force: Option<(BundleVersion, usize)>,
    seen: Option<(u64, usize)>,
    has_empty_disk: bool,
}

fn daemons(evidence: Evidence<'_>) -> Vec<Violation> {
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
        let name = || evidence.cast.name(process);
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
                if let Some((before, shown)) = earlier.filter(|(before, _)| before > index) {
                    let message = format!("{} saw entry {before}, then {index}", name());
                    violations.push(violation(message, vec![shown, line.index]));
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
        let (before, shown) = self.in_force?;
        let version = bundle.map(|bundle| bundle.version).unwrap_or_default();
        if version >= before {
            self.in_force = Some((version, line.index));
            return None;
        }
        let message = format!("{} had {before} in force, restarts with {version}", name());
        Some(violation(message, vec![shown, line.index]))
    }

    /// Holds after the loss of the disk as well: the group never forgets what a daemon had.
    fn put_in_force(
        &mut self,
        line: &Line<'_>,
        bundle: BundleName,
        name: &dyn Fn() -> String,
    ) -> Option<Violation> {
        self.has_empty_disk = false;
        let before = self.in_force.replace((bundle.version, line.index));
        let (before, shown) = before.filter(|(before, _)| *before > bundle.version)?;
        let message = format!("{} goes from {before} to {}", name(), bundle.version);
        Some(violation(message, vec![shown, line.index]))
    }
}

/// Within one start, a replica's bundle only goes forward.
fn replicas(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut held: BTreeMap<ProcessId, (BundleVersion, usize)> = BTreeMap::new();
    let mut violations = Vec::new();
    for (index, entry) in evidence.history.iter().enumerate() {
        let Some(process) = entry.process else {
            continue;
        };
        match &entry.fact {
            Fact::Started(_) => {
                held.remove(&process);
            }
            Fact::Domain(ControlRecord::ReplicaInForce { bundle, .. }) => {
                let before = held.insert(process, (bundle.version, index));
                if let Some((before, shown)) = before.filter(|(v, _)| *v >= bundle.version) {
                    let name = evidence.cast.name(process);
                    let message = format!("{name} goes from {before} to {}", bundle.version);
                    violations.push(violation(message, vec![shown, index]));
                }
            }
            _ => {}
        }
    }
    violations
}

/// What is in force follows from the position in the log, and goes forward with it.
fn one_order(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut shown: Vec<(u64, BundleVersion, usize)> = Vec::new();
    for line in evidence.records() {
        if let ControlRecord::ReplicaInForce { bundle, index } = line.record {
            shown.push((*index, bundle.version, line.index));
        }
    }
    shown.sort_unstable();
    let pairs = shown.iter().zip(shown.iter().skip(1));
    let wrong = pairs.filter(|(earlier, later)| {
        let is_same_position = earlier.0 == later.0;
        later.1 < earlier.1 || (is_same_position && later.1 != earlier.1)
    });
    let violations = wrong.map(|(earlier, later)| {
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

fn leaders(evidence: Evidence<'_>) -> Vec<Violation> {
    let mut first: BTreeMap<u64, (u64, usize)> = BTreeMap::new();
    let mut violations = Vec::new();
    for line in evidence.records() {
        let ControlRecord::Leading { identity, term } = line.record else {
            continue;
        };
        let (leader, shown) = *first.entry(*term).or_insert((*identity, line.index));
        if leader != *identity {
            let message = format!("term {term} has two leaders");
            violations.push(violation(message, vec![shown, line.index]));
        }
    }
    violations
}
