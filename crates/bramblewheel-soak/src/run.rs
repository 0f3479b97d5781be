//! Runs one soak: starts the processes, injects the faults and checks the recorded history.

use crate::check::{Breach, RECOVERY_TIME, check};
use crate::cuts::cut_machines;
use crate::endpoint::{Endpoint, EndpointSettings};
use crate::final_reads::read_from_all;
use crate::fleet::{Addresses, FleetError, Host, Programs, service_of};
use crate::foreign::ForeignMessages;
use crate::history::{End, History, Request, Timestamp};
use crate::host_controls::HostControls;
use crate::late_starts;
use crate::lateness;
use crate::load::{
    callers, fatal_callers, kept_callers, operate, probes, restart_ended, watch_processes,
};
use crate::lost_machine::LostMachine;
use crate::open_files;
use crate::operator::Operators;
use crate::plan::{Machine, STARTUP_TIME, Size, Step};
use crate::scenario::{Disturbances, Scenario};
use crate::suspensions::suspend_daemons;
use crate::tenants::{self, TENANTS};
use crate::traffic::{Call, send};
use crate::workload::Workload;
use crate::workload_traffic;
use bramblewheel_platform_client as wire;
use bytes::Bytes;
use http::{Method, StatusCode};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Longest wait at the beginning for all daemons to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which traffic continues after the recovery time, so that the recovered service can be checked.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
/// Time after which an endpoint that crashed while running a request is started again.
const ENDPOINT_RESTART_DELAY: Duration = Duration::from_millis(1_000);

/// Result of a soak.
#[derive(Debug)]
pub struct Verdict {
    /// Broken promises.
    pub breaches: Vec<Breach>,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered with success.
    pub served: usize,
    /// Configuration changes that were acknowledged.
    pub orders: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Foreign heartbeats and deregistrations that were sent.
    pub foreign: usize,
}

/// A running soak.
pub(crate) struct Soak {
    pub(crate) history: History,
    pub(crate) addresses: Addresses,
    pub(crate) daemons: usize,
    pub(crate) hosts: BTreeMap<Machine, Arc<Mutex<Host>>>,
    pub(crate) controls: BTreeMap<Machine, HostControls>,
    pub(crate) endpoints: Vec<Mutex<Option<Endpoint>>>,
    /// Generation of each daemon's process; advances when the process ends and when it is started again.
    pub(crate) process_generations: Vec<AtomicU64>,
    pub(crate) lost_machine: LostMachine,
    next_endpoint: AtomicU64,
    /// When the last fault of the plan begins, once faults are injected.
    last_fault_begins: OnceLock<Timestamp>,
    are_faults_over: AtomicBool,
    is_over: AtomicBool,
    /// Load in percent of the usual load.
    pub(crate) load_percent: AtomicU32,
    workload: Arc<Workload>,
    pub(crate) foreign_messages: ForeignMessages,
    pub(crate) seed: u64,
    /// Until when endpoints state rate limits and that they drain; `None` if they state neither.
    statements_until: Option<Timestamp>,
}

