//! The platform's list of endpoints, and endpoints that leave and return.

use super::stops::START_POLL_INTERVAL;
use super::{Step, World};
use crate::kernel::ProcessId;
use crate::requests::faults::{DrainSeenOn, FaultRecord};
use crate::requests::layer::Instruction;
use crate::requests::process_layout::ProcessLayout;
use crate::requests::scenario::file::{Fault, SeenOn};
use crate::requests::scenario::plan::Occurrence;
use crate::requests::topology::{EndpointIndex, ZoneIndex};
use bramblewheel_core::event::{DirectoryEndpoint, DirectoryUpdate};
use std::sync::Arc;
use std::time::Duration;

impl World {
    pub(super) fn begin_leaving(&mut self, fault: &Fault, occurrence: &Occurrence) {
        let endpoint = self.endpoint(fault);
        let process = self.simulation.layout().host(endpoint);
        let seen_on = match fault.seen_on {
            SeenOn::Report => {
                self.host(endpoint).announce_drain();
                DrainSeenOn::Report
            }
            SeenOn::Daemon => DrainSeenOn::Daemon,
            SeenOn::List => DrainSeenOn::List,
        };
        if seen_on == DrainSeenOn::List {
            self.update_directory(endpoint, true);
        } else {
            self.after(occurrence.list_lag, Step::UpdateDirectory(endpoint, true));
        }
        self.record(FaultRecord::Leaving { endpoint, seen_on });
        let duration = occurrence.duration;
        let starts = self.simulation.kernel().starts(process);
        let lag = occurrence.list_lag;
        self.after(lag, Step::AwaitStart(endpoint, starts, lag));
        if seen_on == DrainSeenOn::Daemon {
            self.stop_planned(process);
        } else {
            self.after(duration, Step::StopPlanned(process));
        }
    }

    /// Once an endpoint has restarted, its daemon registers; the platform's list follows after the lag.
    pub(super) fn await_start(&mut self, endpoint: EndpointIndex, starts: u32, lag: Duration) {
        let process = self.simulation.layout().host(endpoint);
        let kernel = self.simulation.kernel();
        let has_started = kernel.starts(process) > starts;
        if !has_started {
            self.after(START_POLL_INTERVAL, Step::AwaitStart(endpoint, starts, lag));
            return;
        }
        self.update_directory(endpoint, false);
        if !lag.is_zero() {
            self.after(lag, Step::UpdateDirectory(endpoint, false));
        }
    }

    /// Sends every daemon a directory update for an endpoint.
    pub(super) fn update_directory(&mut self, endpoint: EndpointIndex, is_leaving: bool) {
        let topology = Arc::clone(self.simulation.topology());
        let spec = &topology.endpoints[endpoint.0];
        let layout = self.simulation.layout();
        let entry = DirectoryEndpoint {
            endpoint: spec.name.clone(),
            service: topology.services[spec.service.0].name.clone(),
            zone: topology.zones[spec.zone.0].clone(),
            address: ProcessLayout::address(layout.host(endpoint)),
            draining: is_leaving,
        };
        let update = DirectoryUpdate {
            is_complete: false,
            live: vec![entry.clone()],
            removed: Vec::new(),
        };
        for process in self.hosts() {
            self.simulation
                .host_at(process)
                .set_directory_entry(entry.clone());
            let instruction = Instruction::Directory(update.clone());
            self.simulation.instruct(process, instruction);
        }
    }

    pub(super) fn hosts(&self) -> Vec<ProcessId> {
        let layout = self.simulation.layout();
        let topology = self.simulation.topology();
        let endpoints = (0..topology.endpoints.len()).map(EndpointIndex);
        let gateways = (0..topology.zones.len()).map(ZoneIndex);
        endpoints
            .map(|endpoint| layout.host(endpoint))
            .chain(gateways.map(|zone| layout.gateway(zone)))
            .collect()
    }
}
