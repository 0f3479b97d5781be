//! Heartbeats of the endpoint beside a daemon that come late or out of order.

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

/// A heartbeat that was delayed by a cut comes after its sender has crashed and another start of the endpoint
/// has registered: the new one keeps its place.
#[test]
fn a_late_word_of_an_earlier_start_changes_nothing() {
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

/// The first heartbeat that is heard of an earlier start comes late, and displaces the new one for a moment
/// only.
#[test]
fn a_start_that_was_displaced_by_mistake_comes_back() {
    let local = local_endpoint();
    local.take_heartbeat(at(0), &mut ready("new", 1));
    local.take_heartbeat(at(1_000), &mut ready("old", 3));
    assert_eq!(current(&local), id("old"));
    // The old one says nothing more; another heartbeat of the new one is taken once that shows.
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

/// Another endpoint answers at the address: the next heartbeat of whoever is there counts at once.
#[test]
fn after_a_replacement_was_seen_the_next_word_counts() {
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

/// A heartbeat of the start of `name` at a time.
fn heartbeat(name: &str, started: u64, sequence: u64, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        endpoint: id(name).started_at(Some(started)),
        state,
        ..ready(name, sequence)
    }
}

/// Takes a heartbeat at a time, and confirms what is new as the control group does.
fn say(local: &LocalEndpoint, millis: u64, mut record: EndpointRecord) -> HeartbeatResult {
    let heard = local.take_heartbeat(at(millis), &mut record);
    if heard == HeartbeatResult::Changed {
        local.confirm(&record.endpoint, record.state);
    }
    heard
}

/// An endpoint that starts again under its name counts its heartbeats anew, and is served at once: after a crash,
/// and after a planned end.
#[test]
fn a_start_under_the_same_name_is_taken_at_once() {
    for ends_as_planned in [false, true] {
        let local = local_endpoint();
        for sequence in 1..20 {
            say(
                &local,
                sequence * 100,
                heartbeat("e", 1_000, sequence, EndpointState::Ready),
            );
        }
        if ends_as_planned {
            say(
                &local,
                2_000,
                heartbeat("e", 1_000, 20, EndpointState::Draining),
            );
            say(&local, 2_100, heartbeat("e", 1_000, 0, EndpointState::Gone));
            assert!(!local.is_open());
        }
        let heard = say(
            &local,
            2_500,
            heartbeat("e", 2_400, 1, EndpointState::Ready),
        );
        assert_eq!(heard, HeartbeatResult::Changed);
        assert!(local.is_open());
        assert_eq!(current(&local).started(), Some(2_400));
    }
}

/// Two heartbeats of a former start and two of the one that followed it, in every order in which they can arrive
/// after the first heartbeat of the later start: nothing of the former start closes the later one or takes its
/// place.
#[test]
fn words_of_a_former_start_change_nothing_in_any_order() {
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
                say(&local, 0, heartbeat("e", 1_000, 6, EndpointState::Ready));
                say(&local, 100, heartbeat("e", 2_000, 1, EndpointState::Ready));
                for (place, number) in [a, b, c, d].into_iter().enumerate() {
                    let millis = 200 + place as u64 * 100;
                    let heard = say(&local, millis, heartbeats[number].clone());
                    let is_former = number < 2;
                    assert!(
                        !is_former || heard == HeartbeatResult::Late,
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

/// The same four heartbeats without a first one of the later start: its first heartbeat opens it, whatever came before.
#[test]
fn the_first_word_of_a_later_start_opens_it_in_any_order() {
    let former = [
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
            let mut heartbeats: Vec<EndpointRecord> =
                order.iter().map(|number| former[*number].clone()).collect();
            heartbeats.insert(place, heartbeat("e", 2_000, 1, EndpointState::Ready));
            for (number, heartbeat) in heartbeats.into_iter().enumerate() {
                say(&local, 100 * number as u64, heartbeat);
            }
            assert!(local.is_open(), "{order:?} {place}");
            assert_eq!(current(&local).started(), Some(2_000));
        }
    }
}

/// The clock stepped back between two starts: the heartbeats of the new one look late, but go on coming while the
/// former is silent.
#[test]
fn a_start_whose_clock_stepped_back_is_served_after_some_words() {
    let local = local_endpoint();
    say(&local, 0, heartbeat("e", 900_000, 9, EndpointState::Ready));
    let mut opened_at = None;
    for sequence in 1..10 {
        let millis = 500 + sequence * 1_500;
        say(
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

/// Heartbeats that were delayed on their way come in one burst, after their sender has been followed by another
/// start: also where that one is silent they open nothing, and nothing opens an endpoint again that has left.
#[test]
fn a_burst_of_words_that_were_held_up_opens_nothing() {
    for has_left in [false, true] {
        let local = local_endpoint();
        say(&local, 0, heartbeat("e", 2_000, 1, EndpointState::Ready));
        if has_left {
            say(
                &local,
                100,
                heartbeat("e", 2_000, 2, EndpointState::Draining),
            );
        }
        for sequence in 5..15 {
            let spread = if has_left { 1_500 } else { 20 };
            let heard = say(
                &local,
                10_000 + sequence * spread,
                heartbeat("e", 1_000, sequence, EndpointState::Ready),
            );
            assert_eq!(heard, HeartbeatResult::Late);
        }
        assert_eq!(local.is_open(), !has_left);
        assert_eq!(current(&local).started(), Some(2_000));
    }
}

/// A heartbeat that does not say when its sender started can't be placed once others did; a planned end without it
/// is that of the latest start.
#[test]
fn a_word_without_a_start_is_left_out_after_one_with_it() {
    let local = local_endpoint();
    say(&local, 0, heartbeat("e", 2_000, 1, EndpointState::Ready));
    assert_eq!(
        say(&local, 100, ready("e", 50)),
        HeartbeatResult::MissingStart
    );
    assert!(local.is_open());
    let mut end = EndpointRecord {
        state: EndpointState::Gone,
        ..ready("e", 0)
    };
    assert_eq!(
        local.take_heartbeat(at(200), &mut end),
        HeartbeatResult::Changed
    );
    assert_eq!(end.endpoint.started(), Some(2_000));
    assert!(!local.is_open());
}

/// What runs at a start of the endpoint is given up once a later one is heard, also where its connections stay open.
#[tokio::test]
async fn the_wait_for_a_former_start_ends_with_the_first_word_of_a_later_one() {
    let local = std::sync::Arc::new(local_endpoint());
    say(&local, 0, heartbeat("e", 1_000, 1, EndpointState::Ready));
    let waiting = std::sync::Arc::clone(&local);
    let former = id("e").started_at(Some(1_000));
    let wait = tokio::spawn(async move { waiting.until_later_start(&former).await });
    tokio::task::yield_now().await;
    say(&local, 60_000, ready("another", 1));
    tokio::task::yield_now().await;
    assert!(!wait.is_finished());
    say(
        &local,
        61_000,
        heartbeat("e", 60_500, 1, EndpointState::Ready),
    );
    wait.await.expect("it ends");
}
