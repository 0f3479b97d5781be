//! A deployment under load: builds the processes, runs them and collects the results of the requests.

use super::actor::RequestActor;
use super::callers::{Callers, RequestResult};
use super::host::{Host, SlotUse};
use super::layer::{Instruction, LayerCounters, LayerOptions, LayerSettings};
use super::ledger::LedgerService;
use super::load::{CallerBehaviour, LoadProfile};
use super::process_layout::ProcessLayout;
use super::record::Record;
use super::replica::{Replica, bootstrap_request};
use super::scripted::{ScriptedCallers, ScriptedSend};
use super::tape::Tape;
use super::topology::{EndpointIndex, ServiceIndex, Topology, ZoneIndex};
use crate::kernel::{Clock, Delay, Entry, Network, ProcessId, Purpose, Simulation, Streams};
use bramblewheel_types::Timestamp;
use std::sync::Arc;
use std::time::Duration;

/// Time that a replica takes to sync its log, as part of the ledger's commit time.
const SYNC_TIME: Duration = Duration::from_millis(1);

/// Inputs of a simulation.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// The deployment.
    pub topology: Arc<Topology>,
    /// The layer.
    pub layer: LayerSettings,
    /// The load.
    pub load: LoadProfile,
    /// Caller behaviour.
    pub callers: CallerBehaviour,
    /// Seed of the run.
    pub seed: u64,
}

/// Inputs of a run that are given instead of drawn.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// Recorder or player of the endpoints' random draws.
    pub tape: Option<Tape>,
    /// Sends of the callers; drawn if absent.
    pub sends: Option<Vec<ScriptedSend>>,
}

/// A run of a deployment under load.
pub struct RequestSimulation {
    topology: Arc<Topology>,
    layout: ProcessLayout,
    simulation: Simulation<RequestActor>,
}

impl RequestSimulation {
    /// Builds and starts all processes.
    pub fn new(settings: &RequestSettings) -> Self {
        Self::with_options(settings, LayerOptions::default())
    }

    /// Like [`new`](Self::new), with control replicas or an unsafe layer.
    pub fn with_options(settings: &RequestSettings, options: LayerOptions) -> Self {
        Self::with_script(settings, options, &Script::default())
    }

    /// Like [`with_options`](Self::with_options), with draws recorded or played back.
    pub fn with_script(settings: &RequestSettings, options: LayerOptions, script: &Script) -> Self {
        let streams = Streams::new(settings.seed);
        let topology = Arc::clone(&settings.topology);
        let network = network(&topology, streams);
        let mut simulation = Simulation::new(streams, network);
        simulation.network_mut().set_reports_undelivered(true);
        simulation.network_mut().set_keeps_connections(true);
        let mut run = Self {
            layout: ProcessLayout::new(&topology),
            topology,
            simulation,
        };
        run.add_hosts(&settings.layer, options, script.tape.as_ref());
        run.add_ledger();
        match &script.sends {
            Some(sends) => run.add_scripted(settings.callers.patience, sends),
            None => run.add_callers(settings),
        }
        run.add_replicas(options.replicas);
        run
    }

    fn add(&mut self, actor: RequestActor, zone: crate::kernel::ZoneId) {
        let process = self.simulation.add(actor, zone, Clock::default());
        self.simulation.start(process);
    }

    fn add_hosts(&mut self, layer: &LayerSettings, options: LayerOptions, tape: Option<&Tape>) {
        let topology = Arc::clone(&self.topology);
        let zones = (0..topology.zones.len()).map(ZoneIndex);
        let endpoints = topology.endpoints.iter().enumerate();
        let hosts = endpoints.map(|(index, spec)| (spec.zone, Some(EndpointIndex(index))));
        let gateways = zones.map(|zone| (zone, None));
        for (zone, endpoint) in hosts.chain(gateways) {
            let host = Host::new(Arc::clone(&topology), zone, endpoint, layer.clone());
            let host = host.with_options(options).with_tape(tape.cloned());
            self.add(
                RequestActor::Host(Box::new(host)),
                ProcessLayout::zone(zone),
            );
        }
    }

    /// Adds the ledger; a commit takes one round trip between zones and one sync.
    fn add_ledger(&mut self) {
        let commit_time = self.topology.delay_between_zones() * 2 + SYNC_TIME;
        let ledger = LedgerService::new(commit_time);
        let zone = ProcessLayout::zone(ZoneIndex(0));
        self.add(RequestActor::Ledger(ledger), zone);
    }

