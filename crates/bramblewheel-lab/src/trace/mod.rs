//! Converts the journals of a fleet run to a trace; see `docs/TRACES.md`.
//!
//! Decisions in a fleet of processes depend on the machine's clock, so a replay can't reproduce all of them. A trace
//! of a fleet run states the promises and the outcomes of those sends that the replay reproduces; the outcomes of
//! the other sends are included as notes.

mod faults;
mod runs;
#[cfg(test)]
mod tests;

use crate::client::ANSWER_TIMEOUT_MARGIN;
use crate::deployments::Example;
use crate::error::CommandError;
use crate::journal::{CallerOutcome, Event, Failure, Record, RootSend};
use bramblewheel_sim::requests::{FlowIndex, RunDraws, Topology, ZoneIndex};
use bramblewheel_sim::trace::{
    Embedded, Expect, Head, Request, Send, StatedOutcome, Trace, replay, state_outcomes, to_toml,
};
use bramblewheel_types::{RequestId, Timestamp};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// Time before the first send of a trace, in microseconds.
const LEAD_IN_US: u64 = 10_000;
/// Time for which a replay continues after the last event of the journals.
const LEAD_OUT: Duration = Duration::from_secs(3);

/// Trace of a fleet run.
#[derive(Clone, Debug)]
pub struct RecordedTrace {
    /// Text of the trace.
    pub text: String,
    /// Number of sends whose outcomes the trace states.
    pub stated: usize,
    /// Number of sends whose outcomes differ between replay and run; the trace only notes them.
    pub noted: usize,
}

/// Converts the journals of a run to a trace; `command` is the command line of the run, stored as information.
///
/// # Errors
/// [`CommandError::CheckFailed`] when nothing was sent, or when the replay violates a promise that the run kept.
pub fn record(
    example: &Example,
    records: &[Record],
    command: &str,
    seed: u64,
) -> Result<RecordedTrace, CommandError> {
    let mut trace = convert(example, records, seed)?;
    let (stated, noted) = state_outcomes(&mut trace);
    trace.head.origin = format!(
        "{command}: a run of processes. Outcomes are stated for the {stated} sends that the replay \
         ends as the run did; what became of the other {noted} hung on the machine's clock and is \
         noted as recorded."
    );
    let differences = replay(&trace).differences;
    if let Some(first) = differences.first() {
        let text = format!("the replay violates a promise that the run kept: {first}");
        return Err(CommandError::CheckFailed(text));
    }
    Ok(RecordedTrace {
        text: to_toml(&trace),
        stated,
        noted,
    })
}

/// Converts the records to a trace that contains all outcomes as notes only.
fn convert(example: &Example, records: &[Record], seed: u64) -> Result<Trace, CommandError> {
    let topology = Arc::new(Topology::new(&example.deployment()));
    let sends = || records.iter().filter(|r| matches!(r.event, Event::Sent(_)));
    let Some(first) = sends().map(|record| record.at_us).min() else {
        return Err(CommandError::CheckFailed("nothing was sent".to_owned()));
    };
    let last = records.iter().map(|record| record.at_us).max();
    let clock = TraceClock {
        origin_us: first.saturating_sub(LEAD_IN_US),
    };
    let ends = clock.at(last.unwrap_or(first)) + LEAD_OUT;
    let converter = Converter {
        topology: &topology,
        clock,
        outcomes: outcomes(records),
        draws: runs::draws(records, &topology),
    };
    let requests = converter.requests(records);
    Ok(Trace {
        head: Head {
            origin: String::new(),
            seed,
            ends: Timestamp::from_millis(ends.as_millis()),
            patience: ANSWER_TIMEOUT_MARGIN,
            control_replicas: 0,
            deployment: Embedded {
                text: example.deployment_text().to_owned(),
                value: Arc::clone(&topology),
            },
            bundle: Embedded {
                text: example.bundle_text().to_owned(),
                value: Arc::new(example.bundle(1)),
            },
            faults: faults::faults(records, &topology, clock),
            expect: Expect {
                operations_run_once: true,
                retries_within_bound: true,
                not_run_is_true: true,
                ..Expect::default()
            },
        },
        requests,
    })
}

