//! One soak from its start to its verdict.

use crate::check::{Breach, RECOVERY, check};
use crate::endpoint::{Endpoint, EndpointSettings};
use crate::fleet::{Addresses, FleetError, Host, Programs, service_of};
use crate::foreign::ForeignMessages;
use crate::history::{End, History, Request};
use crate::load::{
    callers, fatal_callers, kept_callers, operate, probes, restart_ended, watch_processes,
};
use crate::operator::Operators;
use crate::plan::{Machine, Size, Step, plan};
use crate::stop_plan;
use crate::traffic::{Call, send};
use crate::workload::Workload;
use crate::workload_traffic;
use bramblewheel_platform_client as wire;
use bytes::Bytes;
use http::{Method, StatusCode};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Longest wait for the whole to serve at the beginning.
const START_TIME: Duration = Duration::from_secs(15);
/// Traffic after the time in which service must be back.
const CALM_END: Duration = Duration::from_secs(5);
/// Time after which an endpoint that a request ended is started again.
const ENDED_FOR: Duration = Duration::from_millis(1_000);

/// What a soak found.
#[derive(Debug)]
pub struct Verdict {
    /// Broken promises.
    pub breaches: Vec<Breach>,
    /// Requests sent.
    pub requests: usize,
    /// Requests answered with success.
    pub served: usize,
    /// Orders acknowledged.
    pub orders: usize,
    /// Faults that struck.
    pub faults: usize,
    /// Heartbeats and deregistrations that another writer sent.
    pub foreign: usize,
}

/// A running soak.
pub(crate) struct Soak {
    pub(crate) history: History,
    pub(crate) addresses: Addresses,
    pub(crate) daemons: usize,
    pub(crate) hosts: BTreeMap<Machine, Arc<Mutex<Host>>>,
    pub(crate) endpoints: Vec<Mutex<Option<Endpoint>>>,
    /// Starts of each daemon's process.
    pub(crate) lives: Vec<AtomicU64>,
    next_endpoint: AtomicU64,
    is_over: AtomicBool,
    /// Load in percent of the usual one.
    pub(crate) surge_percent: AtomicU32,
    workload: Arc<Workload>,
    pub(crate) foreign_messages: ForeignMessages,
    pub(crate) seed: u64,
}

/// What a soak plays.
#[derive(Clone, Debug)]
pub enum Play {
    /// Faults of all kinds, with plain callers.
    Faults(ForeignMessages),
    /// Planned stops of all forms, with the callers of a workload.
    PlannedStops(Workload),
}

impl Play {
    fn steps(&self, seed: u64, size: Size) -> Vec<Step> {
        match self {
            Self::Faults(_) => plan(seed, size),
            Self::PlannedStops(_) => stop_plan::plan(seed, size),
        }
    }

    fn workload(&self) -> Workload {
        match self {
            Self::Faults(_) => Workload::plain(),
            Self::PlannedStops(workload) => workload.clone(),
        }
    }

    fn foreign_messages(&self) -> ForeignMessages {
        match self {
            Self::Faults(foreign) => *foreign,
            Self::PlannedStops(_) => ForeignMessages::All,
        }
    }
}

/// Runs the programs at `program` with the faults of a seed; files go to `folder`.
///
/// # Errors
/// [`FleetError`] when the soak itself can't go on.
pub async fn run(
    seed: u64,
    play: &Play,
    size: Size,
    addresses: Addresses,
    programs: &Programs,
    folder: &Path,
) -> Result<Verdict, FleetError> {
    let steps = play.steps(seed, size);
    let soak = Soak::prepare(seed, play, size, addresses, programs, folder);
    let soak = Arc::new(soak.await?);
    for host in soak.hosts.values() {
        host.lock().await.start()?;
    }
    for daemon in 0..size.daemons {
        soak.start_endpoint(daemon).await?;
    }
    let routes = soak.workload.routes();
    let history = soak.history.clone();
    let mut operators = Operators::new(history, addresses, size.replicas, seed, routes);
    operators.change().await;
    soak.until_ready().await;
    let mut background = JoinSet::new();
    for daemon in 0..size.daemons {
        spawn_callers(&mut background, &soak, play, daemon);
        background.spawn(probes(Arc::clone(&soak), daemon));
        background.spawn(restart_ended(Arc::clone(&soak), daemon));
    }
    background.spawn(watch_processes(Arc::clone(&soak)));
    if matches!(play, Play::Faults(_)) {
        background.spawn(fatal_callers(Arc::clone(&soak), size));
    }
    if let (Play::PlannedStops(_), Some(first)) = (play, steps.first()) {
        let at = soak.history.now() + first.at;
        let mut events = soak.history.events();
        events.first_fault = Some(at);
        events.is_overloaded = soak.workload.fills_slots();
    }
    if matches!(play, Play::Faults(_)) {
        soak.history.events().daemons = size.daemons;
    }
    let operating = tokio::spawn(operate(Arc::clone(&soak), operators));
    strike_all(&soak, &steps).await?;
    let calm = soak.history.now();
    soak.history.events().calm_since = calm;
    tokio::time::sleep(RECOVERY + CALM_END).await;
    soak.is_over.store(true, Ordering::Relaxed);
    while background.join_next().await.is_some() {}
    // The operators end by themselves with a last read.
    let _ = operating.await;
    for host in soak.hosts.values() {
        host.lock().await.kill().await;
    }
    Ok(soak.verdict(steps.len()))
}