/// Runs `programs` with the faults of a seed and with `disturbances`; settings, data and logs go to `folder`.
///
/// # Errors
/// [`FleetError`] when the soak itself can't continue.
pub async fn run(
    seed: u64,
    scenario: &Scenario,
    disturbances: Disturbances,
    size: Size,
    addresses: Addresses,
    programs: &Programs,
    folder: &Path,
) -> Result<Verdict, FleetError> {
    let mut steps = scenario.steps(seed, size);
    if disturbances.has_cuts {
        // The last fault of a plan may restart all processes, which would close what cuts left behind.
        steps.pop();
    }
    let faults_end = STARTUP_TIME + size.length;
    let statements_until = disturbances
        .has_statements
        .then_some(disturbances.statements_until.unwrap_or(faults_end));
    let soak = Soak::prepare(
        seed,
        scenario,
        size,
        addresses,
        programs,
        folder,
        statements_until,
    );
    let soak = Arc::new(soak.await?);
    for host in soak.hosts.values() {
        host.lock().await.start()?;
    }
    for daemon in 0..size.daemons {
        soak.start_endpoint(daemon).await?;
    }
    let routes = soak.workload.routes();
    let history = soak.history.clone();
    let tenants = if disturbances.has_tenants {
        &TENANTS[..]
    } else {
        &[]
    };
    let mut operators = Operators::new(history, addresses, size.replicas, seed, routes, tenants);
    operators.change().await;
    soak.wait_until_ready().await;
    let open_files = open_files::count(&soak);
    let mut background = JoinSet::new();
    for daemon in 0..size.daemons {
        spawn_callers(&mut background, &soak, scenario, daemon);
        background.spawn(probes(Arc::clone(&soak), daemon));
        background.spawn(restart_ended(Arc::clone(&soak), daemon));
        if disturbances.has_tenants {
            background.spawn(tenants::callers(Arc::clone(&soak), daemon));
        }
    }
    background.spawn(watch_processes(Arc::clone(&soak)));
    background.spawn(lateness::measure(Arc::clone(&soak)));
    if let Some(last) = steps.last() {
        soak.last_fault_begins
            .get_or_init(|| soak.history.now() + last.at);
    }
    if let Some(suspensions) = disturbances.suspensions {
        background.spawn(suspend_daemons(Arc::clone(&soak), suspensions));
    }
    if disturbances.has_cuts {
        background.spawn(cut_machines(Arc::clone(&soak)));
    }
    if matches!(scenario, Scenario::Faults(_)) {
        background.spawn(fatal_callers(Arc::clone(&soak), size));
    }
    if let (Scenario::PlannedStops(_), Some(first)) = (scenario, steps.first()) {
        let at = soak.history.now() + first.at;
        let mut events = soak.history.events();
        events.first_fault = Some(at);
        events.is_overloaded = soak.workload.fills_slots();
    }
    if matches!(scenario, Scenario::Faults(_)) {
        soak.history.events().daemons = size.daemons;
    }
    let operations = tokio::spawn(operate(Arc::clone(&soak), operators));
    inject_faults(&soak, &steps).await?;
    soak.are_faults_over.store(true, Ordering::Relaxed);
    let faults_ended = soak.history.now();
    {
        let mut events = soak.history.events();
        events.last_fault_ended = faults_ended;
        events.replicas = size.replicas;
    }
    tokio::time::sleep(RECOVERY_TIME + OBSERVATION_TIME).await;
    read_from_all(&soak, size.replicas).await;
    soak.is_over.store(true, Ordering::Relaxed);
    while background.join_next().await.is_some() {}
    // The operators finish with a last read.
    let _ = operations.await;
    open_files::record_remaining(&soak, &open_files).await;
    for (machine, host) in &soak.hosts {
        let mut host = host.lock().await;
        host.kill().await;
        lateness::read_log(&soak.history, *machine, host.folder());
    }
    Ok(soak.verdict(steps.len()))
}

fn spawn_callers(
    background: &mut JoinSet<()>,
    soak: &Arc<Soak>,
    scenario: &Scenario,
    daemon: usize,
) {
    if matches!(scenario, Scenario::Faults(_)) {
        background.spawn(callers(Arc::clone(soak), daemon));
        background.spawn(kept_callers(Arc::clone(soak), daemon));
        return;
    }
    let kinds = soak.workload.kinds.iter();
    for kind in kinds.filter(|kind| kind.per_second > 0.0) {
        let caller = workload_traffic::callers(Arc::clone(soak), daemon, kind.clone());
        background.spawn(caller);
    }
}

async fn inject_faults(soak: &Arc<Soak>, steps: &[Step]) -> Result<(), FleetError> {
    let start = tokio::time::Instant::now();
    let mut injections = JoinSet::new();
    for step in steps {
        tokio::time::sleep_until(start + step.at).await;
        println!(
            "{:8.2}s {:?} for {:?}",
            soak.history.now().as_secs_f64(),
            step.fault,
            step.lasts
        );
        let (soak, step) = (Arc::clone(soak), *step);
        injections.spawn(async move { soak.inject(step).await });
    }
    while let Some(result) = injections.join_next().await {
        result.expect("fault injection does not panic")?;
    }
    Ok(())
}

impl Soak {
    async fn prepare(
        seed: u64,
        scenario: &Scenario,
        size: Size,
        addresses: Addresses,
        programs: &Programs,
        folder: &Path,
        statements_until: Option<Timestamp>,
    ) -> Result<Self, FleetError> {
        let workload = Arc::new(scenario.workload());
        let control = (0..size.replicas).map(Machine::Control);
        let machines = control.chain((0..size.daemons).map(Machine::Daemon));
        let mut hosts = BTreeMap::new();
        let mut controls = BTreeMap::new();
        for machine in machines {
            let host = Host::prepare(
                machine,
                addresses,
                size.replicas,
                workload.services,
                programs,
                folder,
            );
            let host = host.await?;
            controls.insert(machine, host.controls());
            hosts.insert(machine, Arc::new(Mutex::new(host)));
        }
        Ok(Self {
            history: History::default(),
            addresses,
            daemons: size.daemons,
            hosts,
            controls,
            endpoints: (0..size.daemons).map(|_| Mutex::new(None)).collect(),
            process_generations: (0..size.daemons).map(|_| AtomicU64::new(0)).collect(),
            lost_machine: LostMachine::default(),
            next_endpoint: AtomicU64::new(0),
            last_fault_begins: OnceLock::new(),
            are_faults_over: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            load_percent: AtomicU32::new(100),
            workload,
            foreign_messages: scenario.foreign_messages(),
            seed,
            statements_until,
        })
    }

