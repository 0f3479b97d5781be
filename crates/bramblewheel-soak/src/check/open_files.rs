//! Checks that the open files of the processes come back to their number once the faults have healed.

use super::{Breach, report_breach};
use crate::history::{Events, OpenFiles};
use crate::plan::Machine;

/// Files that a process may have open for a moment: a heartbeat, a scrape, a snapshot that is being written.
const PASSING_FILES: usize = 4;

pub(super) fn check(events: &Events, found: &mut Vec<Breach>) {
    for evidence in excess(&events.open_files) {
        report_breach(found, "open files come back to their number", evidence);
    }
}

/// Processes with more open files than before, as evidence. Control replicas are counted together, since daemons may be
/// connected to any of them.
pub(crate) fn excess(counted: &[OpenFiles]) -> Vec<String> {
    let (replicas, daemons): (Vec<&OpenFiles>, Vec<&OpenFiles>) = counted
        .iter()
        .partition(|files| matches!(files.machine, Machine::Control(_)));
    let excess_of_daemons = daemons
        .iter()
        .filter(|files| files.after > files.before + PASSING_FILES);
    let mut evidence: Vec<String> = excess_of_daemons
        .map(|files| {
            let OpenFiles {
                machine,
                before,
                after,
            } = files;
            format!("{machine:?}: {after}, {before} before")
        })
        .collect();
    let before: usize = replicas.iter().map(|files| files.before).sum();
    let after: usize = replicas.iter().map(|files| files.after).sum();
    if after > before + PASSING_FILES * replicas.len() {
        evidence.push(format!("control replicas: {after}, {before} before"));
    }
    evidence
}
