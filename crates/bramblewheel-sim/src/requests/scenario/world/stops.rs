//! Stops of processes: immediate, planned, and rolling over all machines.

use super::{Step, World};
use crate::kernel::{ProcessId, ProcessState, StopCause};
use crate::requests::faults::FaultRecord;
use crate::requests::layer::Instruction;
use crate::requests::topology::EndpointIndex;
use std::time::Duration;

/// Time from the end of a planned stop to the restart.
const RESTART_AFTER: Duration = Duration::from_millis(200);
/// Interval of the checks whether a stopped process has restarted.
pub(super) const START_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time until a daemon's registration as draining has reached all other daemons.
const REGISTRATION_DELAY: Duration = Duration::from_millis(300);
/// Time that a control replica has to transfer its leadership before it stops.
const HAND_OVER_TIME: Duration = Duration::from_millis(100);

impl World {
    /// Stops a process immediately and restarts it after the given time.
    pub(super) fn stop(&mut self, process: ProcessId, cause: StopCause, downtime: Duration) {
        let kernel = self.simulation.kernel_mut();
        kernel.stop(process, cause);
        kernel.start_after(process, downtime);
    }

    pub(super) fn stop_planned(&mut self, process: ProcessId) {
        match self.simulation.kernel().state(process) {
            ProcessState::Running => {}
            ProcessState::Frozen => {
                // A frozen process can't handle the stop request, so it is sent again later.
                self.after(START_POLL_INTERVAL, Step::StopPlanned(process));
                return;
            }
            ProcessState::Stopped => return,
        }
        self.record(FaultRecord::StopPlanned { process });
        if (process.0 as usize) < self.simulation.topology().endpoints.len() {
            let endpoint = EndpointIndex(process.0 as usize);
            self.after(REGISTRATION_DELAY, Step::UpdateDirectory(endpoint, true));
            let starts = self.simulation.kernel().starts(process);
            let await_start = Step::AwaitStart(endpoint, starts, Duration::ZERO);
            self.after(START_POLL_INTERVAL, await_start);
        }
        let downtime = RESTART_AFTER;
        self.simulation
            .instruct(process, Instruction::StopPlanned { downtime });
    }

    /// Makes a control replica transfer its leadership, then stops it.
    pub(super) fn hand_over(&mut self, replica: u32) {
        self.simulation.hand_over(replica);
        self.after(HAND_OVER_TIME, Step::StopReplica(replica));
    }

    pub(super) fn stop_replica(&mut self, replica: u32) {
        let process = self.simulation.layout().replica(replica);
        self.stop(process, StopCause::Exited, RESTART_AFTER);
    }

    /// Stops the machine at a position: endpoints, then gateways, then replicas. The next one follows a
    /// pause after this one has restarted.
    pub(super) fn stop_next(&mut self, position: usize, pause: Duration) {
        let layout = self.simulation.layout();
        let hosts = self.hosts();
        let replica = u32::try_from(position.saturating_sub(hosts.len())).unwrap_or(u32::MAX);
        let process = match hosts.get(position) {
            Some(host) => {
                self.stop_planned(*host);
                *host
            }
            None if replica < self.replicas => {
                self.hand_over(replica);
                layout.replica(replica)
            }
            None => return,
        };
        let starts = self.simulation.kernel().starts(process);
        self.await_restart(position, process, starts, pause);
    }

    pub(super) fn await_restart(
        &mut self,
        position: usize,
        process: ProcessId,
        starts: u32,
        pause: Duration,
    ) {
        if self.simulation.kernel().starts(process) > starts {
            self.after(pause, Step::StopNext(position + 1, pause));
        } else {
            let step = Step::AwaitRestart(position, process, starts, pause);
            self.after(START_POLL_INTERVAL, step);
        }
    }
}
