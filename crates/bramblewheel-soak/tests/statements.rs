//! Checks of what endpoints state in their answers, on histories that keep and break them.

use bramblewheel_platform_client as wire;
use bramblewheel_soak::check::check;
use bramblewheel_soak::endpoint::{LimitedTime, Statement};
use bramblewheel_soak::history::{
    End, Events, Interruption, Kind, Request, Run, StatedAnswer, StatedLimits, Timestamp,
};
use std::time::Duration;

/// Requests per second that the endpoint states.
const LIMIT: f64 = 5.0;
/// When it begins to state it.
const BEGIN: u64 = 10_000;
/// When it states it no more.
const END: u64 = 30_000;
/// Daemon beside the endpoint.
const BESIDE: usize = 0;
/// Daemon that sends the requests.
const SENDER: usize = 1;
const BY_TOLD: &str = "stated limit, by daemons that were told";
const BY_ALL: &str = "stated limit, by all daemons";
const DRAIN_BY_TOLD: &str = "drain notice, by daemons that passed it on";
const DRAIN_BY_ALL: &str = "drain notice, by all daemons";

fn at(millis: u64) -> Timestamp {
    Duration::from_millis(millis)
}

/// Adds a request that is sent and runs at this time and is answered with this statement.
fn add_request(events: &mut Events, millis: u64, statement: Option<Statement>) {
    let id = format!("r-{}", events.requests.len());
    let end = End::Answer {
        status: 200,
        proof: Some("e-1".to_owned()),
        is_own_body: true,
    };
    events.requests.push(Request {
        id: id.clone(),
        kind: Kind::Repeatable,
        daemon: SENDER,
        sent: at(millis),
        time_limit: Duration::from_secs(1),
        body_sent_at: Some(at(millis)),
        parent_id: None,
        ended: Some((at(millis + 20), end)),
    });
    events.runs.push(Run {
        id: id.clone(),
        endpoint: "e-1".to_owned(),
        started: 7,
        daemon: BESIDE,
        caller_service: Some(wire::SERVICES[0].to_owned()),
        at: at(millis),
        ended: None,
    });
    if let Some(statement) = statement {
        events.stated_answers.push(StatedAnswer {
            endpoint: "e-1".to_owned(),
            started: 7,
            id,
            at: at(millis + 10),
            statement,
        });
    }
}

/// A request every `period` milliseconds, each answered with the limit.
fn limited_history(period: usize) -> Events {
    let mut events = Events {
        stated_limits: vec![StatedLimits {
            endpoint: "e-1".to_owned(),
            started: 7,
            daemon: BESIDE,
            times: vec![LimitedTime {
                from: at(BEGIN),
                until: at(END),
                limit: LIMIT,
            }],
        }],
        last_fault_ended: at(40_000),
        ended: at(40_000),
        ..Events::default()
    };
    for millis in (BEGIN..END).step_by(period) {
        add_request(&mut events, millis, Some(Statement::RateLimit(LIMIT)));
    }
    events
}

/// The same with a drain notice at `BEGIN`, and requests from then on.
fn draining_history(later: &[u64]) -> Events {
    let mut events = Events {
        last_fault_ended: at(40_000),
        ended: at(40_000),
        ..Events::default()
    };
    add_request(&mut events, BEGIN, Some(Statement::Draining));
    for millis in later {
        add_request(&mut events, *millis, Some(Statement::Draining));
    }
    events
}

fn interrupt(events: &mut Events, daemon: usize, millis: u64, is_restart: bool) {
    events.interruptions.push(Interruption {
        daemon,
        from: at(millis),
        is_restart,
    });
}

/// The promises about statements that a history breaks, each once.
fn broken(events: &Events) -> Vec<&'static str> {
    let found = check(events, &|_| wire::SERVICES[0], &wire::version_of);
    let all = [BY_TOLD, BY_ALL, DRAIN_BY_TOLD, DRAIN_BY_ALL];
    let is_broken = |promise: &&&str| found.iter().any(|breach| breach.promise == **promise);
    all.iter().filter(is_broken).copied().collect()
}

#[test]
fn requests_within_the_limit_are_not_reported() {
    assert!(broken(&limited_history(200)).is_empty());
}

#[test]
fn requests_beyond_the_limit_are_reported() {
    // 26 in 4 s: beyond the design's 23, within the users' 35.
    assert_eq!(broken(&limited_history(155)), [BY_ALL]);
    assert_eq!(broken(&limited_history(100)), [BY_TOLD, BY_ALL]);
}

#[test]
fn restart_of_another_daemon_excuses_nothing() {
    let mut events = limited_history(100);
    for millis in (BEGIN..END).step_by(400) {
        interrupt(&mut events, 5, millis, true);
    }
    assert_eq!(broken(&events), [BY_TOLD, BY_ALL]);
}

#[test]
fn interruptions_of_the_sender_excuse_it_in_the_users_bound_only() {
    let mut events = limited_history(100);
    for millis in (BEGIN..END).step_by(400) {
        interrupt(&mut events, SENDER, millis, false);
    }
    assert_eq!(broken(&events), [BY_ALL]);
}

#[test]
fn one_restart_beside_the_endpoint_excuses_neither_later_nor_earlier_requests() {
    let mut events = limited_history(100);
    interrupt(&mut events, BESIDE, 20_000, true);
    assert_eq!(broken(&events), [BY_TOLD, BY_ALL]);
}

#[test]
fn requests_after_a_drain_notice_are_reported() {
    assert!(broken(&draining_history(&[BEGIN + 300])).is_empty());
    assert_eq!(broken(&draining_history(&[BEGIN + 900])), [DRAIN_BY_ALL]);
    let both = [DRAIN_BY_TOLD, DRAIN_BY_ALL];
    assert_eq!(broken(&draining_history(&[BEGIN + 2_100])), both);
}

#[test]
fn restart_beside_the_endpoint_does_not_excuse_the_daemon_that_passed_the_notice_on() {
    let mut events = draining_history(&[BEGIN + 2_100]);
    interrupt(&mut events, BESIDE, BEGIN + 500, true);
    assert_eq!(broken(&events), [DRAIN_BY_TOLD]);
}

#[test]
fn restart_of_the_sender_excuses_it_but_not_the_daemon_beside_the_endpoint() {
    let mut events = draining_history(&[BEGIN + 2_100]);
    interrupt(&mut events, SENDER, BEGIN + 500, true);
    assert_eq!(broken(&events), [DRAIN_BY_ALL]);
}
