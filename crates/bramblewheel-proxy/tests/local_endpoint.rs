//! Heartbeats of the local endpoint that arrive late or out of order.

use bramblewheel_decisions::machine_identity::MachineIdentity;
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState};
use bramblewheel_proxy::local::{HeartbeatResult, LocalEndpoint};
use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, Timestamp, ZoneName};

/// The endpoint of a machine whose settings name its service, zone and address.
fn local_endpoint() -> LocalEndpoint {
    LocalEndpoint::new(MachineIdentity {
        service: Some(ServiceName::new("kassa").expect("a name")),
        zone: ZoneName::new("north").expect("a name"),
        endpoint_address: Some(([127, 0, 0, 1], 9001).into()),
    })
}

fn id(name: &str) -> EndpointId {
    EndpointId::new(name).expect("a name")
}

fn ready(name: &str, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        endpoint: id(name),
        service: ServiceName::new("kassa").expect("a name"),
        daemon: DaemonId::new("daemon-1").expect("a name"),
        address: ([127, 0, 0, 1], 9000).into(),
        endpoint_address: ([127, 0, 0, 1], 9001).into(),
        zone: ZoneName::new("north").expect("a name"),
        slots: 8,
        state: EndpointState::Ready,
        sequence,
        cold_for: Millis(0),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn current(local: &LocalEndpoint) -> EndpointId {
    local.record().expect("there is one").endpoint
}

/// A heartbeat delayed by a network partition arrives after its sender has crashed and another incarnation has
/// registered.
#[test]
fn late_heartbeat_of_an_earlier_incarnation_is_ignored() {
    let local = local_endpoint();
    assert_eq!(
        local.take_heartbeat(at(0), &mut ready("old", 1)),
        HeartbeatResult::Changed
    );
    local.confirm(&id("old"), EndpointState::Ready);
    assert_eq!(
        local.take_heartbeat(at(2_000), &mut ready("new", 1)),
        HeartbeatResult::Changed
    );
    local.confirm(&id("new"), EndpointState::Ready);
    for sequence in 2..5 {
        let late = local.take_heartbeat(at(2_000 + sequence * 100), &mut ready("old", sequence));
        assert_eq!(late, HeartbeatResult::Late);
        assert_eq!(current(&local), id("new"));
        assert!(local.is_open());
    }
    assert_eq!(
        local.take_heartbeat(at(3_500), &mut ready("new", 2)),
        HeartbeatResult::Known
    );
}

/// The first heartbeat received from an earlier incarnation arrives late and displaces the newer one, but only
/// temporarily.
#[test]
fn incarnation_displaced_by_a_late_heartbeat_becomes_current_again() {
    let local = local_endpoint();
    local.take_heartbeat(at(0), &mut ready("new", 1));
    local.take_heartbeat(at(1_000), &mut ready("old", 3));
    assert_eq!(current(&local), id("old"));
    // The old one sends no more heartbeats; once it counts as silent, a heartbeat of the new one is accepted.
    assert_eq!(
        local.take_heartbeat(at(1_500), &mut ready("new", 2)),
        HeartbeatResult::Late
    );
    assert_eq!(
        local.take_heartbeat(at(6_000), &mut ready("new", 5)),
        HeartbeatResult::Changed
    );
    assert_eq!(current(&local), id("new"));
}

/// After another endpoint has answered at the address, the next heartbeat is accepted at once.
#[test]
fn next_heartbeat_after_a_detected_replacement_is_accepted() {
    let local = local_endpoint();
    local.take_heartbeat(at(0), &mut ready("new", 1));
    local.take_heartbeat(at(1_000), &mut ready("old", 3));
    local.record_replaced(&id("old"));
    assert_eq!(
        local.take_heartbeat(at(1_500), &mut ready("new", 2)),
        HeartbeatResult::Changed
    );
    assert_eq!(current(&local), id("new"));
}

/// A heartbeat of the incarnation of `name` that started at the given time.
fn heartbeat(name: &str, started: u64, sequence: u64, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        endpoint: id(name).started_at(Some(started)),
        state,
        ..ready(name, sequence)
    }
}

/// Takes a heartbeat at the given time, and confirms a change as the control group does.
fn take(local: &LocalEndpoint, millis: u64, mut record: EndpointRecord) -> HeartbeatResult {
    let result = local.take_heartbeat(at(millis), &mut record);
    if result == HeartbeatResult::Changed {
        local.confirm(&record.endpoint, record.state);
    }
    result
}

/// An endpoint that restarts under its name, after a crash or a planned stop, restarts its sequence numbers and is
/// accepted at once.
#[test]
fn restart_under_the_same_name_is_accepted_at_once() {
    for has_planned_stop in [false, true] {
        let local = local_endpoint();
        for sequence in 1..20 {
            take(
                &local,
                sequence * 100,
                heartbeat("e", 1_000, sequence, EndpointState::Ready),
            );
        }
        if has_planned_stop {
            take(
                &local,
                2_000,
                heartbeat("e", 1_000, 20, EndpointState::Draining),
            );
            take(&local, 2_100, heartbeat("e", 1_000, 0, EndpointState::Gone));
            assert!(!local.is_open());
        }
        let result = take(
            &local,
            2_500,
            heartbeat("e", 2_400, 1, EndpointState::Ready),
        );
        assert_eq!(result, HeartbeatResult::Changed);
        assert!(local.is_open());
        assert_eq!(current(&local).started(), Some(2_400));
    }
}

