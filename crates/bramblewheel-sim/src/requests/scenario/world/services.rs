//! Faults of services and their endpoints: slow work, failing runs, wrong load reports.

use super::{Step, World};
use crate::requests::endpoint::ReportFault;
use crate::requests::faults::FaultRecord;
use crate::requests::host::Host;
use crate::requests::scenario::file::Fault;
use crate::requests::topology::{EndpointIndex, ServiceIndex};
use std::time::Duration;

impl World {
    pub(super) fn set_slow(&mut self, service: ServiceIndex, percent: u64) {
        let factor = percent as f64 / 100.0;
        self.simulation.set_slowdown(service, factor);
        self.record(FaultRecord::Slow { service, percent });
    }

    pub(super) fn set_failing(&mut self, service: ServiceIndex, percent: u64) {
        for endpoint in self.endpoints_of(service) {
            self.host(endpoint)
                .set_failure_share(percent as f64 / 100.0);
        }
        self.record(FaultRecord::Failing { service, percent });
    }

    pub(super) fn begin_report_fault(
        &mut self,
        fault: &Fault,
        report: ReportFault,
        duration: Duration,
    ) {
        let endpoint = self.endpoint(fault);
        self.host(endpoint).set_report_fault(Some(report));
        self.record(FaultRecord::MisleadingReport { endpoint });
        self.after(duration, Step::EndReport(endpoint));
    }

    pub(super) fn host(&mut self, endpoint: EndpointIndex) -> &mut Host {
        let process = self.simulation.layout().host(endpoint);
        self.simulation.host_at(process)
    }

    pub(super) fn endpoints_of(&self, service: ServiceIndex) -> Vec<EndpointIndex> {
        self.simulation.topology().services[service.0]
            .endpoints
            .clone()
    }
}
