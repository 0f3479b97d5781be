//! The world of a scenario, and what faults do to it.

use super::super::endpoint::ReportFault;
use super::super::faults::{DrainSeenOn, FaultRecord};
use super::super::layer::Instruction;
use super::super::record::Record;
use super::super::simulation::RequestSimulation;
use super::super::topology::{EndpointIndex, ServiceIndex, ZoneIndex};
use super::file::{Direction, Fault, FaultKind, MachineKind, SeenOn};
use super::plan::Occurrence;
use crate::kernel::{Disorder, ProcessId, ProcessState, StopCause};
use bramblewheel_bundle::Bundle;
use bramblewheel_core::event::{DirectoryEndpoint, DirectoryUpdate};
use bramblewheel_types::{BundleVersion, Timestamp};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time from the end of a planned stop to the next start.
const RESTART_AFTER: Duration = Duration::from_millis(200);
/// How often it is looked whether a stopped endpoint has started again.
const LOOK_FOR_START: Duration = Duration::from_millis(100);
/// Time until all daemons know that another said to the control group that it drains.
const REGISTRATION: Duration = Duration::from_millis(300);
/// Time that a control replica has to hand its leadership over before it ends.
const HAND_OVER: Duration = Duration::from_millis(100);
/// Number of the key that sessions are signed with after a rotation.
const NEXT_SESSION_KEY: u32 = 2;

/// Deployment and bundle of an example.
pub(super) fn files_of(deployment: &str) -> Option<(&'static str, &'static str)> {
    macro_rules! example {
        ($name:literal) => {
            Some((
                include_str!(concat!(
                    "../../../../../examples/deployments/",
                    $name,
                    ".toml"
                )),
                include_str!(concat!("../../../../../examples/bundles/", $name, ".toml")),
            ))
        };
    }
    match deployment {
        "small" => example!("small"),
        "deep" => example!("deep"),
        "torgnett" => example!("torgnett"),
        "museum" => example!("museum"),
        _ => None,
    }
}

/// Something that is done at a moment.
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
    HandOver(u32),
    StopReplica(u32),
    List(EndpointIndex, bool),
    /// Wait for the next start of an endpoint after this one; the platform's list is late.
    AwaitStart(EndpointIndex, u32, Duration),
    /// Stop the machine of this position as planned, then the next.
    RollOn(usize, Duration),
    AwaitRoll(usize, ProcessId, u32, Duration),
    Install(ProcessId),
    SignSessions(ProcessId),
}

/// A cut in force.
#[derive(Clone, Copy, Debug)]
struct Cut {
    zone: ZoneIndex,
    into: bool,
    out_of: bool,
}

