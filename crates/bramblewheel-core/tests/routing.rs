//! Endpoint selection, ejection and ratio budgets.

mod support;

use bramblewheel_core::action::Action;
use bramblewheel_core::event::{
    AttemptResult, DirectoryEndpoint, DirectoryUpdate, Event, Feedback,
};
use bramblewheel_types::{AttemptId, EndpointId, NotRunReason, Outcome, Timestamp};
use std::collections::BTreeMap;
use support::{
    Daemon, admission, answered, at, bundle, call_answer, endpoint, reason, root_call, sent,
    service, zone,
};

fn entry(name: &str, in_zone: &str, draining: bool) -> DirectoryEndpoint {
    DirectoryEndpoint {
        endpoint: endpoint(name),
        service: service("a"),
        zone: zone(in_zone),
        address: ([127, 0, 0, 1], 1_000).into(),
        draining,
    }
}

fn gateway(retry_tokens: u32, live: Vec<DirectoryEndpoint>) -> Daemon {
    let bundle = bundle(&["a"], retry_tokens, admission(9, 9));
    let mut daemon = Daemon::new("gateway", None, 1, bundle);
    daemon.step(at(0), update(live));
    daemon
}

fn update(live: Vec<DirectoryEndpoint>) -> Event {
    Event::DirectoryUpdated(DirectoryUpdate {
        is_complete: true,
        live,
        removed: Vec::new(),
    })
}

fn call(daemon: &mut Daemon, now: Timestamp, id: u64) -> Option<(AttemptId, EndpointId)> {
    sent(&daemon.step(now, root_call(id, "a", "/", None)))
}

fn end(daemon: &mut Daemon, now: Timestamp, attempt: AttemptId, result: AttemptResult) {
    daemon.step(now, Event::AttemptEnded { attempt, result });
}

fn completed(load_percent: u32) -> AttemptResult {
    AttemptResult::Answered {
        outcome: Outcome::Completed,
        feedback: Feedback {
            load_percent,
            ..Default::default()
        },
    }
}

/// Calls per endpoint. Each call is answered at once; the near endpoints report `load`.
fn shares(daemon: &mut Daemon, calls: u64, load: u32) -> BTreeMap<String, u64> {
    let mut shares = BTreeMap::new();
    for id in 0..calls {
        let now = at(10 + id);
        let (attempt, endpoint) = call(daemon, now, 1_000 + id).expect("the call is sent");
        *shares.entry(endpoint.to_string()).or_default() += 1;
        let is_near = endpoint.name().starts_with("near");
        end(
            daemon,
            now,
            attempt,
            completed(if is_near { load } else { 0 }),
        );
    }
    shares
}

#[test]
fn own_zone_is_preferred_until_it_is_loaded() {
    let live = vec![
        entry("near-0", "zone-a", false),
        entry("near-1", "zone-a", false),
        entry("far-0", "zone-b", false),
    ];
    let idle = shares(&mut gateway(0, live.clone()), 200, 10);
    assert_eq!(idle.get("far-0"), None);
    assert_eq!(idle.len(), 2);
    let loaded = shares(&mut gateway(0, live), 200, 300);
    assert!(loaded["far-0"] > 50, "{loaded:?}");
    assert!(loaded["near-0"] + loaded["near-1"] > 0, "{loaded:?}");
}

#[test]
fn slow_endpoint_gets_fewer_calls() {
    let live = vec![
        entry("fast", "zone-a", false),
        entry("slow", "zone-a", false),
    ];
    let mut daemon = gateway(0, live);
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for id in 0..100 {
        let now = at(10 + id * 20);
        let (attempt, endpoint) = call(&mut daemon, now, id).expect("the call is sent");
        let took = if endpoint.name() == "slow" { 15 } else { 1 };
        *counts.entry(endpoint.to_string()).or_default() += 1;
        end(&mut daemon, at(10 + id * 20 + took), attempt, completed(0));
    }
    assert!(counts["fast"] > 90, "{counts:?}");
}

