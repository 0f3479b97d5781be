//! Checks that a planned stop interrupts no request in progress, and completes.

use super::super::faults::FaultRecord;
use super::super::record::Record;
use super::facts::{CallerOutcome, Facts};
use super::{Evidence, Promise, Violation};
use crate::kernel::{Fact, ProcessId, StopCause};
use bramblewheel_types::Timestamp;

pub(super) fn check(facts: &Facts, evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, entry) in evidence.history.iter().enumerate() {
        let Fact::Domain(Record::Fault(FaultRecord::StopPlanned { process })) = &entry.fact else {
            continue;
        };
        match next_stop(evidence, *process, index) {
            Some((stop, at, StopCause::Exited)) => {
                violations.extend(interrupted_runs(facts, *process, stop, at));
                violations.extend(interrupted_sends(facts, *process, stop, at));
            }
            Some(_) => {}
            None => {
                let last = evidence.history.last().map_or(entry.at, |last| last.at);
                if last.since(entry.at) > evidence.bounds.stop_within {
                    let message =
                        format!("the planned stop of process {} did not complete", process.0);
                    violations.push(violation(message, vec![index]));
                }
            }
        }
    }
    violations
}

/// Index, time and cause of the next stop of a process.
fn next_stop(
    evidence: &Evidence<'_>,
    process: ProcessId,
    after: usize,
) -> Option<(usize, Timestamp, StopCause)> {
    let later = evidence.history.iter().enumerate().skip(after);
    let mut stops = later.filter_map(|(index, entry)| match entry.fact {
        Fact::Stopped(cause) if entry.process == Some(process) => Some((index, entry.at, cause)),
        _ => None,
    });
    stops.next()
}

/// Violations by runs that the endpoint had begun and not ended.
fn interrupted_runs(
    facts: &Facts,
    process: ProcessId,
    stop: usize,
    at: Timestamp,
) -> impl Iterator<Item = Violation> {
    let runs = facts.runs.values();
    let open = runs.filter(move |run| {
        let is_here = run.endpoint.0 == process.0 as usize;
        let is_over = run.ended.is_some_and(|(end, _)| end <= at) || run.stopped.is_some();
        is_here
            && run.index < stop
            && !is_over
            && !facts.was_unavailable(process, run.at, before(at))
    });
    open.map(move |run| {
        let message = format!("process {} stopped during a run", process.0);
        violation(message, vec![run.index, stop])
    })
}

/// Violations by sends that the gateway had accepted and not answered.
fn interrupted_sends(
    facts: &Facts,
    process: ProcessId,
    stop: usize,
    at: Timestamp,
) -> impl Iterator<Item = Violation> {
    let sends = facts.sends.values().filter(move |send| send.to == process);
    sends.filter_map(move |send| {
        let end = send.end.as_ref()?;
        let is_cut = end.outcome == CallerOutcome::Nothing && send.at < at && end.at > at;
        let is_excused = facts.zone_cuts.overlap(send.at, end.at)
            || facts.was_unavailable(process, send.at, before(at));
        (is_cut && !is_excused).then(|| {
            let message = format!("process {} stopped before it answered", process.0);
            violation(message, vec![send.index, stop, end.index])
        })
    })
}

/// The last timestamp before a time.
fn before(at: Timestamp) -> Timestamp {
    Timestamp(at.0.saturating_sub(1))
}

fn violation(message: String, evidence: Vec<usize>) -> Violation {
    Violation {
        promise: Promise::StopInterruptsNothing,
        message,
        evidence,
    }
}
