//! Random histories of an endpoint that restarts repeatedly under its name, with delayed heartbeats, by seed: the
//! daemon serves the last incarnation, and never one that has left or was superseded.
//!
//! Unsafe policies run on the same histories and must be detected.

use bramblewheel_decisions::machine_identity::MachineIdentity;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_proxy::local::{HeartbeatResult, LocalEndpoint};
use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;

/// Number of seeds by default; set [`SEEDS_VARIABLE`] to run more, for example 2,000.
const SEEDS: u64 = 200;
/// Environment variable with the number of seeds.
const SEEDS_VARIABLE: &str = "ENDPOINT_START_SEEDS";
/// Number of seeds within which an unsafe policy must be detected.
const DETECTED_WITHIN: u64 = 20;
/// Time between two heartbeats, in milliseconds.
const HEARTBEAT: u64 = 1_500;
/// Time from the first heartbeat of the last incarnation within which it must be served, in milliseconds.
const SERVED_WITHIN: u64 = 2_000;

/// How heartbeats are assigned to incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    /// The policy of the daemon.
    Product,
    /// Incarnations are not distinguished: the name alone identifies the endpoint.
    StartIgnored,
    /// A name that has left never opens again.
    FinalStateKeptForName,
    /// The heartbeat that arrived last counts, whatever its incarnation.
    LastHeartbeatCounts,
}

#[derive(Clone, Debug)]
struct Heartbeat {
    arrives: u64,
    start: usize,
    started: u64,
    sequence: u64,
    state: EndpointState,
}

/// The heartbeats of one endpoint's incarnations in order of arrival.
struct History {
    heartbeats: Vec<Heartbeat>,
    last_start: usize,
    first_heartbeat_of_last: u64,
}

impl History {
    fn draw(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let starts = random.random_range(2..5);
        let mut heartbeats = Vec::new();
        let mut now = 1_000;
        let mut first_heartbeat_of_last = 0;
        for start in 0..starts {
            let started = now;
            first_heartbeat_of_last = now;
            let is_last = start + 1 == starts;
            let count = if is_last {
                8
            } else {
                random.random_range(1..8)
            };
            let mut sequence = 0;
            for _ in 0..count {
                sequence += 1;
                // Heartbeats of the last incarnation arrive at once; earlier ones may be delayed, some until long
                // after the first of the last incarnation.
                let delay = if !is_last && random.random_bool(0.3) {
                    random.random_range(100..9_000)
                } else {
                    1
                };
                heartbeats.push(Heartbeat {
                    arrives: now + delay,
                    start,
                    started,
                    sequence,
                    state: EndpointState::Ready,
                });
                now += HEARTBEAT;
            }
            if !is_last && random.random_bool(0.5) {
                heartbeats.push(Heartbeat {
                    arrives: now + random.random_range(1..3_000),
                    start,
                    started,
                    sequence: sequence + 1,
                    state: EndpointState::Draining,
                });
            }
            now += random.random_range(50..4_000);
        }
        heartbeats.sort_by_key(|heartbeat| heartbeat.arrives);
        Self {
            heartbeats,
            last_start: starts - 1,
            first_heartbeat_of_last,
        }
    }
}

/// The endpoint of a machine whose settings name its service, zone and address.
fn local_endpoint() -> LocalEndpoint {
    LocalEndpoint::new(MachineIdentity {
        service: Some(ServiceName::new("kassa").expect("a name")),
        zone: ZoneName::new("north").expect("a name"),
        endpoint_address: Some(([127, 0, 0, 1], 9001).into()),
    })
}

fn record(heartbeat: &Heartbeat, policy: Policy) -> EndpointRecord {
    let endpoint = EndpointId::new("e").expect("a name");
    let started = (policy != Policy::StartIgnored).then_some(heartbeat.started);
    EndpointRecord {
        endpoint: endpoint.started_at(started),
        service: ServiceName::new("kassa").expect("a name"),
        daemon: DaemonId::new("daemon-1").expect("a name"),
        address: ([127, 0, 0, 1], 9000).into(),
        endpoint_address: ([127, 0, 0, 1], 9001).into(),
        zone: ZoneName::new("north").expect("a name"),
        slots: 8,
        state: heartbeat.state,
        sequence: heartbeat.sequence,
        cold_for: Millis(0),
    }
}

/// Number of the open incarnation after each heartbeat, with the time of arrival.
struct Observed {
    open: Vec<(u64, Option<usize>)>,
}

fn play(history: &History, policy: Policy) -> Observed {
    let local = local_endpoint();
    let mut has_left = false;
    let mut last = None;
    let mut open = Vec::new();
    for heartbeat in &history.heartbeats {
        has_left |= heartbeat.state.is_final();
        let mut record = record(heartbeat, policy);
        if policy == Policy::LastHeartbeatCounts {
            last = (!heartbeat.state.is_final()).then_some(heartbeat.start);
            open.push((heartbeat.arrives, last));
            continue;
        }
        let result = local.take_heartbeat(Timestamp::from_millis(heartbeat.arrives), &mut record);
        if result == HeartbeatResult::Changed {
            local.confirm(&record.endpoint, record.state);
        }
        if result != HeartbeatResult::Late && record.state == EndpointState::Ready {
            last = Some(heartbeat.start);
        }
        let is_open = local.is_open() && !(policy == Policy::FinalStateKeptForName && has_left);
        open.push((heartbeat.arrives, last.filter(|_| is_open)));
    }
    Observed { open }
}

/// Describes a violation: the last incarnation is not open in time, or another one is open after its first heartbeat.
fn fault(history: &History, observed: &Observed) -> Option<String> {
    let since = history.first_heartbeat_of_last + 1;
    // The order of heartbeats that arrive in the same millisecond is undefined.
    let after = observed.open.iter().filter(|(at, _)| *at > since);
    for (at, open) in after {
        if open.is_some_and(|start| start != history.last_start) {
            return Some(format!("an earlier incarnation is open at {at}"));
        }
        if open.is_none() && *at > since + SERVED_WITHIN {
            return Some(format!("no incarnation is open at {at}, since {since}"));
        }
    }
    None
}

fn seeds() -> u64 {
    let stated = std::env::var(SEEDS_VARIABLE).ok();
    stated.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

#[test]
fn only_the_last_incarnation_is_served() {
    let mut last_starts = HashSet::new();
    for seed in 0..seeds() {
        let history = History::draw(seed);
        last_starts.insert(history.last_start);
        let fault = fault(&history, &play(&history, Policy::Product));
        assert_eq!(fault, None, "seed {seed}");
    }
    assert!(
        last_starts.len() >= 3,
        "too few histories: expected two to four incarnations"
    );
}

#[test]
fn unsafe_policies_are_detected() {
    for policy in [
        Policy::StartIgnored,
        Policy::FinalStateKeptForName,
        Policy::LastHeartbeatCounts,
    ] {
        let detected = (0..DETECTED_WITHIN).find(|seed| {
            let history = History::draw(*seed);
            fault(&history, &play(&history, policy)).is_some()
        });
        assert!(detected.is_some(), "{policy:?}");
    }
}
