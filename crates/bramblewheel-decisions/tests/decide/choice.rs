//! Endpoint selection.

use crate::service;
use bramblewheel_decisions::directory::{AttemptEnd, Directory, LoadReport};
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate};
use bramblewheel_types::{DaemonId, EndpointId, Millis, Timestamp, ZoneName};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

fn update(name: &str, zone: &str, state: EndpointState) -> EndpointUpdate {
    let record = EndpointRecord {
        endpoint: EndpointId::new(name).expect("valid name"),
        service: service("kassa"),
        daemon: DaemonId::new(name).expect("valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        endpoint_address: ([127, 0, 0, 1], 2).into(),
        zone: ZoneName::new(zone).expect("valid name"),
        slots: 10,
        state,
        sequence: 1,
        cold_for: Millis(0),
    };
    EndpointUpdate {
        record,
        revision: 1,
    }
}

fn directory(endpoints: &[(&str, &str)]) -> Directory {
    let daemon = DaemonId::new("caller").expect("valid name");
    let mut directory = Directory::new(ZoneName::new("north").expect("valid name"), daemon);
    for (name, zone) in endpoints {
        directory.apply(Timestamp::ZERO, &update(name, zone, EndpointState::Ready));
    }
    directory
}

#[test]
fn own_zone_is_preferred_until_it_is_loaded() {
    let mut directory = directory(&[("near", "north"), ("far", "south")]);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut chosen = Vec::new();
    for _ in 0..9 {
        let choice = directory.choose(Timestamp::ZERO, &service("kassa"), "r", &[], &mut random);
        chosen.push(
            choice
                .expect("one of the two endpoints")
                .endpoint
                .to_string(),
        );
    }
    assert_eq!(chosen[..2], ["near", "near"]);
    assert!(chosen.contains(&"far".to_owned()), "{chosen:?}");
}

#[test]
fn draining_or_unreachable_endpoint_is_avoided() {
    let mut directory = directory(&[("near", "north"), ("far", "south")]);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let kassa = service("kassa");
    let mut choose = |directory: &mut Directory, at: u64| {
        let now = Timestamp::from_millis(at);
        let choice = directory
            .choose(now, &kassa, "r", &[], &mut random)
            .expect("an endpoint");
        directory.record_end(
            now,
            &choice.endpoint,
            "r",
            AttemptEnd::GivenUp(Duration::ZERO),
            None,
        );
        choice.endpoint.to_string()
    };
    let near = EndpointId::new("near").expect("valid name");
    assert_eq!(choose(&mut directory, 0), "near");
    directory.record_end(Timestamp::ZERO, &near, "r", AttemptEnd::Unreachable, None);
    assert_eq!(choose(&mut directory, 100), "far");
    assert_eq!(choose(&mut directory, 5_000), "near");
    directory.apply(
        Timestamp::ZERO,
        &update("near", "north", EndpointState::Draining),
    );
    assert_eq!(choose(&mut directory, 5_001), "far");
    // The only remaining endpoint is tried even if it has just been unreachable.
    let far = EndpointId::new("far").expect("valid name");
    directory.record_end(
        Timestamp::from_millis(5_002),
        &far,
        "r",
        AttemptEnd::Unreachable,
        None,
    );
    assert_eq!(choose(&mut directory, 5_003), "far");
}

/// An endpoint without contact to the control group may still be available: perhaps only its connection to the group is
/// cut.
#[test]
fn silent_endpoints_are_chosen_if_no_endpoint_accepts_requests() {
    let mut directory = directory(&[("near", "north"), ("far", "south")]);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let kassa = service("kassa");
    let mut choose = |directory: &mut Directory, tried: &[EndpointId]| {
        let choice = directory.choose(Timestamp::ZERO, &kassa, "r", tried, &mut random);
        choice.map(|choice| choice.endpoint.to_string())
    };
    let near = EndpointId::new("near").expect("valid name");
    let change = |directory: &mut Directory, name: &str, zone: &str, state: EndpointState| {
        directory.apply(Timestamp::ZERO, &update(name, zone, state));
    };
    change(&mut directory, "near", "north", EndpointState::Silent);
    assert_eq!(choose(&mut directory, &[]).as_deref(), Some("far"));
    change(&mut directory, "far", "south", EndpointState::Silent);
    assert_eq!(choose(&mut directory, &[]).as_deref(), Some("near"));
    assert_eq!(choose(&mut directory, &[near]).as_deref(), Some("far"));
    // An endpoint that is gone is not chosen; one that is ready again is preferred to silent ones.
    change(&mut directory, "near", "north", EndpointState::Gone);
    assert_eq!(choose(&mut directory, &[]).as_deref(), Some("far"));
    change(&mut directory, "far", "south", EndpointState::Draining);
    assert_eq!(choose(&mut directory, &[]), None);
    change(&mut directory, "near", "north", EndpointState::Silent);
    assert_eq!(
        choose(&mut directory, &[]),
        None,
        "it was not ready before it became silent"
    );
    change(&mut directory, "far", "south", EndpointState::Ready);
    assert_eq!(choose(&mut directory, &[]).as_deref(), Some("far"));
}

#[test]
fn slow_endpoint_gets_fewer_requests() {
    let mut directory = directory(&[("slow", "north"), ("usual", "north")]);
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let kassa = service("kassa");
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for step in 0..400 {
        let now = Timestamp::from_millis(step * 10);
        let choice = directory
            .choose(now, &kassa, "r", &[], &mut random)
            .expect("an endpoint");
        let is_slow = choice.endpoint.name() == "slow";
        let time = Duration::from_millis(if is_slow { 500 } else { 100 });
        let load = LoadReport {
            busy: 1,
            limit: 10,
            failed_percent: 0,
        };
        let end = AttemptEnd::Answered(time);
        directory.record_end(now, &choice.endpoint, "r", end, Some(load));
        *counts.entry(choice.endpoint.to_string()).or_default() += 1;
    }
    assert!(
        counts["usual"] > 8 * counts.get("slow").copied().unwrap_or(1),
        "{counts:?}"
    );
}

/// An endpoint whose answers never arrive in time counts as slow, although it never answers.
#[test]
fn endpoint_whose_requests_time_out_gets_fewer_requests() {
    let mut directory = directory(&[("stuck", "north"), ("usual", "north")]);
    let mut random = Pcg64Mcg::seed_from_u64(2);
    let kassa = service("kassa");
    let mut stuck = 0;
    for step in 0..200 {
        let now = Timestamp::from_millis(step * 10);
        let choice = directory
            .choose(now, &kassa, "r", &[], &mut random)
            .expect("an endpoint");
        let is_stuck = choice.endpoint.name() == "stuck";
        let end = if is_stuck {
            AttemptEnd::GivenUp(Duration::from_secs(1))
        } else {
            AttemptEnd::Answered(Duration::from_millis(100))
        };
        directory.record_end(now, &choice.endpoint, "r", end, None);
        stuck += u32::from(is_stuck);
    }
    assert!(stuck < 20, "{stuck} of 200");
}
