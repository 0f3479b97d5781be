//! Builds the processes and the network of a scenario.

use super::actor::ControlActor;
use super::address;
use super::bundles;
use super::daemon::{DaemonMachine, DaemonSettings};
use super::double::UnsafeDouble;
use super::operator::{Operator, OperatorSettings};
use super::replica::{ReplicaMachine, ReplicaSettings};
use super::scenario::{ControlScenario, Topology};
use crate::kernel::{Clock, Delay, Network, ProcessId, Purpose, Simulation, Streams, ZoneId};
use crate::scenario::Range;
use bramblewheel_protocol::control::{EndpointRegistration, Registration};
use bramblewheel_types::{DaemonId, EndpointId, RegionName, ZoneName};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Interval of the heartbeats of a leader.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Silence of the leader after which a follower starts an election.
const ELECTION: Duration = Duration::from_millis(1_000);
/// Silence after which a daemon is removed from the directory.
const DAEMON_LEASE: Duration = Duration::from_secs(10);
/// Largest origin of a clock, in microseconds.
const MAX_CLOCK_ORIGIN: u64 = 1_000_000_000;
/// Offset of the random number streams of machines, which are separate from those of processes.
const MACHINE_STREAMS: u32 = 1_000_000;

/// Processes of a run by role.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProcessRoles {
    /// Control replicas.
    pub replicas: Vec<ProcessId>,
    /// Daemons.
    pub daemons: Vec<ProcessId>,
    /// Operators.
    pub operators: Vec<ProcessId>,
    zones: Vec<ZoneId>,
}

impl ProcessRoles {
    /// A name for reports, such as `replica-2`.
    pub fn name(&self, process: ProcessId) -> String {
        let roles = [
            ("replica", &self.replicas),
            ("daemon", &self.daemons),
            ("operator", &self.operators),
        ];
        for (role, members) in roles {
            if let Some(index) = members.iter().position(|member| *member == process) {
                return format!("{role}-{}", index + 1);
            }
        }
        format!("process-{}", process.0)
    }

    /// Zone of a process.
    pub fn zone(&self, process: ProcessId) -> ZoneId {
        self.zones[process.0 as usize]
    }

    /// All other zones with a machine.
    pub fn other_zones(&self, zone: ZoneId) -> impl Iterator<Item = ZoneId> {
        let mut others: Vec<ZoneId> = self.zones.iter().copied().filter(|z| *z != zone).collect();
        others.sort_unstable();
        others.dedup();
        others.into_iter()
    }
}

/// Builds a scenario and starts all its processes.
pub(super) fn build(
    scenario: &ControlScenario,
    seed: u64,
    double: Option<UnsafeDouble>,
) -> (Simulation<ControlActor>, ProcessRoles) {
    let streams = Streams::new(seed);
    let mut builder = Builder {
        simulation: Simulation::new(streams, network(&scenario.topology, streams)),
        roles: ProcessRoles::default(),
        clocks: streams.stream(Purpose::Clocks),
        streams,
        topology: &scenario.topology,
        double,
    };
    builder.add_replicas();
    builder.add_daemons();
    builder.add_operators(scenario);
    let Builder {
        mut simulation,
        roles,
        ..
    } = builder;
    let members = [&roles.replicas, &roles.daemons, &roles.operators];
    for &process in members.into_iter().flatten() {
        simulation.start(process);
    }
    (simulation, roles)
}

fn network(topology: &Topology, streams: Streams) -> Network {
    let mut network = Network::new(
        usize::from(topology.zones),
        delay(topology.delay_inside_us),
        delay(topology.delay_between_us),
        streams.stream(Purpose::Network),
    );
    network.set_reports_undelivered(true);
    network
}

fn delay(micros: Range) -> Delay {
    Delay {
        shortest: Duration::from_micros(micros.lowest),
        longest: Duration::from_micros(micros.highest),
    }
}

struct Builder<'a> {
    simulation: Simulation<ControlActor>,
    roles: ProcessRoles,
    clocks: Pcg64Mcg,
    streams: Streams,
    topology: &'a Topology,
    double: Option<UnsafeDouble>,
}

impl Builder<'_> {
    fn add_replicas(&mut self) {
        for index in 0..self.topology.replicas {
            let process = self.next_process();
            let settings = ReplicaSettings {
                name: format!("control-{}", index + 1),
                process,
                heartbeat: HEARTBEAT,
                election: ELECTION,
                daemon_lease: DAEMON_LEASE,
                snapshot_interval: self.topology.snapshot_interval,
                sync_us: self.topology.sync_us,
                double: self.double,
            };
            let machine = ReplicaMachine::new(settings, self.machine_stream());
            self.add(ControlActor::Replica(Box::new(machine)), index);
            self.roles.replicas.push(process);
        }
    }

    fn add_daemons(&mut self) {
        let replicas = self.roles.replicas.iter().copied();
        let replicas: Vec<SocketAddr> = replicas.map(address::service).collect();
        for index in 0..self.topology.daemons {
            let process = self.next_process();
            let zone = index % u64::from(self.topology.zones);
            let settings = DaemonSettings {
                registration: registration(index, zone),
                replicas: replicas.clone(),
                double: self.double,
            };
            let machine = DaemonMachine::new(settings, self.machine_stream());
            self.add(ControlActor::Daemon(Box::new(machine)), index);
            self.roles.daemons.push(process);
        }
    }

    fn add_operators(&mut self, scenario: &ControlScenario) {
        for index in 0..scenario.load.operators {
            let process = self.next_process();
            let operator = Operator::new(OperatorSettings {
                replicas: self.roles.replicas.clone(),
                serial: scenario.load.serial,
                lose_answer_percent: scenario.load.lose_answer_percent,
                resend_percent: scenario.load.resend_percent,
                resend_after: scenario.load.resend_after_ms,
            });
            self.add(ControlActor::Operator(Box::new(operator)), index);
            self.roles.operators.push(process);
        }
    }

    /// Adds a machine; `index` determines its zone in turn.
    fn add(&mut self, actor: ControlActor, index: u64) {
        let zone = ZoneId((index % u64::from(self.topology.zones)) as u16);
        let max_skew = self.topology.clock_skew_ppm as i32;
        let clock = Clock {
            origin: Duration::from_micros(self.clocks.random_range(0..=MAX_CLOCK_ORIGIN)),
            skew_ppm: self.clocks.random_range(-max_skew..=max_skew),
        };
        self.simulation.add(actor, zone, clock);
        self.roles.zones.push(zone);
    }

    fn next_process(&self) -> ProcessId {
        ProcessId(self.roles.zones.len() as u32)
    }

    fn machine_stream(&self) -> Pcg64Mcg {
        let number = MACHINE_STREAMS + self.next_process().0;
        self.streams.stream(Purpose::Other(number))
    }
}

fn registration(index: u64, zone: u64) -> Registration {
    let name = format!("{}-{}", bundles::SERVICE, index + 1);
    let [_, _, high, low] = (index as u32).to_be_bytes();
    let address = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), 7_000);
    Registration {
        daemon: DaemonId::new(&name).expect("the name is valid"),
        incarnation: 0,
        zone: ZoneName::new(&format!("zone-{}", zone + 1)).expect("the name is valid"),
        region: RegionName::new("region-1").expect("the name is valid"),
        endpoint: Some(EndpointRegistration {
            endpoint: EndpointId::new(&name).expect("the name is valid"),
            service: bundles::service(),
            address,
            draining: false,
        }),
    }
}
