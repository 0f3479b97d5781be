//! Each checker accepts a journal that keeps its promise and rejects one that violates it.

use super::{CheckLimits, Finding, check_all};
use crate::journal::{
    CallContext, CallerOutcome, Event, Failure, FaultKind, Record, ReplyFromDaemon, RootSend,
    SubCallEnd,
};
use bramblewheel_types::{
    AttemptId, Criticality, NotRunReason, OperationKey, RequestId, ServiceName,
};
use std::time::Duration;

const LIMITS: CheckLimits = CheckLimits {
    retry_tokens: 1,
    leaving_bound: Duration::from_secs(3),
};
const SECOND: u64 = 1_000_000;
const SHED: CallerOutcome = CallerOutcome::NotRun {
    reason: NotRunReason::Overloaded,
};

/// A journal under construction.
#[derive(Default)]
struct Run {
    records: Vec<Record>,
}

impl Run {
    fn at(&mut self, at_us: u64, source: &str, event: Event) -> &mut Self {
        self.records.push(Record {
            at_us,
            source: source.to_owned(),
            event,
        });
        self
    }

    fn sent(&mut self, at_us: u64, send: u64, request: u128) -> &mut Self {
        self.at(at_us, "caller", Event::Sent(root_send(send, request)))
    }

    fn send_ended(&mut self, at_us: u64, send: u64, outcome: CallerOutcome) -> &mut Self {
        let own_whole = (outcome == CallerOutcome::Completed).then_some(true);
        self.send_ended_with(at_us, send, outcome, own_whole)
    }

    fn send_ended_with(
        &mut self,
        at_us: u64,
        send: u64,
        outcome: CallerOutcome,
        own_whole: Option<bool>,
    ) -> &mut Self {
        let reply = ReplyFromDaemon {
            outcome,
            status: None,
            own_whole,
        };
        self.at(at_us, "caller", Event::SendEnded { send, reply })
    }

    fn received(&mut self, at_us: u64, arrival: u64, context: CallContext) -> &mut Self {
        let event = Event::Received { arrival, context };
        self.at(at_us, "kassa-1", event)
    }

    fn ran(&mut self, at_us: u64, arrival: u64) -> &mut Self {
        self.at(at_us, "kassa-1", Event::Ran { arrival })
    }

    fn ended(&mut self, at_us: u64, arrival: u64) -> &mut Self {
        let failed = false;
        self.at(at_us, "kassa-1", Event::Ended { arrival, failed })
    }

    fn fault(&mut self, at_us: u64, process: &str, kind: FaultKind) -> &mut Self {
        let process = process.to_owned();
        self.at(at_us, "fleet", Event::Fault { process, kind })
    }

    fn exited(&mut self, at_us: u64, process: &str, status: Option<i32>) -> &mut Self {
        let process = process.to_owned();
        self.at(at_us, "fleet", Event::Exited { process, status })
    }

    fn finding(&self, name: &str) -> Finding {
        let findings = check_all(&self.records, LIMITS);
        let found = findings.into_iter().find(|finding| finding.name == name);
        found.expect("a checker has that name")
    }

    fn passes(&self, name: &str) {
        let finding = self.finding(name);
        assert!(finding.passed(), "{finding:?}");
        assert!(finding.cases > 0, "{name} checked no case");
    }

    fn fails(&self, name: &str) {
        let finding = self.finding(name);
        assert!(!finding.passed(), "{name} found no violation: {finding:?}");
    }
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("service name is valid")
}

fn root_send(send: u64, request: u128) -> RootSend {
    RootSend {
        send,
        request: RequestId(request),
        resend: 0,
        flow: "payment".to_owned(),
        service: service("kassa"),
        criticality: Criticality::Critical,
        operation: None,
        session: Some(1),
        gateway: "gateway-1".to_owned(),
        timeout_ms: 2000,
        due_us: 0,
    }
}

fn context(send: u64, call: u64, request: u128) -> CallContext {
    CallContext {
        send,
        call,
        depth: 1,
        request: RequestId(request),
        attempt: AttemptId(call),
        service: service("kassa"),
        path: "/pay".to_owned(),
        criticality: Criticality::Critical,
        in_session: true,
        operation: None,
        timeout_ms: 2000,
    }
}

fn operation(send: u64, key: &str) -> CallContext {
    CallContext {
        operation: OperationKey::new(key).ok(),
        ..context(send, send, u128::from(send))
    }
}

