//! Replays a trace through the real decision code and compares it with the stated outcomes.

use super::error::Difference;
use super::expect;
use super::fault;
use super::model::Trace;
use super::outcome::StatedOutcome;
use super::run_outcomes::RunOutcomes;
use crate::kernel::HistoryDigest;
use crate::requests::{
    CallerBehaviour, Draws, LayerKind, LayerOptions, LayerSettings, LoadProfile, RequestSettings,
    RequestSimulation, Script, Tape, UnsafeDouble,
};
use bramblewheel_types::Timestamp;
use std::sync::Arc;

/// Result of a replay.
#[derive(Clone, Debug)]
pub struct Replay {
    /// Outcomes of the sends and the runs that they caused.
    pub outcomes: RunOutcomes,
    /// Digest of the history; equal for every replay of a trace.
    pub digest: HistoryDigest,
}

/// Comparison of a replay with the stated outcomes.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Stated outcomes that the replay did not reproduce.
    pub differences: Vec<Difference>,
    /// Digest of the history; equal for every replay of a trace.
    pub digest: HistoryDigest,
    /// Number of requests in the trace.
    pub requests: usize,
    /// Number of sends in the trace.
    pub sends: usize,
    /// Number of sends with a stated outcome.
    pub stated: usize,
    /// Number of requests completed within their deadlines.
    pub completed: usize,
    /// Number of runs at endpoints.
    pub runs: usize,
}

impl Verdict {
    /// Whether the replay reproduced all stated outcomes.
    pub fn passed(&self) -> bool {
        self.differences.is_empty()
    }
}

/// Replays a trace and compares it with the stated outcomes.
pub fn replay(trace: &Trace) -> Verdict {
    replay_with_double(trace, None)
}

/// Like [`replay`], with daemons replaced by an unsafe double if one is given, to show that the stated outcomes
/// can fail.
pub fn replay_with_double(trace: &Trace, double: Option<UnsafeDouble>) -> Verdict {
    let replay = play(trace, double);
    let mut differences = compare_sends(trace, &replay.outcomes);
    differences.extend(expect::check(trace, &replay.outcomes));
    let sends = || trace.requests.iter().flat_map(|request| &request.sends);
    Verdict {
        differences,
        digest: replay.digest,
        requests: trace.requests.len(),
        sends: sends().count(),
        stated: sends().filter(|send| send.outcome.is_some()).count(),
        completed: expect::count_completed(trace, &replay.outcomes),
        runs: replay.outcomes.run_count(),
    }
}

fn compare_sends(trace: &Trace, outcomes: &RunOutcomes) -> Vec<Difference> {
    let mut differences = Vec::new();
    for (id, position, number) in trace.sends() {
        let request = &trace.requests[position];
        let Some(stated) = request.sends[number].outcome else {
            continue;
        };
        // A send without an end got no answer by the end of the replay.
        let end = outcomes.sends.get(&id);
        let replayed = end.map_or(StatedOutcome::GaveUp, |end| end.outcome);
        if !stated.fits(replayed) {
            differences.push(Difference::Send {
                request: request.id,
                send: number + 1,
                stated,
                replayed,
            });
        }
    }
    differences
}

/// Replays a trace without comparing outcomes.
pub fn play(trace: &Trace, double: Option<UnsafeDouble>) -> Replay {
    let head = &trace.head;
    let settings = RequestSettings {
        topology: Arc::clone(&head.deployment.value),
        layer: LayerSettings {
            kind: LayerKind::Bramblewheel,
            bundle: Arc::clone(&head.bundle.value),
        },
        load: NO_LOAD,
        callers: CallerBehaviour {
            patience: head.patience,
            ..CallerBehaviour::default()
        },
        seed: head.seed,
    };
    let script = Script {
        tape: Some(Tape::playing(draws(trace))),
        sends: Some(trace.script()),
    };
    let options = LayerOptions {
        double,
        replicas: head.control_replicas,
        seed: Some(head.seed),
    };
    let mut run = RequestSimulation::with_script(&settings, options, &script);
    fault::run_until(&mut run, &head.faults, head.ends);
    Replay {
        outcomes: RunOutcomes::new(&run.take_history()),
        digest: run.kernel().digest(),
    }
}

/// Scripted callers send only what the script says.
const NO_LOAD: LoadProfile = LoadProfile {
    base_rate: 0.0,
    surge: 1.0,
    surge_begins: Timestamp::ZERO,
    surge_ends: Timestamp::ZERO,
    ends: Timestamp::ZERO,
};

fn draws(trace: &Trace) -> Draws {
    let sends = trace.sends();
    let draws = sends.map(|(id, request, send)| {
        let send = &trace.requests[request].sends[send];
        (id, send.runs.clone())
    });
    draws.collect()
}