/// Converts journal times to trace times.
#[derive(Clone, Copy, Debug)]
struct TraceClock {
    origin_us: u64,
}

impl TraceClock {
    fn at(self, journal_us: u64) -> Timestamp {
        Timestamp(journal_us.saturating_sub(self.origin_us))
    }
}

fn outcomes(records: &[Record]) -> HashMap<u64, StatedOutcome> {
    let outcomes = records.iter().filter_map(|record| match &record.event {
        Event::SendEnded { send, reply } => Some((*send, outcome(reply.outcome))),
        _ => None,
    });
    outcomes.collect()
}

fn outcome(outcome: CallerOutcome) -> StatedOutcome {
    match outcome {
        CallerOutcome::Completed => StatedOutcome::Completed,
        CallerOutcome::NotRun { reason } => StatedOutcome::NotRun(Some(reason)),
        CallerOutcome::Failed => StatedOutcome::Failed,
        CallerOutcome::Unknown => StatedOutcome::Unknown,
        CallerOutcome::Nothing { failure } => match failure {
            Failure::NotConnected => StatedOutcome::NotReached,
            Failure::Broken | Failure::Silent | Failure::NoOutcome => StatedOutcome::GaveUp,
        },
    }
}

struct Converter<'a> {
    topology: &'a Topology,
    clock: TraceClock,
    outcomes: HashMap<u64, StatedOutcome>,
    draws: BTreeMap<u64, Vec<RunDraws>>,
}

impl Converter<'_> {
    /// The requests in the order of their first sends; the records are sorted by time.
    fn requests(&self, records: &[Record]) -> Vec<Request> {
        let mut requests: Vec<Request> = Vec::new();
        let mut positions: HashMap<RequestId, usize> = HashMap::new();
        for record in records {
            let Event::Sent(sent) = &record.event else {
                continue;
            };
            let Some((flow, send)) = self.send(record, sent) else {
                continue;
            };
            match positions.get(&sent.request) {
                Some(position) => requests[*position].sends.push(send),
                None => {
                    positions.insert(sent.request, requests.len());
                    requests.push(request(record, sent, flow, send));
                }
            }
        }
        requests
    }

    fn send(&self, record: &Record, sent: &RootSend) -> Option<(FlowIndex, Send)> {
        let mut flows = self.topology.flows.iter();
        let flow = flows.position(|flow| flow.model.name == sent.flow)?;
        let gateway = self.zone(&sent.gateway)?;
        let from = self.zone(&record.source).filter(|zone| *zone != gateway);
        let flow_deadline_ms = self.topology.flows[flow].model.deadline_ms;
        let own_deadline_ms = (sent.timeout_ms != flow_deadline_ms).then_some(sent.timeout_ms);
        let send = Send {
            at: self.clock.at(record.at_us),
            gateway,
            from,
            id: None,
            resend: Some(sent.resend),
            deadline: own_deadline_ms.map(Duration::from_millis),
            outcome: None,
            recorded: self.outcomes.get(&sent.send).copied(),
            runs: self.draws.get(&sent.send).cloned().unwrap_or_default(),
        };
        Some((FlowIndex(flow), send))
    }

    /// The zone in the name of a gateway or caller.
    fn zone(&self, process: &str) -> Option<ZoneIndex> {
        let (_, name) = process.split_once('-')?;
        let mut zones = self.topology.zones.iter();
        zones.position(|zone| zone.as_str() == name).map(ZoneIndex)
    }
}

fn request(record: &Record, sent: &RootSend, flow: FlowIndex, send: Send) -> Request {
    Request {
        id: sent.request,
        flow,
        caller: record.source.clone(),
        deadline: None,
        criticality: None,
        in_session: sent.session.is_some(),
        operation: sent.operation.clone(),
        sends: vec![send],
    }
}