/// The world of a scenario.
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

    /// Plans a fault.
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

    /// Runs up to a time; whether steps are left.
    pub(super) fn run_until(&mut self, end: Timestamp) -> bool {
        while let Some(entry) = self.steps.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let step = entry.remove();
            self.simulation.run_until(at);
            self.carry_out(step);
        }
        self.simulation.run_until(end);
        !self.steps.is_empty()
    }

    fn record(&mut self, fault: FaultRecord) {
        self.simulation
            .kernel_mut()
            .record(None, Record::Fault(fault));
    }

    fn carry_out(&mut self, step: Step) {
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
            Step::HandOver(replica) => {
                self.simulation.hand_over(replica);
                self.after(HAND_OVER, Step::StopReplica(replica));
            }
            Step::StopReplica(replica) => {
                let process = self.simulation.places().replica(replica);
                self.stop(process, StopCause::Exited, RESTART_AFTER);
            }
            Step::List(endpoint, is_leaving) => self.list(endpoint, is_leaving),
            Step::AwaitStart(endpoint, starts, lag) => self.await_start(endpoint, starts, lag),
            Step::RollOn(position, pause) => self.roll_on(position, pause),
            Step::AwaitRoll(position, process, starts, pause) => {
                self.await_roll(position, process, starts, pause);
            }
            Step::Install(process) => self.install(process),
            Step::SignSessions(process) => {
                let instruction = Instruction::SignSessionsWith(NEXT_SESSION_KEY);
                self.simulation.instruct(process, instruction);
            }
        }
    }

    fn begin(&mut self, occurrence: Occurrence) {
        let fault = self.faults[occurrence.fault].clone();
        let lasts = occurrence.lasts;
        match fault.kind {
            FaultKind::Kill | FaultKind::PowerLoss => {
                let cause = match fault.kind {
                    FaultKind::Kill => StopCause::Killed,
                    _ => StopCause::PowerLost,
                };
                let process = self.machine(fault.machine, &fault);
                self.stop(process, cause, lasts);
            }
            FaultKind::Freeze => {
                let process = self.machine(fault.machine, &fault);
                self.simulation.kernel_mut().freeze(process);
                self.after(lasts, Step::Thaw(process));
            }
            FaultKind::ZoneCut => self.begin_cut(fault.direction, lasts),
            FaultKind::Disorder => {
                let number = self.after(lasts, Step::EndDisorder(self.next_step + 1));
                self.disorders.insert(number, disorder_of(&fault));
                self.apply_network();
            }
            FaultKind::Slow => {
                let service = self.service(&fault);
                self.set_slow(service, occurrence.percent);
                self.after(lasts, Step::EndSlow(service));
            }
            FaultKind::Failing => {
                let service = self.service(&fault);
                self.set_failing(service, occurrence.percent);
                self.after(lasts, Step::EndFailing(service));
            }
            FaultKind::Leaving => self.leave(&fault, &occurrence),
            FaultKind::StopPlanned => {
                let process = self.machine(fault.machine, &fault);
                self.stop_planned(process);
            }
            FaultKind::RollingStop => self.roll_on(0, lasts),
            FaultKind::FlatteringReport => self.mislead(&fault, ReportFault::Flattering, lasts),
            FaultKind::AlarmingReport => self.mislead(&fault, ReportFault::Alarming, lasts),
            FaultKind::NewBundle => self.roll_out(lasts),
            FaultKind::RotateSessionKey => self.rotate_session_key(lasts),
        }
    }

    /// Stops a process at once and starts it again after a while.
    fn stop(&mut self, process: ProcessId, cause: StopCause, down: Duration) {
        let kernel = self.simulation.kernel_mut();
        kernel.stop(process, cause);
        kernel.start_after(process, down);
    }

    fn begin_cut(&mut self, direction: Direction, lasts: Duration) {
        let zones = self.simulation.topology().zones.len();
        let zone = ZoneIndex(self.random.random_range(0..zones));
        let drawn = match direction {
            Direction::Any => match self.random.random_range(0..3) {
                0 => Direction::In,
                1 => Direction::Out,
                _ => Direction::Both,
            },
            stated => stated,
        };
        let cut = Cut {
            zone,
            into: drawn != Direction::Out,
            out_of: drawn != Direction::In,
        };
        let number = self.after(lasts, Step::EndCut(self.next_step + 1));
        self.cuts.insert(number, cut);
        self.apply_network();
    }

    /// Sets the network to the cuts and disorders in force.
    fn apply_network(&mut self) {
        self.simulation.heal();
        self.record(FaultRecord::Healed);
        for cut in self.cuts.clone().into_values() {
            let Cut { zone, into, out_of } = cut;
            self.simulation.cut_ways(zone, into, out_of);
            self.record(FaultRecord::ZoneCut { zone, into, out_of });
        }
        if let Some(disorder) = self.disorders.values().next_back().copied() {
            let network = self.simulation.kernel_mut().network_mut();
            network.set_disorder(disorder);
            self.record(FaultRecord::Disorder);
        }
    }

    fn host(&mut self, endpoint: EndpointIndex) -> &mut super::super::host::Host {
        let process = self.simulation.places().host(endpoint);
        self.simulation.host_at(process)
    }

    fn endpoints_of(&self, service: ServiceIndex) -> Vec<EndpointIndex> {
        self.simulation.topology().services[service.0]
            .endpoints
            .clone()
    }

    fn set_slow(&mut self, service: ServiceIndex, percent: u64) {
        let factor = percent as f64 / 100.0;
        self.simulation.set_slowdown(service, factor);
        self.record(FaultRecord::Slow { service, percent });
    }

    fn set_failing(&mut self, service: ServiceIndex, percent: u64) {
        for endpoint in self.endpoints_of(service) {
            self.host(endpoint).set_failing(percent as f64 / 100.0);
        }
        self.record(FaultRecord::Failing { service, percent });
    }

    fn mislead(&mut self, fault: &Fault, report: ReportFault, lasts: Duration) {
        let endpoint = self.endpoint(fault);
        self.host(endpoint).set_report_fault(Some(report));
        self.record(FaultRecord::MisleadingReport { endpoint });
        self.after(lasts, Step::EndReport(endpoint));
    }

    fn leave(&mut self, fault: &Fault, occurrence: &Occurrence) {
        let endpoint = self.endpoint(fault);
        let process = self.simulation.places().host(endpoint);
        let seen_on = match fault.seen_on {
            SeenOn::Report => {
                self.host(endpoint).announce_drain();
                DrainSeenOn::Report
            }
            SeenOn::Daemon => DrainSeenOn::Daemon,
            SeenOn::List => DrainSeenOn::List,
        };
        if seen_on == DrainSeenOn::List {
            self.list(endpoint, true);
        } else {
            self.after(occurrence.list_lag, Step::List(endpoint, true));
        }
        self.record(FaultRecord::Leaving { endpoint, seen_on });
        let ends = occurrence.lasts;
        let starts = self.simulation.kernel().starts(process);
        let lag = occurrence.list_lag;
        self.after(lag, Step::AwaitStart(endpoint, starts, lag));
        if seen_on == DrainSeenOn::Daemon {
            self.stop_planned(process);
        } else {
            self.after(ends, Step::StopPlanned(process));
        }
    }

    /// Once an endpoint has started again, its daemon registers; the platform's list follows.
    fn await_start(&mut self, endpoint: EndpointIndex, starts: u32, lag: Duration) {
        let process = self.simulation.places().host(endpoint);
        let kernel = self.simulation.kernel();
        let has_started = kernel.starts(process) > starts;
        if !has_started {
            self.after(LOOK_FOR_START, Step::AwaitStart(endpoint, starts, lag));
            return;
        }
        self.list(endpoint, false);
        if !lag.is_zero() {
            self.after(lag, Step::List(endpoint, false));
        }
    }

    /// The platform's list says something new of an endpoint to every daemon.
    fn list(&mut self, endpoint: EndpointIndex, is_leaving: bool) {
        let topology = Arc::clone(self.simulation.topology());
        let shape = &topology.endpoints[endpoint.0];
        let places = self.simulation.places();
        let entry = DirectoryEndpoint {
            endpoint: shape.name.clone(),
            service: topology.services[shape.service.0].name.clone(),
            zone: topology.zones[shape.zone.0].clone(),
            address: super::super::places::Places::address(places.host(endpoint)),
            draining: is_leaving,
        };
        let update = DirectoryUpdate {
            is_complete: false,
            live: vec![entry.clone()],
            removed: Vec::new(),
        };
        for process in self.hosts() {
            self.simulation.host_at(process).set_listed(entry.clone());
            let instruction = Instruction::Directory(update.clone());
            self.simulation.instruct(process, instruction);
        }
    }

    fn hosts(&self) -> Vec<ProcessId> {
        let places = self.simulation.places();
        let topology = self.simulation.topology();
        let endpoints = (0..topology.endpoints.len()).map(EndpointIndex);
        let gateways = (0..topology.zones.len()).map(ZoneIndex);
        endpoints
            .map(|endpoint| places.host(endpoint))
            .chain(gateways.map(|zone| places.gateway(zone)))
            .collect()
    }

    fn stop_planned(&mut self, process: ProcessId) {
        match self.simulation.kernel().state(process) {
            ProcessState::Running => {}
            ProcessState::Frozen => {
                // The wish to stop waits until the process goes on.
                self.after(LOOK_FOR_START, Step::StopPlanned(process));
                return;
            }
            ProcessState::Stopped => return,
        }
        self.record(FaultRecord::StopPlanned { process });
        if (process.0 as usize) < self.simulation.topology().endpoints.len() {
            let endpoint = EndpointIndex(process.0 as usize);
            self.after(REGISTRATION, Step::List(endpoint, true));
            let starts = self.simulation.kernel().starts(process);
            let await_start = Step::AwaitStart(endpoint, starts, Duration::ZERO);
            self.after(LOOK_FOR_START, await_start);
        }
        let down = RESTART_AFTER;
        self.simulation
            .instruct(process, Instruction::StopPlanned { down });
    }

    /// Stops every machine, one after the other: endpoints, gateways, replicas. The next is
    /// stopped once the one before has started again, and some time later.
    fn roll_on(&mut self, position: usize, pause: Duration) {
        let places = self.simulation.places();
        let hosts = self.hosts();
        let replica = u32::try_from(position.saturating_sub(hosts.len())).unwrap_or(u32::MAX);
        let process = match hosts.get(position) {
            Some(host) => {
                self.stop_planned(*host);
                *host
            }
            None if replica < self.replicas => {
                self.carry_out(Step::HandOver(replica));
                places.replica(replica)
            }
            None => return,
        };
        let starts = self.simulation.kernel().starts(process);
        self.await_roll(position, process, starts, pause);
    }

    fn await_roll(&mut self, position: usize, process: ProcessId, starts: u32, pause: Duration) {
        if self.simulation.kernel().starts(process) > starts {
            self.after(pause, Step::RollOn(position + 1, pause));
        } else {
            let step = Step::AwaitRoll(position, process, starts, pause);
            self.after(LOOK_FOR_START, step);
        }
    }

    fn roll_out(&mut self, within: Duration) {
        let mut bundle = Bundle::clone(&self.bundle);
        bundle.version = BundleVersion(bundle.version.0 + 1);
        for service in bundle.services.values_mut() {
            service.admission.queue_length = service.admission.queue_length.div_ceil(2);
        }
        self.bundle = Arc::new(bundle);
        for process in self.hosts() {
            let wait = within.mul_f64(self.random.random_range(0.0..1.0));
            self.after(wait, Step::Install(process));
        }
    }

    fn install(&mut self, process: ProcessId) {
        let bundle = Arc::clone(&self.bundle);
        let version = bundle.version.0;
        self.simulation
            .host_at(process)
            .set_bundle(Arc::clone(&bundle));
        self.simulation
            .instruct(process, Instruction::Install(bundle));
        self.record(FaultRecord::Bundle { process, version });
    }

    fn rotate_session_key(&mut self, within: Duration) {
        for process in self.hosts() {
            let wait = within.mul_f64(self.random.random_range(0.0..1.0));
            self.after(wait, Step::SignSessions(process));
        }
    }

    fn service(&mut self, fault: &Fault) -> ServiceIndex {
        let topology = self.simulation.topology();
        let named = fault.service.as_ref().and_then(|name| {
            let mut services = topology.services.iter();
            services.position(|service| service.name.as_str() == name)
        });
        let count = topology.services.len();
        ServiceIndex(named.unwrap_or_else(|| self.random.random_range(0..count)))
    }

    fn endpoint(&mut self, fault: &Fault) -> EndpointIndex {
        let service = self.service(fault);
        let endpoints = self.endpoints_of(service);
        endpoints[self.random.random_range(0..endpoints.len())]
    }

    fn machine(&mut self, kind: MachineKind, fault: &Fault) -> ProcessId {
        let places = self.simulation.places();
        match kind {
            MachineKind::Endpoint => {
                let endpoint = self.endpoint(fault);
                places.host(endpoint)
            }
            MachineKind::Gateway => {
                let zones = self.simulation.topology().zones.len();
                places.gateway(ZoneIndex(self.random.random_range(0..zones)))
            }
            MachineKind::Replica => places.replica(self.random.random_range(0..self.replicas)),
            MachineKind::Leader => {
                let drawn = self.random.random_range(0..self.replicas);
                places.replica(self.simulation.leader(self.replicas).unwrap_or(drawn))
            }
        }
    }
}

fn disorder_of(fault: &Fault) -> Disorder {
    let share = |percent: u8| f64::from(percent) / 100.0;
    Disorder {
        loss: share(fault.loss_percent),
        duplicate: share(fault.duplicate_percent),
        reorder: share(fault.reorder_percent),
    }
}