    fn add_callers(&mut self, settings: &RequestSettings) {
        for zone in (0..self.topology.zones.len()).map(ZoneIndex) {
            let callers = Callers::new(
                Arc::clone(&self.topology),
                zone,
                settings.layer.kind,
                settings.load.clone(),
                settings.callers,
            );
            let network_zone = self.layout.caller_zone(zone);
            self.add(RequestActor::Callers(Box::new(callers)), network_zone);
        }
    }

    fn add_scripted(&mut self, patience: Duration, sends: &[ScriptedSend]) {
        for zone in (0..self.topology.zones.len()).map(ZoneIndex) {
            let own = sends.iter().filter(|send| send.zone == zone);
            let own = own.cloned().collect();
            let callers = ScriptedCallers::new(Arc::clone(&self.topology), patience, own);
            let network_zone = self.layout.caller_zone(zone);
            self.add(RequestActor::Scripted(Box::new(callers)), network_zone);
        }
    }

    /// Adds the control replicas as one group, spread over the zones in turn.
    fn add_replicas(&mut self, count: u32) {
        let zones = self.topology.zones.len();
        let mut voters = Vec::new();
        for number in 0..count {
            let process = self.layout.replica(number);
            let random = self.simulation.streams().stream(Purpose::Other(number));
            let replica = Replica::new(number, process, random);
            let zone = ProcessLayout::zone(ZoneIndex(number as usize % zones));
            self.add(RequestActor::Replica(Box::new(replica)), zone);
            if let RequestActor::Replica(replica) = self.simulation.actor(process) {
                voters.extend(replica.address().cloned());
            }
        }
        for number in 0..count {
            let request = bootstrap_request(voters.clone());
            let process = self.layout.replica(number);
            self.simulation.with(process, |actor, context| {
                if let RequestActor::Replica(replica) = actor {
                    replica.bootstrap(context, request);
                }
            });
        }
    }

    /// Passes an instruction to the layer of a machine, if the machine runs.
    pub fn instruct(&mut self, process: ProcessId, instruction: Instruction) {
        self.simulation.with(process, |actor, context| {
            if let RequestActor::Host(host) = actor {
                host.instruct(context, instruction);
            }
        });
    }

    /// Makes a control replica transfer its leadership, if it leads.
    pub fn hand_over(&mut self, replica: u32) {
        let process = self.layout.replica(replica);
        self.simulation.with(process, |actor, context| {
            if let RequestActor::Replica(replica) = actor {
                replica.hand_over(context);
            }
        });
    }

    /// Number of the control replica that leads, if any.
    pub fn leader(&self, replicas: u32) -> Option<u32> {
        (0..replicas).find(
            |number| match self.simulation.actor(self.layout.replica(*number)) {
                RequestActor::Replica(replica) => replica.is_leader(),
                _ => false,
            },
        )
    }

    /// The host of an endpoint or a gateway.
    pub fn host_at(&mut self, process: ProcessId) -> &mut Host {
        self.host_mut(process)
    }

    /// Handles all events up to a virtual time.
    pub fn run_until(&mut self, end: Timestamp) {
        self.simulation.run_until(end);
    }

    /// Slows all work of a service by a factor.
    pub fn set_slowdown(&mut self, service: ServiceIndex, factor: f64) {
        let topology = Arc::clone(&self.topology);
        for endpoint in &topology.services[service.0].endpoints {
            self.host_mut(self.layout.host(*endpoint))
                .set_slowdown(factor);
        }
    }

    /// Cuts a zone off from the other zones and their callers; its own callers still reach it.
    pub fn cut_zone(&mut self, zone: ZoneIndex) {
        self.cut_ways(zone, true, true);
    }

    /// Like [`cut_zone`](Self::cut_zone), for messages into the zone, out of it, or both.
    pub fn cut_ways(&mut self, zone: ZoneIndex, into: bool, out_of: bool) {
        let others = self.other_zones(zone);
        let inside = [ProcessLayout::zone(zone), self.layout.caller_zone(zone)];
        for outside in others {
            for own in inside {
                if out_of {
                    self.simulation.network_mut().cut_zone(own, outside);
                }
                if into {
                    self.simulation.network_mut().cut_zone(outside, own);
                }
            }
        }
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.simulation.network_mut().heal();
    }

