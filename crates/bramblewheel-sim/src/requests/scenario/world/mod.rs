//! The simulated world of a scenario, and the steps that apply faults to it.

mod listing;
mod network;
mod rollout;
mod services;
mod stops;
mod targets;

use super::file::{Fault, FaultKind};
use super::plan::Occurrence;
use crate::kernel::{Disorder, ProcessId, StopCause};
use crate::requests::endpoint::ReportFault;
use crate::requests::faults::FaultRecord;
use crate::requests::record::Record;
use crate::requests::simulation::RequestSimulation;
use crate::requests::topology::{EndpointIndex, ServiceIndex};
use bramblewheel_bundle::Bundle;
use bramblewheel_types::Timestamp;
use network::Cut;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A step at a planned time.
#[derive(Clone, Debug)]
enum Step {
    Begin(Occurrence),
    Thaw(ProcessId),
    EndCut(u64),
    EndDisorder(u64),
    EndSlow(ServiceIndex),
    EndFailing(ServiceIndex),
    EndReport(EndpointIndex),
    StopPlanned(ProcessId),
    StopReplica(u32),
    UpdateDirectory(EndpointIndex, bool),
    /// Wait until an endpoint has started more often than this count; the platform's list lags by the time.
    AwaitStart(EndpointIndex, u32, Duration),
    /// Begin a planned stop of the machine at this position; the next one follows after the pause.
    StopNext(usize, Duration),
    AwaitRestart(usize, ProcessId, u32, Duration),
    InstallBundle(ProcessId),
    UseNextSessionKey(ProcessId),
}

/// The simulated world of a scenario.
pub(super) struct World {
    pub(super) simulation: RequestSimulation,
    faults: Vec<Fault>,
    replicas: u32,
    random: Pcg64Mcg,
    steps: BTreeMap<(Timestamp, u64), Step>,
    next_step: u64,
    cuts: BTreeMap<u64, Cut>,
    disorders: BTreeMap<u64, Disorder>,
    bundle: Arc<Bundle>,
}

impl World {
    pub(super) fn new(
        simulation: RequestSimulation,
        faults: Vec<Fault>,
        replicas: u32,
        bundle: Arc<Bundle>,
        random: Pcg64Mcg,
    ) -> Self {
        Self {
            simulation,
            faults,
            replicas,
            random,
            steps: BTreeMap::new(),
            next_step: 0,
            cuts: BTreeMap::new(),
            disorders: BTreeMap::new(),
            bundle,
        }
    }

    /// Schedules a fault.
    pub(super) fn plan(&mut self, occurrence: Occurrence) {
        self.at(occurrence.at, Step::Begin(occurrence));
    }

    fn at(&mut self, at: Timestamp, step: Step) -> u64 {
        self.next_step += 1;
        self.steps.insert((at, self.next_step), step);
        self.next_step
    }

    fn after(&mut self, delay: Duration, step: Step) -> u64 {
        self.at(self.simulation.kernel().now() + delay, step)
    }

    /// Runs up to a time; returns whether steps are left.
    pub(super) fn run_until(&mut self, end: Timestamp) -> bool {
        while let Some(entry) = self.steps.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let step = entry.remove();
            self.simulation.run_until(at);
            self.execute(step);
        }
        self.simulation.run_until(end);
        !self.steps.is_empty()
    }

    fn record(&mut self, fault: FaultRecord) {
        self.simulation
            .kernel_mut()
            .record(None, Record::Fault(fault));
    }

    fn execute(&mut self, step: Step) {
        match step {
            Step::Begin(occurrence) => self.begin(occurrence),
            Step::Thaw(process) => self.simulation.kernel_mut().thaw(process),
            Step::EndCut(number) => {
                self.cuts.remove(&number);
                self.apply_network();
            }
            Step::EndDisorder(number) => {
                self.disorders.remove(&number);
                self.apply_network();
            }
            Step::EndSlow(service) => self.set_slow(service, 100),
            Step::EndFailing(service) => self.set_failing(service, 0),
            Step::EndReport(endpoint) => self.host(endpoint).set_report_fault(None),
            Step::StopPlanned(process) => self.stop_planned(process),
            Step::StopReplica(replica) => self.stop_replica(replica),
            Step::UpdateDirectory(endpoint, is_leaving) => {
                self.update_directory(endpoint, is_leaving)
            }
            Step::AwaitStart(endpoint, starts, lag) => self.await_start(endpoint, starts, lag),
            Step::StopNext(position, pause) => self.stop_next(position, pause),
            Step::AwaitRestart(position, process, starts, pause) => {
                self.await_restart(position, process, starts, pause);
            }
            Step::InstallBundle(process) => self.install_bundle(process),
            Step::UseNextSessionKey(process) => self.use_next_session_key(process),
        }
    }

    fn begin(&mut self, occurrence: Occurrence) {
        let fault = self.faults[occurrence.fault].clone();
        let duration = occurrence.duration;
        match fault.kind {
            FaultKind::Kill | FaultKind::PowerLoss => {
                let cause = match fault.kind {
                    FaultKind::Kill => StopCause::Killed,
                    _ => StopCause::PowerLost,
                };
                let process = self.machine(fault.machine, &fault);
                self.stop(process, cause, duration);
            }
            FaultKind::Freeze => {
                let process = self.machine(fault.machine, &fault);
                self.simulation.kernel_mut().freeze(process);
                self.after(duration, Step::Thaw(process));
            }
            FaultKind::ZoneCut => self.begin_cut(fault.direction, duration),
            FaultKind::Disorder => self.begin_disorder(&fault, duration),
            FaultKind::Slow => {
                let service = self.service(&fault);
                self.set_slow(service, occurrence.percent);
                self.after(duration, Step::EndSlow(service));
            }
            FaultKind::Failing => {
                let service = self.service(&fault);
                self.set_failing(service, occurrence.percent);
                self.after(duration, Step::EndFailing(service));
            }
            FaultKind::Leaving => self.begin_leaving(&fault, &occurrence),
            FaultKind::StopPlanned => {
                let process = self.machine(fault.machine, &fault);
                self.stop_planned(process);
            }
            FaultKind::RollingStop => self.stop_next(0, duration),
            FaultKind::FlatteringReport => {
                self.begin_report_fault(&fault, ReportFault::Flattering, duration)
            }
            FaultKind::AlarmingReport => {
                self.begin_report_fault(&fault, ReportFault::Alarming, duration)
            }
            FaultKind::NewBundle => self.roll_out_bundle(duration),
            FaultKind::RotateSessionKey => self.rotate_session_key(duration),
        }
    }
}