#[test]
fn failing_endpoints_are_ejected_up_to_the_limit_and_return() {
    let names = ["a-0", "a-1", "a-2", "a-3"];
    let live = names.map(|name| entry(name, "zone-a", false)).to_vec();
    let mut daemon = gateway(0, live);
    for id in 0..200 {
        let Some((attempt, _)) = call(&mut daemon, at(10), id) else {
            panic!("no endpoint was chosen although only a part of them may be ejected");
        };
        end(&mut daemon, at(10), attempt, AttemptResult::Lost);
    }
    assert_eq!(
        daemon.engine.metrics().ejections,
        2,
        "half of the endpoints are ejected"
    );
    let during: Vec<_> = (300..340)
        .filter_map(|id| call(&mut daemon, at(20), id))
        .collect();
    for (attempt, _) in &during {
        end(&mut daemon, at(21), *attempt, completed(0));
    }
    let during: Vec<_> = during.into_iter().map(|(_, endpoint)| endpoint).collect();
    let distinct = |list: &[EndpointId]| {
        let set: std::collections::BTreeSet<_> = list.iter().collect();
        set.len()
    };
    assert_eq!(distinct(&during), 2);
    let after: Vec<_> = (400..480)
        .filter_map(|id| call(&mut daemon, at(1_500), id))
        .map(|(_, endpoint)| endpoint)
        .collect();
    assert_eq!(distinct(&after), 4);
}

#[test]
fn draining_or_removed_endpoints_get_no_new_work() {
    let mut daemon = gateway(0, vec![entry("a-0", "zone-a", false)]);
    daemon.step(at(1), update(vec![entry("a-0", "zone-a", true)]));
    let actions = daemon.step(at(2), root_call(1, "a", "/", None));
    let outcome = call_answer(&actions).expect("the call is refused").outcome;
    assert_eq!(reason(outcome), Some(NotRunReason::NoEndpoint));
    daemon.step(at(3), update(vec![entry("a-1", "zone-a", false)]));
    let (_, endpoint) = call(&mut daemon, at(4), 2).expect("the new endpoint gets the call");
    assert_eq!(endpoint.name(), "a-1");
}

#[test]
fn retries_stay_within_the_ratio_when_all_calls_fail() {
    let names = ["a-0", "a-1", "a-2", "a-3"];
    let live = names.map(|name| entry(name, "zone-a", false)).to_vec();
    let mut limits = bundle(&["a"], 100, admission(9, 9));
    limits.limits.retry_ratio_percent = 10;
    let mut daemon = Daemon::new("gateway", None, 1, limits);
    daemon.step(at(0), update(live));
    const CALLS: u64 = 500;
    for id in 0..CALLS {
        let mut actions = daemon.step(at(1), root_call(id, "a", "/", None));
        while let Some((attempt, _)) = sent(&actions) {
            let result = answered(Outcome::Failed);
            actions = daemon.step(at(1), Event::AttemptEnded { attempt, result });
        }
        assert!(matches!(actions[..], [Action::AnswerCall { .. }]));
    }
    let retries = daemon.engine.metrics().attempts_sent - CALLS;
    let allowed = CALLS / 10 + 10;
    assert!(
        retries <= allowed && retries > CALLS / 20,
        "{retries} retries"
    );
}

#[test]
fn calls_beyond_the_connection_limit_are_refused_at_once() {
    let mut bundle = bundle(&["a"], 0, admission(9, 9));
    for policy in bundle.services.values_mut() {
        policy.routing.max_connections = 3;
    }
    let mut daemon = Daemon::new("gateway", None, 1, bundle);
    daemon.step(at(0), update(vec![entry("a-0", "zone-a", false)]));
    let (first, _) = call(&mut daemon, at(1), 1).expect("the call is sent");
    assert!(call(&mut daemon, at(1), 2).is_some());
    assert!(call(&mut daemon, at(1), 3).is_some());
    let actions = daemon.step(at(1), root_call(4, "a", "/", None));
    let answer = call_answer(&actions).expect("the call is refused without a free connection");
    assert_eq!(reason(answer.outcome), Some(NotRunReason::Overloaded));
    end(&mut daemon, at(2), first, completed(10));
    assert!(call(&mut daemon, at(2), 5).is_some());
}

/// An endpoint that is cut off answers nothing, so its latency never rises; the other takes 20 ms.
#[test]
fn a_silent_endpoint_gets_no_more_calls_while_another_answers() {
    let live = vec![entry("a-0", "zone-a", false), entry("a-1", "zone-a", false)];
    let mut daemon = gateway(0, live);
    let mut running = std::collections::VecDeque::new();
    let mut unanswered = Vec::new();
    for id in 1..900 {
        let now = at(id);
        while running.front().is_some_and(|(ends, _)| *ends <= now) {
            let (_, attempt) = running.pop_front().expect("the queue has a first entry");
            end(&mut daemon, now, attempt, completed(10));
        }
        let (attempt, to) = call(&mut daemon, now, id).expect("the call is sent");
        if to == endpoint("a-0") {
            unanswered.push(now);
        } else {
            running.push_back((at(id + 20), attempt));
        }
    }
    let last = unanswered
        .last()
        .expect("the silent endpoint got calls before it was detected");
    assert!(
        *last < at(200),
        "the silent endpoint got a call at {last:?}"
    );
}