/// Two heartbeats of an earlier incarnation and two of the later one arrive in every order after the first heartbeat
/// of the later one: those of the earlier incarnation neither close nor replace the later one.
#[test]
fn heartbeats_of_an_earlier_incarnation_are_ignored_in_any_order() {
    let heartbeats = [
        heartbeat("e", 1_000, 7, EndpointState::Ready),
        heartbeat("e", 1_000, 8, EndpointState::Draining),
        heartbeat("e", 2_000, 2, EndpointState::Ready),
        heartbeat("e", 2_000, 3, EndpointState::Ready),
    ];
    let mut orders = 0;
    for a in 0..4 {
        for b in (0..4).filter(|b| *b != a) {
            for c in (0..4).filter(|c| ![a, b].contains(c)) {
                let d = 6 - a - b - c;
                let local = local_endpoint();
                take(&local, 0, heartbeat("e", 1_000, 6, EndpointState::Ready));
                take(&local, 100, heartbeat("e", 2_000, 1, EndpointState::Ready));
                for (place, number) in [a, b, c, d].into_iter().enumerate() {
                    let millis = 200 + place as u64 * 100;
                    let result = take(&local, millis, heartbeats[number].clone());
                    let is_earlier = number < 2;
                    assert!(
                        !is_earlier || result == HeartbeatResult::Late,
                        "{a}{b}{c}{d} {number}"
                    );
                    assert!(local.is_open(), "{a}{b}{c}{d}");
                    assert_eq!(current(&local).started(), Some(2_000));
                }
                orders += 1;
            }
        }
    }
    assert_eq!(orders, 24);
}

/// The first heartbeat of a later incarnation opens it, at any position among three heartbeats of the earlier one.
#[test]
fn first_heartbeat_of_a_later_incarnation_opens_it_in_any_order() {
    let earlier = [
        heartbeat("e", 1_000, 7, EndpointState::Ready),
        heartbeat("e", 1_000, 8, EndpointState::Draining),
        heartbeat("e", 1_000, 0, EndpointState::Gone),
    ];
    for order in [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ] {
        for place in 0..=3 {
            let local = local_endpoint();
            let mut heartbeats: Vec<EndpointRecord> = order
                .iter()
                .map(|number| earlier[*number].clone())
                .collect();
            heartbeats.insert(place, heartbeat("e", 2_000, 1, EndpointState::Ready));
            for (number, heartbeat) in heartbeats.into_iter().enumerate() {
                take(&local, 100 * number as u64, heartbeat);
            }
            assert!(local.is_open(), "{order:?} {place}");
            assert_eq!(current(&local).started(), Some(2_000));
        }
    }
}

/// The clock stepped back between two starts: the heartbeats of the new incarnation look late, but continue while the
/// earlier one is silent.
#[test]
fn restart_with_a_clock_stepped_back_is_accepted_after_some_heartbeats() {
    let local = local_endpoint();
    take(&local, 0, heartbeat("e", 900_000, 9, EndpointState::Ready));
    let mut opened_at = None;
    for sequence in 1..10 {
        let millis = 500 + sequence * 1_500;
        take(
            &local,
            millis,
            heartbeat("e", 5_000, sequence, EndpointState::Ready),
        );
        if local.is_open() && current(&local).started() == Some(900_001) {
            opened_at.get_or_insert(millis);
        }
    }
    assert_eq!(opened_at, Some(5_000));
}

/// Delayed heartbeats of an earlier incarnation arrive in a burst. They don't open it, even if the later incarnation
/// is silent, and they don't reopen an endpoint that has left.
#[test]
fn burst_of_delayed_heartbeats_opens_nothing() {
    for has_left in [false, true] {
        let local = local_endpoint();
        take(&local, 0, heartbeat("e", 2_000, 1, EndpointState::Ready));
        if has_left {
            take(
                &local,
                100,
                heartbeat("e", 2_000, 2, EndpointState::Draining),
            );
        }
        for sequence in 5..15 {
            let spread = if has_left { 1_500 } else { 20 };
            let result = take(
                &local,
                10_000 + sequence * spread,
                heartbeat("e", 1_000, sequence, EndpointState::Ready),
            );
            assert_eq!(result, HeartbeatResult::Late);
        }
        assert_eq!(local.is_open(), !has_left);
        assert_eq!(current(&local).started(), Some(2_000));
    }
}

/// A heartbeat without a start time can't be assigned to an incarnation once others stated one; a final state without
/// a start time applies to the latest incarnation.
#[test]
fn heartbeat_without_start_time_is_ignored_after_one_with_it() {
    let local = local_endpoint();
    take(&local, 0, heartbeat("e", 2_000, 1, EndpointState::Ready));
    assert_eq!(
        take(&local, 100, ready("e", 50)),
        HeartbeatResult::MissingStart
    );
    assert!(local.is_open());
    let mut final_heartbeat = EndpointRecord {
        state: EndpointState::Gone,
        ..ready("e", 0)
    };
    assert_eq!(
        local.take_heartbeat(at(200), &mut final_heartbeat),
        HeartbeatResult::Changed
    );
    assert_eq!(final_heartbeat.endpoint.started(), Some(2_000));
    assert!(!local.is_open());
}

/// Requests running at an incarnation are given up after the first heartbeat of a later one, even if their
/// connections stay open.
#[tokio::test]
async fn wait_for_a_later_incarnation_ends_with_its_first_heartbeat() {
    let local = std::sync::Arc::new(local_endpoint());
    take(&local, 0, heartbeat("e", 1_000, 1, EndpointState::Ready));
    let waiting = std::sync::Arc::clone(&local);
    let earlier = id("e").started_at(Some(1_000));
    let wait = tokio::spawn(async move { waiting.until_later_start(&earlier).await });
    tokio::task::yield_now().await;
    take(&local, 60_000, ready("another", 1));
    tokio::task::yield_now().await;
    assert!(!wait.is_finished());
    take(
        &local,
        61_000,
        heartbeat("e", 60_500, 1, EndpointState::Ready),
    );
    wait.await.expect("the wait ends");
}
