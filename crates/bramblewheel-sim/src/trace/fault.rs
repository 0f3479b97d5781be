//! Faults at stated times, injected in the same way while recording and while replaying.

use crate::kernel::{ProcessId, StopCause};
use crate::requests::{
    EndpointIndex, Instruction, ProcessLayout, RequestSimulation, ServiceIndex, ZoneIndex,
};
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// A fault at a stated time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Virtual time at which the fault begins.
    pub begins: Timestamp,
    /// Duration; a stopped process stays down for this long.
    pub lasts: Duration,
    /// The kind of fault with its target.
    pub action: FaultAction,
}

/// The kind of a fault with its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultAction {
    /// The work of a service takes longer or shorter than usual.
    Slow {
        /// The service.
        service: ServiceIndex,
        /// Duration of the work, in percent of the usual.
        percent: u64,
    },
    /// A process is killed and restarted.
    Kill(Machine),
    /// A process is frozen.
    Freeze(Machine),
    /// A planned stop; the process is restarted.
    StopPlanned(Machine),
    /// A zone is partitioned from the others.
    CutZone(ZoneIndex),
}

/// A process that can be the target of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machine {
    /// An endpoint with its daemon.
    Endpoint(EndpointIndex),
    /// The gateway of a zone.
    Gateway(ZoneIndex),
    /// A control replica.
    Replica(u32),
}

impl Machine {
    fn process(self, layout: ProcessLayout) -> ProcessId {
        match self {
            Self::Endpoint(endpoint) => layout.host(endpoint),
            Self::Gateway(zone) => layout.gateway(zone),
            Self::Replica(number) => layout.replica(number),
        }
    }
}

/// Runs the simulation until `ends`, and begins and ends the faults that are due by then.
pub(super) fn run_until(run: &mut RequestSimulation, faults: &[Fault], ends: Timestamp) {
    let mut steps = Vec::new();
    for fault in faults {
        steps.push((fault.begins, true, fault));
        steps.push((fault.begins + fault.lasts, false, fault));
    }
    steps.sort_by_key(|(at, ..)| *at);
    let mut cuts = Vec::new();
    for (at, is_begin, fault) in steps {
        if at > ends {
            break;
        }
        run.run_until(at);
        match (is_begin, fault.action) {
            (true, FaultAction::CutZone(zone)) => {
                cuts.push(zone);
                set_cuts(run, &cuts);
            }
            (false, FaultAction::CutZone(zone)) => {
                cuts.retain(|cut| *cut != zone);
                set_cuts(run, &cuts);
            }
            (true, _) => begin(run, fault),
            (false, _) => end(run, fault),
        }
    }
    run.run_until(ends);
}

fn set_cuts(run: &mut RequestSimulation, cuts: &[ZoneIndex]) {
    run.heal();
    for zone in cuts {
        run.cut_zone(*zone);
    }
}

fn begin(run: &mut RequestSimulation, fault: &Fault) {
    let layout = run.layout();
    match fault.action {
        FaultAction::Slow { service, percent } => {
            run.set_slowdown(service, percent as f64 / 100.0);
        }
        FaultAction::Kill(machine) => {
            let process = machine.process(layout);
            run.kernel_mut().stop(process, StopCause::Killed);
            run.kernel_mut().start_after(process, fault.lasts);
        }
        FaultAction::Freeze(machine) => run.kernel_mut().freeze(machine.process(layout)),
        FaultAction::StopPlanned(machine) => {
            let downtime = fault.lasts;
            let stop = Instruction::StopPlanned { downtime };
            run.instruct(machine.process(layout), stop);
        }
        FaultAction::CutZone(_) => {}
    }
}

fn end(run: &mut RequestSimulation, fault: &Fault) {
    let layout = run.layout();
    match fault.action {
        FaultAction::Slow { service, .. } => run.set_slowdown(service, 1.0),
        FaultAction::Freeze(machine) => run.kernel_mut().thaw(machine.process(layout)),
        // `begin` has scheduled the restart; `run_until` opens cuts.
        FaultAction::Kill(_) | FaultAction::StopPlanned(_) | FaultAction::CutZone(_) => {}
    }
}
