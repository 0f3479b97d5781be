//! The replay of a trace through the real engines, and the verdict on it.

use super::ends::Ends;
use super::error::Difference;
use super::expect;
use super::fault;
use super::model::Trace;
use super::outcome::StatedOutcome;
use crate::kernel::HistoryDigest;
use crate::requests::{
    CallerBehaviour, Draws, LayerKind, LayerOptions, LayerSettings, LoadProfile, RequestSettings,
    RequestSimulation, Script, Tape, UnsafeDouble,
};
use bramblewheel_types::Timestamp;
use std::sync::Arc;

/// What a replay brought.
#[derive(Clone, Debug)]
pub struct Replay {
    /// How the sends ended, and what ran for them.
    pub ends: Ends,
    /// Digest of all that happened: the same for each replay of a trace.
    pub digest: HistoryDigest,
}

/// Whether a replay brought the stated outcomes.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Stated outcomes that it did not bring.
    pub differences: Vec<Difference>,
    /// Digest of all that happened: the same for each replay of a trace.
    pub digest: HistoryDigest,
    /// Requests of the trace.
    pub requests: usize,
    /// Sends of the trace.
    pub sends: usize,
    /// Sends with a stated outcome.
    pub stated: usize,
    /// Requests completed within their deadlines.
    pub completed: usize,
    /// Runs at endpoints.
    pub runs: usize,
}

impl Verdict {
    /// Whether all stated outcomes came.
    pub fn passed(&self) -> bool {
        self.differences.is_empty()
    }
}

/// Replays a trace and compares.
pub fn replay(trace: &Trace) -> Verdict {
    replay_with_double(trace, None)
}

/// Replays a trace with unsafe daemons, if any, to see that its stated outcomes can fail.
pub fn replay_with_double(trace: &Trace, double: Option<UnsafeDouble>) -> Verdict {
    let replay = play(trace, double);
    let mut differences = compare_sends(trace, &replay.ends);
    differences.extend(expect::check(trace, &replay.ends));
    let sends = || trace.requests.iter().flat_map(|request| &request.sends);
    Verdict {
        differences,
        digest: replay.digest,
        requests: trace.requests.len(),
        sends: sends().count(),
        stated: sends().filter(|send| send.outcome.is_some()).count(),
        completed: expect::count_completed(trace, &replay.ends),
        runs: replay.ends.run_count(),
    }
}

fn compare_sends(trace: &Trace, ends: &Ends) -> Vec<Difference> {
    let mut differences = Vec::new();
    for (id, position, number) in trace.sends() {
        let request = &trace.requests[position];
        let Some(stated) = request.sends[number].outcome else {
            continue;
        };
        // Whoever is not answered at the end of the replay waited in vain.
        let end = ends.sends.get(&id);
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

/// Replays a trace.
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
        ends: Ends::new(&run.take_history()),
        digest: run.kernel().digest(),
    }
}

/// Scripted callers have no load of their own.
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
