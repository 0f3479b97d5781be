//! Checks that a planned stop interrupts no request in progress and that the process exits with status 0.

use super::Finding;
use super::history::{History, ProcessEventKind, Send, SendEnd};
use crate::journal::{CallerOutcome, Failure, FaultKind};

/// Checks that no run at a stopping endpoint was interrupted before its deadline, and that no caller lost an answer
/// at a stopping gateway.
pub(super) fn check_requests(history: &History<'_>) -> Finding {
    let mut finding = Finding::new("planned-stop");
    for arrival in history.arrivals.values() {
        let stops = endpoint_stops(history, arrival.endpoint);
        let is_in_progress = |&(from, to): &(u64, u64)| {
            let began = arrival.ran_us.is_some_and(|at| at <= to);
            began && arrival.ended_us.is_none_or(|at| at >= from)
        };
        let Some(&(_, to)) = stops.iter().find(|stop| is_in_progress(stop)) else {
            continue;
        };
        let deadline = arrival.received_us + arrival.context.timeout_ms * 1000;
        let is_past_deadline = arrival.ended_us.unwrap_or(to) >= deadline;
        let has_finished = arrival.ended_us.is_some() && !arrival.was_cancelled;
        finding.add_case(has_finished || is_past_deadline, || {
            let (request, endpoint) = (arrival.context.request, arrival.endpoint);
            format!("request {request} was interrupted at {endpoint} by a planned stop")
        });
    }
    for send in history.sends.values() {
        check_send(history, send, &mut finding);
    }
    finding
}

fn check_send(history: &History<'_>, send: &Send<'_>, finding: &mut Finding) {
    let Some(SendEnd { at_us, reply }) = send.end else {
        return;
    };
    let stops = history.planned_stops(&send.sent.gateway);
    let is_in_progress = |&(from, to): &(u64, Option<u64>)| {
        send.sent_us <= from
            && to.is_none_or(|to| at_us <= to + EXIT_ATTRIBUTION_US)
            && at_us >= from
    };
    if !stops.iter().any(is_in_progress) {
        return;
    }
    let is_lost = matches!(
        reply.outcome,
        CallerOutcome::Nothing {
            failure: Failure::Broken | Failure::NoOutcome
        }
    );
    finding.add_case(!is_lost, || {
        let (request, gateway) = (send.sent.request, &send.sent.gateway);
        format!("request {request} lost its answer in a planned stop of {gateway}")
    });
}

/// Time after the exit of a process during which a broken connection is attributed to that exit, in microseconds.
const EXIT_ATTRIBUTION_US: u64 = 1_000_000;

/// Planned stops of an endpoint or of its daemon, through which the endpoint's answers pass.
fn endpoint_stops(history: &History<'_>, endpoint: &str) -> Vec<(u64, u64)> {
    let daemon = format!("daemon-{endpoint}");
    let processes = [endpoint, daemon.as_str()];
    let stops = processes.into_iter().flat_map(|p| history.planned_stops(p));
    stops
        .map(|(from, to)| (from, to.unwrap_or(u64::MAX)))
        .collect()
}

/// How a process is expected to continue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Expected {
    /// Keeps running.
    Run,
    /// Exits by itself with status 0.
    Stop,
    /// Is terminated by a signal.
    Killed,
}

/// Checks that no process exited without being asked to, and that each planned stop ended with status 0.
pub(super) fn check_exits(history: &History<'_>) -> Finding {
    let mut finding = Finding::new("clean-exit");
    for (process, events) in &history.processes {
        let mut expected = Expected::Run;
        for event in events {
            match event.kind {
                ProcessEventKind::Fault(FaultKind::Started) => expected = Expected::Run,
                ProcessEventKind::Fault(FaultKind::PlannedStop) => expected = Expected::Stop,
                ProcessEventKind::Fault(FaultKind::Killed) => expected = Expected::Killed,
                ProcessEventKind::Fault(_) => {}
                ProcessEventKind::Exited(status) => {
                    let is_clean = expected == Expected::Stop && status == Some(0);
                    finding.add_case(is_clean || expected == Expected::Killed, || {
                        let cause = match expected {
                            Expected::Run => "unasked",
                            Expected::Stop | Expected::Killed => "on a planned stop",
                        };
                        format!("{process} ended {cause} with status {status:?}")
                    });
                }
            }
        }
        if let Some(last) = events.last() {
            let has_exited = matches!(last.kind, ProcessEventKind::Exited(_));
            finding.add_case(has_exited, || format!("{process} did not end"));
        }
    }
    finding
}