#[test]
fn a_send_answered_not_run_must_not_have_run() {
    let mut run = Run::default();
    run.sent(1, 1, 1)
        .send_ended(2, 1, SHED)
        .passes("not-run-truth");
    run.received(3, 1, context(1, 1, 1)).passes("not-run-truth");
    run.ran(4, 1).fails("not-run-truth");
}

#[test]
fn a_resend_answered_not_run_must_not_follow_a_run_of_an_earlier_send() {
    let mut run = Run::default();
    run.sent(1, 1, 7).received(2, 1, context(1, 1, 7)).ran(3, 1);
    run.send_ended(4, 1, CallerOutcome::Unknown);
    run.sent(5, 2, 7).send_ended(6, 2, CallerOutcome::Unknown);
    run.sent(7, 3, 8)
        .send_ended(8, 3, SHED)
        .passes("not-run-truth");
    run.sent(9, 4, 7)
        .send_ended(10, 4, SHED)
        .fails("not-run-truth");
}

#[test]
fn an_operation_must_not_run_twice() {
    let mut run = Run::default();
    run.received(1, 1, operation(1, "a")).ran(2, 1);
    run.received(3, 2, operation(2, "b")).ran(4, 2);
    run.received(5, 3, operation(3, "a")).passes("run-once");
    run.ran(6, 3).fails("run-once");
}

#[test]
fn a_completed_send_must_receive_the_whole_answer_to_its_request() {
    let mut run = Run::default();
    run.sent(1, 1, 1).send_ended(2, 1, CallerOutcome::Completed);
    run.passes("own-whole-answer");
    run.sent(3, 2, 2)
        .send_ended_with(4, 2, CallerOutcome::Completed, Some(false))
        .fails("own-whole-answer");
}

#[test]
fn a_completed_sub_call_must_receive_the_whole_answer_to_its_request() {
    let reply = ReplyFromDaemon {
        outcome: CallerOutcome::Completed,
        status: Some(200),
        own_whole: None,
    };
    let sub_call = sub_call(Criticality::Normal, reply);
    let mut run = Run::default();
    run.at(1, "kassa-1", Event::SubCall(sub_call))
        .fails("own-whole-answer");
}

fn sub_call(criticality: Criticality, reply: ReplyFromDaemon) -> SubCallEnd {
    SubCallEnd {
        arrival: 1,
        call: 2,
        service: service("beholdning"),
        criticality,
        reply,
    }
}

#[test]
fn extra_runs_over_all_calls_must_stay_within_the_tokens() {
    let mut run = Run::default();
    run.received(1, 1, context(1, 1, 1)).ran(2, 1);
    run.received(3, 2, context(1, 1, 1)).ran(4, 2);
    run.received(5, 3, context(1, 9, 1)).ran(6, 3);
    run.received(7, 4, context(1, 9, 1)).passes("retry-bound");
    run.ran(8, 4).fails("retry-bound");
}

#[test]
fn a_planned_stop_must_not_cancel_a_run() {
    let mut run = Run::default();
    run.received(1, 1, context(1, 1, 1)).ran(2, 1);
    run.fault(3, "daemon-kassa-1", FaultKind::PlannedStop);
    run.exited(10, "daemon-kassa-1", Some(0));
    run.fails("planned-stop");
    run.ended(5, 1).passes("planned-stop");
    run.at(5, "kassa-1", Event::Cancelled { arrival: 1 });
    run.fails("planned-stop");
}

#[test]
fn a_planned_stop_may_cancel_a_run_after_its_deadline() {
    let mut run = Run::default();
    run.received(1, 1, context(1, 1, 1)).ran(2, 1);
    run.fault(3, "kassa-1", FaultKind::PlannedStop);
    run.at(3 * SECOND, "kassa-1", Event::Cancelled { arrival: 1 });
    run.exited(4 * SECOND, "kassa-1", Some(0));
    run.passes("planned-stop");
}

#[test]
fn a_planned_stop_of_a_gateway_must_not_lose_answers() {
    let lost = CallerOutcome::Nothing {
        failure: Failure::Broken,
    };
    let mut run = Run::default();
    run.sent(1, 1, 1);
    run.sent(2, 2, 2);
    run.fault(3, "gateway-1", FaultKind::PlannedStop);
    run.send_ended(4, 1, CallerOutcome::Completed)
        .passes("planned-stop");
    run.send_ended(5, 2, lost).exited(6, "gateway-1", Some(0));
    run.fails("planned-stop");
}

