//! Converts the fleet runner's actions on daemons and gateways to faults of a trace.

use super::TraceClock;
use crate::fleet::plan::DAEMON_PREFIX;
use crate::journal::{Event, FaultKind, Record};
use bramblewheel_sim::requests::{EndpointIndex, Topology, ZoneIndex};
use bramblewheel_sim::trace::{Fault, FaultAction, Machine};
use bramblewheel_types::Timestamp;

/// Prefix of a gateway's name; the name of its zone follows.
const GATEWAY_PREFIX: &str = "gateway-";

/// Faults that ended within the run. Slow endpoints are left out because the work times include them; endpoints that
/// report that they are leaving are not part of traces.
pub(super) fn faults(records: &[Record], topology: &Topology, clock: TraceClock) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (index, record) in records.iter().enumerate() {
        let Event::Fault { process, kind } = &record.event else {
            continue;
        };
        let Some(machine) = machine(topology, process) else {
            continue;
        };
        let (action, end) = match kind {
            FaultKind::Killed => (FaultAction::Kill(machine), FaultKind::Started),
            FaultKind::PlannedStop => (FaultAction::StopPlanned(machine), FaultKind::Started),
            FaultKind::Frozen => (FaultAction::Freeze(machine), FaultKind::Thawed),
            _ => continue,
        };
        let is_end = |later: &&Record| {
            matches!(&later.event, Event::Fault { process: other, kind }
                if other == process && *kind == end)
        };
        if let Some(end) = records[index..].iter().find(is_end) {
            faults.push(fault(clock.at(record.at_us), clock.at(end.at_us), action));
        }
    }
    faults
}

/// Traces store the times of faults in whole milliseconds.
fn fault(begins: Timestamp, ends: Timestamp, action: FaultAction) -> Fault {
    let begins = Timestamp::from_millis(begins.as_millis());
    let ends = Timestamp::from_millis(ends.as_millis());
    Fault {
        begins,
        lasts: ends.since(begins),
        action,
    }
}

fn machine(topology: &Topology, process: &str) -> Option<Machine> {
    if let Some(name) = process.strip_prefix(DAEMON_PREFIX) {
        let mut endpoints = topology.endpoints.iter();
        let position = endpoints.position(|endpoint| endpoint.name.name() == name)?;
        return Some(Machine::Endpoint(EndpointIndex(position)));
    }
    let zone = process.strip_prefix(GATEWAY_PREFIX)?;
    let mut zones = topology.zones.iter();
    let position = zones.position(|candidate| candidate.as_str() == zone)?;
    Some(Machine::Gateway(ZoneIndex(position)))
}
