//! Heartbeats that are not of the endpoint on the machine leave the local endpoint as it is, whatever else they say
//! and whenever they come.

use bramblewheel_decisions::machine_identity::{IdentityMismatch, MachineIdentity};
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_proxy::local::{HeartbeatResult, LocalEndpoint};
use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, Timestamp, ZoneName};
use std::net::SocketAddr;

const OWN_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9001);
const STARTED: u64 = 1_000;
const LATER: u64 = 2_000;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a name")
}

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).expect("a name")
}

fn id(name: &str, started: Option<u64>) -> EndpointId {
    EndpointId::new(name).expect("a name").started_at(started)
}

fn machine(service_name: Option<&str>, address: Option<SocketAddr>) -> LocalEndpoint {
    LocalEndpoint::new(MachineIdentity {
        service: service_name.map(service),
        zone: zone("north"),
        endpoint_address: address,
    })
}

fn own(started: u64, sequence: u64, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        endpoint: id("e", Some(started)),
        service: service("kassa"),
        daemon: DaemonId::new("daemon-1").expect("a name"),
        address: ([127, 0, 0, 1], 9000).into(),
        endpoint_address: OWN_ADDRESS.into(),
        zone: zone("north"),
        slots: 8,
        state,
        sequence,
        cold_for: Millis(0),
    }
}

/// Every combination of what a heartbeat of another writer may say, but for those that agree with the settings.
fn foreign() -> Vec<EndpointRecord> {
    let mut all = Vec::new();
    let who = [
        ("nobody", "north"),
        ("pris", "north"),
        ("kassa", "south"),
        ("kassa", "north"),
    ];
    for (service_name, zone_name) in who {
        for name in ["e", "e-elsewhere"] {
            for started in [None, Some(1), Some(STARTED), Some(LATER), Some(u64::MAX)] {
                for sequence in [0, 3, 1_000_000] {
                    for address in [OWN_ADDRESS.into(), ([127, 0, 0, 2], 9001).into()] {
                        for state in [
                            EndpointState::Ready,
                            EndpointState::Draining,
                            EndpointState::Gone,
                        ] {
                            all.push(EndpointRecord {
                                endpoint: id(name, started),
                                service: service(service_name),
                                zone: zone(zone_name),
                                endpoint_address: address,
                                slots: u32::MAX,
                                ..own(STARTED, sequence, state)
                            });
                        }
                    }
                }
            }
        }
    }
    all.retain(|record| {
        let is_elsewhere = record.endpoint_address != SocketAddr::from(OWN_ADDRESS);
        record.service != service("kassa") || record.zone != zone("north") || is_elsewhere
    });
    all
}

/// What can be seen of the local endpoint.
#[derive(Debug, PartialEq, Eq)]
struct Seen {
    result: HeartbeatResult,
    record: Option<EndpointRecord>,
    is_open: bool,
}

/// Takes a heartbeat, and confirms what is new as the control group does.
fn take(local: &LocalEndpoint, millis: u64, record: &EndpointRecord) -> Seen {
    let mut record = record.clone();
    let result = local.take_heartbeat(Timestamp::from_millis(millis), &mut record);
    if result == HeartbeatResult::Changed {
        local.confirm(&record.endpoint, record.state);
    }
    Seen {
        result,
        record: local.record(),
        is_open: local.is_open(),
    }
}

/// All orders of four.
fn orders() -> Vec<[usize; 4]> {
    let mut all = Vec::new();
    for a in 0..4 {
        for b in (0..4).filter(|b| *b != a) {
            for c in (0..4).filter(|c| ![a, b].contains(c)) {
                all.push([a, b, c, 6 - a - b - c]);
            }
        }
    }
    all
}

/// Four heartbeats of the endpoint itself, in every order, with a foreign one before and after each: they are taken as without
/// it. What users saw: one foreign heartbeat took an endpoint out of service, since its id, start, sequence number or state
/// was kept before anything was compared with the settings (20 of 20 requests failed).
#[test]
fn own_heartbeats_are_taken_as_without_foreign_ones() {
    let heartbeats = [
        own(STARTED, 2, EndpointState::Ready),
        own(STARTED, 4, EndpointState::Draining),
        own(LATER, 1, EndpointState::Ready),
        own(LATER, 2, EndpointState::Ready),
    ];
    let foreign = foreign();
    assert_eq!(foreign.len(), 630);
    for order in orders() {
        let undisturbed = machine(Some("kassa"), Some(OWN_ADDRESS.into()));
        let expected: Vec<Seen> = order
            .iter()
            .zip(1..)
            .map(|(number, at)| take(&undisturbed, 100 * at, &heartbeats[*number]))
            .collect();
        for record in &foreign {
            let disturbed = machine(Some("kassa"), Some(OWN_ADDRESS.into()));
            for ((number, at), expected) in order.iter().zip(1..).zip(&expected) {
                let before = take(&disturbed, 100 * at - 50, record);
                assert!(
                    matches!(before.result, HeartbeatResult::Mismatch(_)),
                    "{record:?}"
                );
                let seen = take(&disturbed, 100 * at, &heartbeats[*number]);
                assert_eq!(seen, *expected, "{order:?} {record:?}");
                take(&disturbed, 100 * at + 10, record);
            }
        }
    }
}

/// As many ids as heartbeats: nothing of the endpoint itself is displaced, also not from what is kept for a bounded number of
/// ids.
#[test]
fn a_flood_of_foreign_heartbeats_displaces_nothing() {
    let local = machine(Some("kassa"), Some(OWN_ADDRESS.into()));
    take(&local, 1, &own(STARTED, 5, EndpointState::Ready));
    take(&local, 2, &own(STARTED, 6, EndpointState::Draining));
    for number in 0..100_000_u64 {
        let record = EndpointRecord {
            endpoint: id(&format!("f-{number}"), Some(number)),
            service: service("nobody"),
            ..own(STARTED, number, EndpointState::Ready)
        };
        take(&local, 10 + number / 10, &record);
    }
    let late = take(&local, 10_020, &own(STARTED, 4, EndpointState::Ready));
    assert_eq!(late.result, HeartbeatResult::Late);
    assert!(!late.is_open, "its planned end is not forgotten");
}

#[test]
fn the_first_difference_is_the_reason() {
    let result_of = |local: &LocalEndpoint, record: EndpointRecord| take(local, 1, &record).result;
    let of = HeartbeatResult::Mismatch;
    let local = machine(Some("kassa"), Some(OWN_ADDRESS.into()));
    let ready = || own(STARTED, 1, EndpointState::Ready);
    let other = EndpointRecord {
        service: service("pris"),
        ..ready()
    };
    assert_eq!(result_of(&local, other), of(IdentityMismatch::Service));
    let other = EndpointRecord {
        zone: zone("south"),
        ..ready()
    };
    assert_eq!(result_of(&local, other), of(IdentityMismatch::Zone));
    let other = EndpointRecord {
        endpoint_address: ([127, 0, 0, 2], 1).into(),
        ..ready()
    };
    assert_eq!(
        result_of(&local, other.clone()),
        of(IdentityMismatch::Address)
    );
    assert_eq!(result_of(&local, ready()), HeartbeatResult::Changed);
    let any_address = machine(Some("kassa"), None);
    assert_eq!(result_of(&any_address, other), HeartbeatResult::Changed);
    let without_endpoint = machine(None, None);
    assert_eq!(
        result_of(&without_endpoint, ready()),
        of(IdentityMismatch::NoEndpoint)
    );
    assert!(without_endpoint.record().is_none());
}