#[test]
fn a_planned_stop_must_end_with_status_0() {
    let mut run = Run::default();
    run.fault(1, "kassa-1", FaultKind::Started);
    run.fails("clean-exit");
    run.fault(2, "kassa-1", FaultKind::PlannedStop);
    run.exited(3, "kassa-1", Some(0)).passes("clean-exit");
    run.fault(4, "kassa-1", FaultKind::Started);
    run.fault(5, "kassa-1", FaultKind::Killed);
    run.exited(6, "kassa-1", None).passes("clean-exit");
    run.fault(7, "kassa-1", FaultKind::Started);
    run.fault(8, "kassa-1", FaultKind::PlannedStop);
    run.exited(9, "kassa-1", None).fails("clean-exit");
}

#[test]
fn a_process_must_not_exit_without_being_asked_to() {
    let mut run = Run::default();
    run.fault(1, "kassa-1", FaultKind::Started);
    run.exited(2, "kassa-1", Some(0)).fails("clean-exit");
}

#[test]
fn a_leaving_endpoint_must_receive_no_work_after_the_bound() {
    let mut run = Run::default();
    run.received(1, 1, context(1, 1, 1));
    run.fault(2, "kassa-1", FaultKind::Leaving);
    run.received(2 * SECOND, 2, context(2, 2, 2));
    run.passes("leaving");
    run.received(4 * SECOND, 3, context(3, 3, 3));
    run.fails("leaving");
}

#[test]
fn an_endpoint_whose_daemon_was_restarted_may_receive_work() {
    let mut run = Run::default();
    run.received(1, 1, context(1, 1, 1));
    run.fault(2, "daemon-kassa-1", FaultKind::PlannedStop);
    run.exited(3, "daemon-kassa-1", Some(0));
    run.fault(4, "daemon-kassa-1", FaultKind::Started);
    run.received(9 * SECOND, 2, context(2, 2, 2));
    run.passes("leaving");
}

#[test]
fn a_more_important_class_must_not_be_shed_more() {
    let shares = |critical: u64, low: u64| {
        let mut run = Run::default();
        for (class, shed) in [(Criticality::Critical, critical), (Criticality::Low, low)] {
            for number in 0..200 {
                let reply = ReplyFromDaemon {
                    outcome: if number < shed {
                        SHED
                    } else {
                        CallerOutcome::Completed
                    },
                    status: None,
                    own_whole: Some(true),
                };
                run.at(number, "kassa-1", Event::SubCall(sub_call(class, reply)));
            }
        }
        run
    };
    shares(0, 50).passes("priority");
    shares(50, 50).passes("priority");
    shares(20, 10).fails("priority");
}

#[test]
fn a_class_with_fewer_calls_during_overload_does_not_count_as_preferred() {
    let mut run = Run::default();
    let calls = [
        (0, Criticality::Normal, 200, 100),
        (0, Criticality::Low, 10, 6),
        (SECOND, Criticality::Normal, 200, 0),
        (SECOND, Criticality::Low, 200, 0),
    ];
    for (at_us, class, count, shed) in calls {
        for number in 0..count {
            let reply = ReplyFromDaemon {
                outcome: if number < shed {
                    SHED
                } else {
                    CallerOutcome::Completed
                },
                status: None,
                own_whole: Some(true),
            };
            run.at(at_us, "kassa-1", Event::SubCall(sub_call(class, reply)));
        }
    }
    run.passes("priority");
}

#[test]
fn a_request_of_a_session_must_be_in_session_at_every_endpoint() {
    let mut run = Run::default();
    run.sent(1, 1, 1).received(2, 1, context(1, 1, 1));
    run.passes("sessions");
    let without_session = CallContext {
        in_session: false,
        ..context(1, 2, 1)
    };
    run.received(3, 2, without_session).fails("sessions");
}

#[test]
fn a_daemon_must_not_return_to_an_older_bundle() {
    let in_force = |version| Event::BundleInForce {
        process: "gateway-1".to_owned(),
        version,
    };
    let mut run = Run::default();
    run.at(1, "fleet", in_force(1)).at(2, "fleet", in_force(2));
    run.passes("bundle-version");
    run.at(3, "fleet", in_force(1)).fails("bundle-version");
}
