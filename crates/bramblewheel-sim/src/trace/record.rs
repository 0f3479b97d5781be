//! Recording of traces from simulated runs.

use super::error::RecordError;
use super::fault;
use super::model::{Request, Send, Trace};
use super::plan::Plan;
use super::replay::{play, replay};
use super::run_outcomes::RunOutcomes;
use crate::kernel::{Entry, Fact, ProcessId};
use crate::requests::{
    Draws, LayerKind, LayerOptions, LayerSettings, ProcessLayout, Record, RequestSettings,
    RequestSimulation, Script, SendId, Tape, Topology, ZoneIndex,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Runs a plan and records the sends, the random draws of endpoints and the outcome of each send. Replays the
/// trace at once, because a trace with other outcomes in its replay is useless.
///
/// # Errors
/// [`RecordError`] when outcomes in the replay differ from the run or from what the plan states.
pub fn record(plan: &Plan) -> Result<Trace, RecordError> {
    let head = &plan.head;
    let settings = RequestSettings {
        topology: Arc::clone(&head.deployment.value),
        layer: LayerSettings {
            kind: LayerKind::Bramblewheel,
            bundle: Arc::clone(&head.bundle.value),
        },
        load: plan.load.clone(),
        callers: plan.callers,
        seed: head.seed,
    };
    let tape = Tape::recording();
    let script = Script {
        tape: Some(tape.clone()),
        sends: None,
    };
    let options = LayerOptions {
        double: None,
        replicas: head.control_replicas,
        seed: Some(head.seed),
    };
    let mut run = RequestSimulation::with_script(&settings, options, &script);
    fault::run_until(&mut run, &head.faults, head.ends);
    let history = run.take_history();
    let recording = Recording {
        outcomes: RunOutcomes::new(&history),
        draws: tape.draws(),
        topology: &head.deployment.value,
        layout: run.layout(),
    };
    let trace = Trace {
        head: head.clone(),
        requests: recording.requests(&history),
    };
    let differences = replay(&trace).differences;
    match differences.first() {
        None => Ok(trace),
        Some(first) => Err(RecordError::Differs {
            count: differences.len(),
            first: Box::new(first.clone()),
        }),
    }
}

struct Recording<'a> {
    outcomes: RunOutcomes,
    draws: Draws,
    topology: &'a Topology,
    layout: ProcessLayout,
}

impl Recording<'_> {
    /// The requests, ordered by their first sends.
    fn requests(&self, history: &[Entry<Record>]) -> Vec<Request> {
        let mut requests: Vec<Request> = Vec::new();
        let mut positions: BTreeMap<u64, usize> = BTreeMap::new();
        for entry in history {
            let Fact::Domain(record) = &entry.fact else {
                continue;
            };
            let Record::Sent { person, .. } = record else {
                continue;
            };
            if let Some(position) = positions.get(person) {
                let request = &mut requests[*position];
                let mut send = self.send(entry, record);
                send.id = send.id.filter(|id| *id != request.id);
                request.sends.push(send);
            } else if let Some(request) = self.request(entry, record) {
                positions.insert(*person, requests.len());
                requests.push(request);
            }
        }
        requests
    }

    fn request(&self, entry: &Entry<Record>, record: &Record) -> Option<Request> {
        let Record::Sent {
            flow,
            caller,
            in_session,
            request,
            operation,
            ..
        } = record
        else {
            return None;
        };
        let mut send = self.send(entry, record);
        send.id = None;
        Some(Request {
            id: *request,
            flow: *flow,
            caller: caller.clone(),
            deadline: None,
            criticality: None,
            in_session: *in_session,
            operation: operation.clone(),
            sends: vec![send],
        })
    }

    fn send(&self, entry: &Entry<Record>, record: &Record) -> Send {
        let Record::Sent {
            send, to, request, ..
        } = record
        else {
            unreachable!("`send` is called with sent records only");
        };
        let gateway = self.zone_of(*to, ProcessLayout::gateway);
        let caller = entry
            .process
            .map(|from| self.zone_of(from, ProcessLayout::callers));
        Send {
            at: entry.at,
            gateway,
            from: caller.filter(|zone| *zone != gateway),
            id: Some(*request),
            resend: None,
            deadline: None,
            outcome: self.outcomes.sends.get(send).map(|end| end.outcome),
            recorded: None,
            runs: self.draws_for(*send),
        }
    }

    fn draws_for(&self, send: SendId) -> Vec<crate::requests::RunDraws> {
        self.draws.get(&send).cloned().unwrap_or_default()
    }

    /// The zone whose process, as given by `of`, is `process`.
    fn zone_of(
        &self,
        process: ProcessId,
        of: fn(&ProcessLayout, ZoneIndex) -> ProcessId,
    ) -> ZoneIndex {
        let mut zones = (0..self.topology.zones.len()).map(ZoneIndex);
        let found = zones.find(|zone| of(&self.layout, *zone) == process);
        found.expect("each gateway and each caller process belongs to a zone")
    }
}

/// Turns the recorded outcome of each send into a stated one if the replay reproduces it, and leaves it as a note
/// otherwise. Returns the numbers of stated outcomes and of notes.
pub fn state_outcomes(trace: &mut Trace) -> (usize, usize) {
    let outcomes = play(trace, None).outcomes;
    let sends: Vec<_> = trace.sends().collect();
    let (mut stated, mut not_stated) = (0, 0);
    for (id, request, number) in sends {
        let send = &mut trace.requests[request].sends[number];
        let replayed = outcomes.sends.get(&id).map(|end| end.outcome);
        let is_reproduced = send.recorded.is_some() && send.recorded == replayed;
        if is_reproduced {
            send.outcome = send.recorded.take();
            stated += 1;
        } else {
            not_stated += 1;
        }
    }
    (stated, not_stated)
}
