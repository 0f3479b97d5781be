//! An endpoint that starts again and again under its name, with heartbeats that are delayed on their way and clocks
//! that step between two starts, drawn by seed: the daemon serves the last start, and never one that has left or
//! that was followed.
//!
//! Ways that are not safe are played on the same histories, and must be caught.

use bramblewheel_decisions::machine_identity::MachineIdentity;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_proxy::local::{HeartbeatResult, LocalEndpoint};
use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;

/// Seeds in the usual run; 2,000 by hand with the variable of this name.
const SEEDS: u64 = 200;
const SEEDS_VARIABLE: &str = "ENDPOINT_START_SEEDS";
/// Seeds within which an unsafe way must be caught.
const CAUGHT_WITHIN: u64 = 20;
/// Time between two heartbeats, in milliseconds.
const HEARTBEAT: u64 = 1_500;
/// Time from the first heartbeat of the last start in which it must be served.
const SERVED_WITHIN: u64 = 2_000;

/// What is believed of heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// As the daemon does it.
    Product,
    /// The name alone is taken for the start.
    StartIgnored,
    /// Once a name has left, it never opens again.
    EndKeptForName,
    /// What comes last counts, whatever start it is of.
    LastWordCounts,
}

#[derive(Clone, Debug)]
struct Heartbeat {
    arrives: u64,
    start: usize,
    started: u64,
    sequence: u64,
    state: EndpointState,
}

/// The heartbeats of one endpoint's starts, in the order of their arrival, with the start that is the last.
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
            let beats = if is_last {
                8
            } else {
                random.random_range(1..8)
            };
            let mut sequence = 0;
            for _ in 0..beats {
                sequence += 1;
                // Heartbeats of the last start arrive at once; those of the others may be delayed, some until long
                // after its first.
                let held = if !is_last && random.random_bool(0.3) {
                    random.random_range(100..9_000)
                } else {
                    1
                };
                heartbeats.push(Heartbeat {
                    arrives: now + held,
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

fn record(heartbeat: &Heartbeat, way: Way) -> EndpointRecord {
    let endpoint = EndpointId::new("e").expect("a name");
    let started = (way != Way::StartIgnored).then_some(heartbeat.started);
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

/// Which start is open after each heartbeat, by the number of the start.
struct Seen {
    open: Vec<(u64, Option<usize>)>,
}

fn play(history: &History, way: Way) -> Seen {
    let local = local_endpoint();
    let mut has_left = false;
    let mut last = None;
    let mut open = Vec::new();
    for heartbeat in &history.heartbeats {
        has_left |= heartbeat.state.is_final();
        let mut record = record(heartbeat, way);
        if way == Way::LastWordCounts {
            last = (!heartbeat.state.is_final()).then_some(heartbeat.start);
            open.push((heartbeat.arrives, last));
            continue;
        }
        let heard = local.take_heartbeat(Timestamp::from_millis(heartbeat.arrives), &mut record);
        if heard == HeartbeatResult::Changed {
            local.confirm(&record.endpoint, record.state);
        }
        if heard != HeartbeatResult::Late && record.state == EndpointState::Ready {
            last = Some(heartbeat.start);
        }
        let is_open = local.is_open() && !(way == Way::EndKeptForName && has_left);
        open.push((heartbeat.arrives, last.filter(|_| is_open)));
    }
    Seen { open }
}

/// What is wrong with what was open: the last start is not served in time, or another one is after its first heartbeat.
fn fault(history: &History, seen: &Seen) -> Option<String> {
    let since = history.first_heartbeat_of_last + 1;
    // Of heartbeats that arrive in the same millisecond the order is open.
    let after = seen.open.iter().filter(|(at, _)| *at > since);
    for (at, open) in after {
        if open.is_some_and(|start| start != history.last_start) {
            return Some(format!("a former start is open at {at}"));
        }
        if open.is_none() && *at > since + SERVED_WITHIN {
            return Some(format!("nothing is open at {at}, since {since}"));
        }
    }
    None
}

fn seeds() -> u64 {
    let told = std::env::var(SEEDS_VARIABLE).ok();
    told.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

#[test]
fn the_last_start_is_served_and_no_former_one() {
    let mut longest = HashSet::new();
    for seed in 0..seeds() {
        let history = History::draw(seed);
        longest.insert(history.last_start);
        let fault = fault(&history, &play(&history, Way::Product));
        assert_eq!(fault, None, "seed {seed}");
    }
    assert!(longest.len() >= 3, "histories of two to four starts");
}

#[test]
fn unsafe_ways_are_caught() {
    for way in [Way::StartIgnored, Way::EndKeptForName, Way::LastWordCounts] {
        let caught = (0..CAUGHT_WITHIN).find(|seed| {
            let history = History::draw(*seed);
            fault(&history, &play(&history, way)).is_some()
        });
        assert!(caught.is_some(), "{way:?}");
    }
}