    fn other_zones(&self, zone: ZoneIndex) -> Vec<crate::kernel::ZoneId> {
        (0..self.topology.zones.len())
            .map(ZoneIndex)
            .filter(|other| *other != zone)
            .flat_map(|other| [ProcessLayout::zone(other), self.layout.caller_zone(other)])
            .collect()
    }

    /// The simulation kernel, for faults of single processes.
    pub fn kernel_mut(&mut self) -> &mut Simulation<RequestActor> {
        &mut self.simulation
    }

    /// The simulation kernel.
    pub fn kernel(&self) -> &Simulation<RequestActor> {
        &self.simulation
    }

    /// Mapping of machines to processes.
    pub fn layout(&self) -> ProcessLayout {
        self.layout
    }

    /// The deployment.
    pub fn topology(&self) -> &Arc<Topology> {
        &self.topology
    }

    /// Removes and returns the history's entries since the last call.
    pub fn take_history(&mut self) -> Vec<Entry<Record>> {
        self.simulation.history_mut().take_entries()
    }

    fn host_mut(&mut self, process: ProcessId) -> &mut Host {
        match self.simulation.actor_mut(process) {
            RequestActor::Host(host) => host,
            _ => unreachable!("the layout maps endpoints and gateways to hosts only"),
        }
    }

    /// Hosts of the endpoints, then of the gateways.
    pub fn hosts(&self) -> impl Iterator<Item = &Host> {
        let endpoints = (0..self.topology.endpoints.len()).map(EndpointIndex);
        let gateways = (0..self.topology.zones.len()).map(ZoneIndex);
        let processes = endpoints
            .map(|endpoint| self.layout.host(endpoint))
            .chain(gateways.map(|zone| self.layout.gateway(zone)));
        processes.filter_map(|process| match self.simulation.actor(process) {
            RequestActor::Host(host) => Some(host.as_ref()),
            _ => None,
        })
    }

    /// Number of callers' requests in progress.
    pub fn open_requests(&self) -> usize {
        let zones = (0..self.topology.zones.len()).map(ZoneIndex);
        let callers = zones.map(|zone| self.simulation.actor(self.layout.callers(zone)));
        callers
            .map(|actor| match actor {
                RequestActor::Callers(callers) => callers.open(),
                _ => 0,
            })
            .sum()
    }

    /// Result of each person's request.
    pub fn results(&self) -> impl Iterator<Item = &RequestResult> {
        let zones = (0..self.topology.zones.len()).map(ZoneIndex);
        zones
            .filter_map(
                |zone| match self.simulation.actor(self.layout.callers(zone)) {
                    RequestActor::Callers(callers) => Some(callers.results()),
                    _ => None,
                },
            )
            .flatten()
    }

    /// Slot time spent so far, by request.
    pub fn slot_uses(&self) -> impl Iterator<Item = &SlotUse> {
        self.hosts().flat_map(Host::slot_uses)
    }

    /// Sum of the layer counters of all machines.
    pub fn counters(&self) -> LayerCounters {
        let mut sum = LayerCounters::default();
        for host in self.hosts() {
            sum += host.counters();
        }
        sum
    }
}

fn network(topology: &Topology, streams: Streams) -> Network {
    let exactly = |duration| Delay {
        shortest: duration,
        longest: duration,
    };
    let zones = topology.zones.len();
    let inside = exactly(topology.delay(ZoneIndex(0), ZoneIndex(0)));
    let between = exactly(topology.delay_between_zones());
    let random = streams.stream(Purpose::Network);
    let mut network = Network::new(2 * zones, inside, between, random);
    // The second half of the network zones holds the callers. Each send of a caller opens a connection.
    let to_clients = exactly(topology.client_delay());
    let from_clients = exactly(topology.client_delay() + topology.connect_time());
    for zone in (0..zones).map(ZoneIndex) {
        for client in (zones..2 * zones).map(ZoneIndex) {
            network.set_delay(
                ProcessLayout::zone(zone),
                ProcessLayout::zone(client),
                to_clients,
            );
            network.set_delay(
                ProcessLayout::zone(client),
                ProcessLayout::zone(zone),
                from_clients,
            );
        }
    }
    network
}