    /// Starts a new endpoint beside a daemon if its endpoint has crashed while running a request.
    pub(crate) async fn restart_if_ended(&self, daemon: usize) {
        let has_ended = |endpoint: &mut Option<Endpoint>| {
            let is_over = endpoint.as_ref().is_some_and(Endpoint::has_ended);
            is_over.then(|| endpoint.take()).is_some()
        };
        if !has_ended(&mut *self.endpoints[daemon].lock().await) {
            return;
        }
        tokio::time::sleep(ENDPOINT_RESTART_DELAY).await;
        if let Err(error) = self.start_endpoint(daemon).await {
            println!("endpoint beside daemon {daemon} not started again: {error}");
        }
    }

    pub(crate) async fn start_endpoint(&self, daemon: usize) -> Result<(), FleetError> {
        let number = self.next_endpoint.fetch_add(1, Ordering::Relaxed);
        self.start_endpoint_as(daemon, format!("e-{number}")).await
    }

    /// Starts an endpoint under the given id, which an earlier endpoint may have used.
    pub(crate) async fn start_endpoint_as(
        &self,
        daemon: usize,
        id: String,
    ) -> Result<(), FleetError> {
        let number = self.next_endpoint.fetch_add(1, Ordering::Relaxed);
        let machine = Machine::Daemon(daemon);
        let settings = EndpointSettings {
            id,
            service: service_of(daemon, self.workload.services),
            address: self.addresses.bound(machine),
            daemon,
            admin: self.addresses.admin(machine),
            outbound: self.addresses.outbound(daemon),
            workload: Arc::clone(&self.workload),
            seed: self.seed ^ number,
            statements_until: self.statements_until,
        };
        let started = Endpoint::start(settings, self.history.clone());
        let endpoint = started.await.map_err(|error| FleetError::Io {
            context: "endpoint".to_owned(),
            error,
        })?;
        *self.endpoints[daemon].lock().await = Some(endpoint);
        Ok(())
    }

    /// Waits until every daemon reports that it is ready, for [`READY_TIMEOUT`] at most.
    async fn wait_until_ready(&self) {
        let start = tokio::time::Instant::now();
        for daemon in 0..self.daemons {
            while start.elapsed() < READY_TIMEOUT && !self.is_ready(daemon).await {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    async fn is_ready(&self, daemon: usize) -> bool {
        let call = Call {
            method: Method::GET,
            path: wire::READY,
            headers: &[],
            body: Bytes::new(),
        };
        let answer = send(self.addresses.ready(daemon), call, Duration::from_secs(1)).await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    }

    /// Number of services.
    pub(crate) fn services(&self) -> usize {
        self.workload.services
    }

    /// Load as a factor of the usual load.
    pub(crate) fn load_factor(&self) -> f64 {
        f64::from(self.load_percent.load(Ordering::Relaxed)) / 100.0
    }

    /// Whether the last fault of the plan begins by `at`.
    pub(crate) fn begins_last_fault_by(&self, at: Timestamp) -> bool {
        let begins = self.last_fault_begins.get();
        begins.is_some_and(|begins| *begins <= at)
    }

    /// Whether the last fault of the plan has ended.
    pub(crate) fn are_faults_over(&self) -> bool {
        self.are_faults_over.load(Ordering::Relaxed)
    }

    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn verdict(&self, faults: usize) -> Verdict {
        let mut events = self.history.events();
        events.ended = self.history.now();
        lateness::print_summary(&events.late_processes, events.ended);
        late_starts::print_summary(&events);
        let is_served = |request: &&Request| {
            let end = request.ended.as_ref().map(|(_, end)| end);
            matches!(end, Some(End::Answer { status: 200, .. }))
        };
        let services = self.workload.services;
        let service = |daemon| service_of(daemon, services);
        let is_acknowledged = |order: &&crate::history::Order| order.acknowledged.is_some();
        Verdict {
            breaches: check(&events, &service, &wire::version_of),
            requests: events.requests.len(),
            served: events.requests.iter().filter(is_served).count(),
            orders: events.orders.iter().filter(is_acknowledged).count(),
            faults,
            foreign: events.foreign.len(),
        }
    }
}
