//! Conversion of the journals of one request to a trace.

use super::record;
use crate::deployments::Deployments;
use crate::journal::{
    CallContext, CallerOutcome, Event, FaultKind, Record, ReplyFromDaemon, RootSend, SubCallEnd,
};
use bramblewheel_sim::trace::{self, FaultAction, StatedOutcome, Trace};
use bramblewheel_types::{
    AttemptId, Criticality, NotRunReason, OperationKey, RequestId, ServiceName,
};

const SEND: u64 = 7;
/// Journal time of the send, in microseconds.
const BEGIN: u64 = 5_000_000;

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("valid")
}

fn at(at_us: u64, source: &str, event: Event) -> Record {
    Record {
        at_us: BEGIN + at_us,
        source: source.to_owned(),
        event,
    }
}

fn reply(outcome: CallerOutcome) -> ReplyFromDaemon {
    ReplyFromDaemon {
        outcome,
        status: None,
        own_whole: None,
    }
}

/// A run of a call that starts when it is received and ends `duration_us` later.
fn run(
    arrival: u64,
    call: u64,
    route: (&str, &str),
    began_us: u64,
    duration_us: u64,
) -> [Record; 3] {
    let context = CallContext {
        send: SEND,
        call,
        depth: 1,
        request: RequestId(1),
        attempt: AttemptId(arrival),
        service: service(route.0),
        path: route.1.to_owned(),
        criticality: Criticality::Critical,
        in_session: true,
        operation: None,
        timeout_ms: 1_000,
    };
    [
        at(began_us, route.0, Event::Received { arrival, context }),
        at(began_us, route.0, Event::Ran { arrival }),
        at(
            began_us + duration_us,
            route.0,
            Event::Ended {
                arrival,
                failed: false,
            },
        ),
    ]
}

fn sub_call(ended_us: u64, arrival: u64, call: u64, called: &str) -> Record {
    let end = SubCallEnd {
        arrival,
        call,
        service: service(called),
        criticality: Criticality::Critical,
        reply: reply(CallerOutcome::Completed),
    };
    at(ended_us, "kassa-1", Event::SubCall(end))
}

/// A basket request: the stock list is called last but ends first; one of two price checks takes two attempts.
fn basket(outcome: CallerOutcome) -> Vec<Record> {
    let sent = RootSend {
        send: SEND,
        request: RequestId(1),
        resend: 0,
        flow: "basket".to_owned(),
        service: service("kassa"),
        criticality: Criticality::Critical,
        operation: Some(OperationKey::new("receipt").expect("valid")),
        session: Some(3),
        gateway: "gateway-molde-hall".to_owned(),
        timeout_ms: 900,
        due_us: BEGIN,
    };
    let mut records = vec![at(0, "caller-bergen-hall", Event::Sent(sent))];
    records.extend(run(100, SEND, ("kassa", "/basket"), 1_000, 20_000));
    records.extend(run(101, 51, ("prisskilt", "/price"), 5_000, 6_000));
    records.extend(run(102, 52, ("prisskilt", "/price"), 5_000, 3_000));
    records.extend(run(103, 52, ("prisskilt", "/price"), 9_000, 7_000));
    records.extend(run(104, 53, ("beholdning", "/stock"), 5_000, 2_000));
    records.push(sub_call(7_500, 100, 53, "beholdning"));
    records.push(sub_call(11_500, 100, 51, "prisskilt"));
    records.push(sub_call(16_500, 100, 52, "prisskilt"));
    let reply = reply(outcome);
    records.push(at(
        22_000,
        "caller-bergen-hall",
        Event::SendEnded { send: SEND, reply },
    ));
    records.sort_by_key(|record| record.at_us);
    records
}

fn traced(records: &[Record]) -> (Trace, usize, usize) {
    let example = Deployments::example("torgnett").expect("example");
    let recorded = record(example, records, "a run", 1).expect("replay keeps the promises");
    let trace = trace::parse("t", &recorded.text, &|_| Err("no files".to_owned()));
    let trace = trace.expect("recorded trace can be parsed");
    (trace, recorded.stated, recorded.noted)
}

#[test]
fn a_request_is_converted_from_the_journals() {
    let (trace, stated, noted) = traced(&basket(CallerOutcome::Completed));
    assert_eq!((stated, noted), (1, 0));
    let [request] = &trace.requests[..] else {
        panic!("{} requests", trace.requests.len());
    };
    assert!(request.in_session);
    assert_eq!(request.caller, "caller-bergen-hall");
    let send = &request.sends[0];
    assert_eq!(send.outcome, Some(StatedOutcome::Completed));
    assert_eq!(send.from.map(|zone| zone.0), Some(0));
    assert_eq!(send.gateway.0, 3);
    let runs = send.runs.iter().map(|run| {
        let work: Vec<_> = run.work.iter().map(|part| part.as_micros()).collect();
        (run.path.to_string(), work)
    });
    let expected = [
        ("root", 9_000),
        ("1", 6_000),
        ("2", 3_000),
        ("3", 2_000),
        ("2", 7_000),
    ];
    let expected = expected.map(|(path, work)| (path.to_owned(), vec![work]));
    assert_eq!(runs.collect::<Vec<_>>(), expected);
}

#[test]
fn an_outcome_that_the_replay_does_not_reproduce_is_noted_and_not_stated() {
    let refused = CallerOutcome::NotRun {
        reason: NotRunReason::Overloaded,
    };
    let (trace, stated, noted) = traced(&basket(refused));
    assert_eq!((stated, noted), (0, 1));
    let send = &trace.requests[0].sends[0];
    assert_eq!(send.outcome, None);
    let recorded = Some(StatedOutcome::NotRun(Some(NotRunReason::Overloaded)));
    assert_eq!(send.recorded, recorded);
}

#[test]
fn a_killed_and_restarted_daemon_is_a_fault_of_the_trace() {
    let mut records = basket(CallerOutcome::Completed);
    for (at_us, kind) in [(30_000, FaultKind::Killed), (730_000, FaultKind::Started)] {
        let process = "daemon-kassa-2".to_owned();
        records.push(at(at_us, "fleet", Event::Fault { process, kind }));
    }
    let (trace, ..) = traced(&records);
    let [fault] = &trace.head.faults[..] else {
        panic!("{:?}", trace.head.faults);
    };
    assert!(matches!(fault.action, FaultAction::Kill(_)));
    assert_eq!(fault.begins.as_millis(), 40);
    assert_eq!(fault.lasts.as_millis(), 700);
}
