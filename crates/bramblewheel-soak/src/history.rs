//! What callers, endpoints and operators saw, in the order of their clocks: one, since all run in the
//! soak's own process.

pub use bramblewheel_platform_client::Kind;

use crate::plan::Machine;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time since the soak began.
pub type At = Duration;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer.
    Answer {
        /// Status.
        status: u16,
        /// Endpoint that the proof names, if there is one.
        proof: Option<String>,
        /// Whether the body is the one that this endpoint gives to this request.
        is_own_body: bool,
    },
    /// No connection came up; nothing was sent.
    NotSent,
    /// The connection ended before a complete answer.
    Broken,
    /// The caller waited for longer than the request's deadline and a margin.
    Unanswered,
    /// The caller stopped reading an answer that had begun.
    Abandoned,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Daemon it was sent to.
    pub daemon: usize,
    /// When it was sent.
    pub sent: At,
    /// Time that it has: its caller's or its route's.
    pub allowed: Duration,
    /// When its last byte was sent, if it was.
    pub whole_at: Option<At>,
    /// The request that an endpoint makes it for; none of a caller's.
    pub called_by: Option<String>,
    /// When and how it ended.
    pub ended: Option<(At, End)>,
}

/// A request that is about to be sent.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Daemon it is sent to.
    pub daemon: usize,
    /// Time that it has.
    pub allowed: Duration,
    /// The request that an endpoint makes it for.
    pub called_by: Option<String>,
    /// Whether its body takes a while to send.
    pub is_sent_slowly: bool,
}

impl Asked {
    /// A short request of a caller.
    pub fn short(id: String, kind: Kind, daemon: usize, allowed: Duration) -> Self {
        Self {
            id,
            kind,
            daemon,
            allowed,
            called_by: None,
            is_sent_slowly: false,
        }
    }
}

/// How a run ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The endpoint wrote its answer to the end.
    Answered,
    /// The endpoint broke it off, or ended itself.
    BrokenOff,
    /// The connection to the endpoint was closed while it was at work.
    Dropped,
}

/// A request that an endpoint began to run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its id.
    pub id: String,
    /// Endpoint.
    pub endpoint: String,
    /// When this start of the endpoint began, in Unix milliseconds.
    pub started: u64,
    /// Daemon beside the endpoint.
    pub daemon: usize,
    /// Service that the request was said to come from.
    pub caller_service: Option<String>,
    /// When it arrived.
    pub at: At,
    /// When and how it ended.
    pub ended: Option<(At, RunEnd)>,
}

/// An acknowledgement that a start of an endpoint leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// Endpoint.
    pub endpoint: String,
    /// When this start of it began, in Unix milliseconds.
    pub started: u64,
    /// When it was acknowledged.
    pub at: At,
}

/// What another writer sent to a daemon as of the endpoint beside it, or of one elsewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForeignMessage {
    /// Daemon that it was sent to.
    pub daemon: usize,
    /// What it said.
    pub form: String,
    /// Whether the daemon acknowledged it.
    pub is_acknowledged: bool,
}

/// A process that ended although nobody had stopped or killed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedProcess {
    /// Where it ran.
    pub machine: Machine,
    /// When that was noticed.
    pub at: At,
}

/// An order of an operator.
#[derive(Clone, Debug)]
pub struct Order {
    /// Version ordered.
    pub version: u64,
    /// Version it builds on.
    pub parent: u64,
    /// Text of the configuration.
    pub text: String,
    /// When it was acknowledged, if it was.
    pub acknowledged: Option<At>,
    /// Whether it was refused for good.
    pub is_refused: bool,
}

/// A read of the configuration that was answered.
#[derive(Clone, Debug)]
pub struct Read {
    /// When it was sent.
    pub sent: At,
    /// Text of the answer.
    pub text: String,
}

/// A daemon's answer to a request that shows which configuration is in force there.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Daemon asked.
    pub daemon: usize,
    /// Process of the daemon, counted from its starts.
    pub life: u64,
    /// Version whose route was asked for.
    pub version: u64,
    /// When it was sent.
    pub sent: At,
    /// When it was answered.
    pub answered: At,
    /// Whether the daemon knew the route.
    pub is_known: bool,
}

/// A planned stop of a daemon that no other fault was near.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Daemon.
    pub daemon: usize,
    /// When it was told to stop.
    pub told: At,
    /// When its process had ended.
    pub ended: At,
    /// Whether it ended within the grace time.
    pub is_in_time: bool,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Requests of callers.
    pub requests: Vec<Request>,
    /// Runs at endpoints.
    pub runs: Vec<Run>,
    /// Acknowledgements that an endpoint leaves.
    pub leaving: Vec<Leaving>,
    /// Orders.
    pub orders: Vec<Order>,
    /// Reads.
    pub reads: Vec<Read>,
    /// Probes.
    pub probes: Vec<Probe>,
    /// Processes that ended by themselves, each time with the machine.
    pub ended_processes: Vec<EndedProcess>,
    /// Heartbeats and deregistrations of another writer.
    pub foreign: Vec<ForeignMessage>,
    /// Daemons, each with an endpoint that must have work after the last fault; 0 where that is not checked.
    pub daemons: usize,
    /// Planned stops.
    pub planned_stops: Vec<PlannedStop>,
    /// When the first fault struck, where service before it is the measure of service after the last; without it, nearly
    /// every request after the last must be served.
    pub first_fault: Option<At>,
    /// Whether callers ask for more at the usual load than endpoints have slots for.
    pub is_overloaded: bool,
    /// When the last fault had ended and all processes ran.
    pub calm_since: At,
    /// When callers stopped.
    pub ended: At,
}

/// A recorder that all parts of the soak share.
#[derive(Clone, Debug)]
pub struct History {
    begun: Instant,
    events: Arc<Mutex<Events>>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            begun: Instant::now(),
            events: Arc::default(),
        }
    }
}

impl History {
    /// The time since the soak began.
    pub fn now(&self) -> At {
        self.begun.elapsed()
    }

    /// What was seen so far.
    pub fn events(&self) -> MutexGuard<'_, Events> {
        self.events
            .lock()
            .expect("a panic under the lock ends the soak, so the lock is never poisoned")
    }

    /// Notes a request before it is sent; returns its number.
    pub fn begin(&self, asked: Asked) -> usize {
        let sent = self.now();
        let requests = &mut self.events().requests;
        requests.push(Request {
            id: asked.id,
            kind: asked.kind,
            daemon: asked.daemon,
            sent,
            allowed: asked.allowed,
            whole_at: (!asked.is_sent_slowly).then_some(sent),
            called_by: asked.called_by,
            ended: None,
        });
        requests.len() - 1
    }

    /// Notes that the last byte of a request was sent.
    pub fn note_whole(&self, number: usize) {
        let at = self.now();
        self.events().requests[number].whole_at = Some(at);
    }

    /// Notes the end of a request.
    pub fn end(&self, number: usize, end: End) {
        let at = self.now();
        self.events().requests[number].ended = Some((at, end));
    }

    /// Notes that an endpoint begins to run a request; returns the run's number.
    pub fn run_begins(&self, run: Run) -> usize {
        let runs = &mut self.events().runs;
        runs.push(run);
        runs.len() - 1
    }

    /// Notes the end of a run, unless it has ended.
    pub fn run_ends(&self, number: usize, end: RunEnd) {
        let at = self.now();
        self.events().runs[number].ended.get_or_insert((at, end));
    }
}