fn spawn_callers(background: &mut JoinSet<()>, soak: &Arc<Soak>, play: &Play, daemon: usize) {
    if matches!(play, Play::Faults(_)) {
        background.spawn(callers(Arc::clone(soak), daemon));
        background.spawn(kept_callers(Arc::clone(soak), daemon));
        return;
    }
    let asked = soak.workload.kinds.iter();
    for kind in asked.filter(|kind| kind.per_second > 0.0) {
        let calling = workload_traffic::callers(Arc::clone(soak), daemon, kind.clone());
        background.spawn(calling);
    }
}

async fn strike_all(soak: &Arc<Soak>, steps: &[Step]) -> Result<(), FleetError> {
    let begun = tokio::time::Instant::now();
    let mut striking = JoinSet::new();
    for step in steps {
        tokio::time::sleep_until(begun + step.at).await;
        println!(
            "{:8.2}s {:?} for {:?}",
            soak.history.now().as_secs_f64(),
            step.fault,
            step.lasts
        );
        let (soak, step) = (Arc::clone(soak), *step);
        striking.spawn(async move { soak.strike(step).await });
    }
    while let Some(struck) = striking.join_next().await {
        struck.expect("a fault is carried out without a panic")?;
    }
    Ok(())
}

impl Soak {
    async fn prepare(
        seed: u64,
        play: &Play,
        size: Size,
        addresses: Addresses,
        programs: &Programs,
        folder: &Path,
    ) -> Result<Self, FleetError> {
        let workload = Arc::new(play.workload());
        let control = (0..size.replicas).map(Machine::Control);
        let machines = control.chain((0..size.daemons).map(Machine::Daemon));
        let mut hosts = BTreeMap::new();
        for machine in machines {
            let host = Host::prepare(
                machine,
                addresses,
                size.replicas,
                workload.services,
                programs,
                folder,
            );
            hosts.insert(machine, Arc::new(Mutex::new(host.await?)));
        }
        Ok(Self {
            history: History::default(),
            addresses,
            daemons: size.daemons,
            hosts,
            endpoints: (0..size.daemons).map(|_| Mutex::new(None)).collect(),
            lives: (0..size.daemons).map(|_| AtomicU64::new(0)).collect(),
            next_endpoint: AtomicU64::new(0),
            is_over: AtomicBool::new(false),
            surge_percent: AtomicU32::new(100),
            workload,
            foreign_messages: play.foreign_messages(),
            seed,
        })
    }

    /// Starts the endpoint beside a daemon again if it has ended under a request.
    pub(crate) async fn restart_if_ended(&self, daemon: usize) {
        let has_ended = |endpoint: &mut Option<Endpoint>| {
            let is_over = endpoint.as_ref().is_some_and(Endpoint::has_ended);
            is_over.then(|| endpoint.take()).is_some()
        };
        if !has_ended(&mut *self.endpoints[daemon].lock().await) {
            return;
        }
        tokio::time::sleep(ENDED_FOR).await;
        if let Err(error) = self.start_endpoint(daemon).await {
            println!("endpoint beside daemon {daemon} not started again: {error}");
        }
    }

    pub(crate) async fn start_endpoint(&self, daemon: usize) -> Result<(), FleetError> {
        let number = self.next_endpoint.fetch_add(1, Ordering::Relaxed);
        self.start_endpoint_as(daemon, format!("e-{number}")).await
    }

    /// Starts an endpoint under an id that an earlier start may have had.
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
        };
        let started = Endpoint::start(settings, self.history.clone());
        let endpoint = started.await.map_err(|error| FleetError::Io {
            what: "endpoint".to_owned(),
            error,
        })?;
        *self.endpoints[daemon].lock().await = Some(endpoint);
        Ok(())
    }

    /// Until every daemon says that it is ready, or for long.
    async fn until_ready(&self) {
        let begun = tokio::time::Instant::now();
        for daemon in 0..self.daemons {
            while begun.elapsed() < START_TIME && !self.is_ready(daemon).await {
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

    /// Services of the endpoints.
    pub(crate) fn services(&self) -> usize {
        self.workload.services
    }

    /// Factor of the usual load.
    pub(crate) fn surge(&self) -> f64 {
        f64::from(self.surge_percent.load(Ordering::Relaxed)) / 100.0
    }

    pub(crate) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn verdict(&self, faults: usize) -> Verdict {
        let mut events = self.history.events();
        events.ended = self.history.now();
        let is_served = |request: &&Request| {
            let end = request.ended.as_ref().map(|(_, end)| end);
            matches!(end, Some(End::Answer { status: 200, .. }))
        };
        let services = self.workload.services;
        let service = |daemon| service_of(daemon, services);
        let is_taken = |order: &&crate::history::Order| order.acknowledged.is_some();
        Verdict {
            breaches: check(&events, &service, &wire::version_of),
            requests: events.requests.len(),
            served: events.requests.iter().filter(is_served).count(),
            orders: events.orders.iter().filter(is_taken).count(),
            faults,
            foreign: events.foreign.len(),
        }
    }
}
