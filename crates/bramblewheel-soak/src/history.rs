//! Records what callers, endpoints and operators observed. All of them run in the soak's process, so one clock
//! orders all events.

pub use bramblewheel_platform_client::Kind;
pub use statements::{Interruption, StatedAnswer, StatedLimits};

mod statements;

use crate::plan::Machine;
use crate::sent_body::OnSent;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// Time since the soak began.
pub type Timestamp = Duration;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// A complete answer.
    Answer {
        /// Status.
        status: u16,
        /// Endpoint that the proof header names, if there is one.
        proof: Option<String>,
        /// Whether the body is the one that this endpoint sends for this request.
        is_own_body: bool,
    },
    /// No connection was established; nothing was sent.
    NotSent,
    /// The connection ended before a complete answer.
    Broken,
    /// No answer came within the request's deadline and a margin.
    Unanswered,
    /// The caller stopped reading an answer that had begun.
    Abandoned,
}

/// A request of a caller, or a call of an endpoint.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Daemon it was sent to.
    pub daemon: usize,
    /// When it was sent.
    pub sent: Timestamp,
    /// Time limit of the caller or of the route, whichever is shorter.
    pub time_limit: Duration,
    /// When its last byte was sent; none if it was not.
    pub body_sent_at: Option<Timestamp>,
    /// Request that the calling endpoint runs; none for a request of a caller.
    pub parent_id: Option<String>,
    /// When and how it ended.
    pub ended: Option<(Timestamp, End)>,
}

/// A request that is about to be sent.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// Request id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
    /// Daemon it is sent to.
    pub daemon: usize,
    /// Time limit of the caller or of the route, whichever is shorter.
    pub time_limit: Duration,
    /// Request that the calling endpoint runs; none for a request of a caller.
    pub parent_id: Option<String>,
}

impl NewRequest {
    /// A request of a caller.
    pub fn short(id: String, kind: Kind, daemon: usize, time_limit: Duration) -> Self {
        Self {
            id,
            kind,
            daemon,
            time_limit,
            parent_id: None,
        }
    }
}

/// How a run ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The endpoint wrote its whole answer.
    Answered,
    /// The endpoint broke its answer off, crashed or stopped.
    BrokenOff,
    /// The connection to the endpoint was closed while the request ran.
    Dropped,
}

/// One run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request id.
    pub id: String,
    /// Endpoint.
    pub endpoint: String,
    /// Start time of the endpoint, in Unix milliseconds.
    pub started: u64,
    /// Daemon beside the endpoint.
    pub daemon: usize,
    /// Service that the request named as its caller's.
    pub caller_service: Option<String>,
    /// When it arrived.
    pub at: Timestamp,
    /// When and how it ended.
    pub ended: Option<(Timestamp, RunEnd)>,
}

/// A heartbeat of a draining endpoint that the daemon acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcknowledgedDrain {
    /// Endpoint.
    pub endpoint: String,
    /// Start time of the endpoint, in Unix milliseconds.
    pub started: u64,
    /// When it was acknowledged.
    pub at: Timestamp,
}

/// A message that a foreign sender sent to a daemon in the name of the endpoint beside it or of another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForeignMessage {
    /// Daemon that it was sent to.
    pub daemon: usize,
    /// Contents of the message.
    pub form: String,
    /// Whether the daemon acknowledged it.
    pub is_acknowledged: bool,
}

/// A process that exited although the soak had neither stopped nor killed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnexpectedExit {
    /// Where it ran.
    pub machine: Machine,
    /// When the exit was detected.
    pub at: Timestamp,
}

/// A configuration change that an operator ordered.
#[derive(Clone, Debug)]
pub struct Order {
    /// Version ordered.
    pub version: u64,
    /// Version that it replaces.
    pub parent: u64,
    /// Text of the configuration.
    pub text: String,
    /// When it was acknowledged; none if it was not.
    pub acknowledged: Option<Timestamp>,
    /// Whether it was refused.
    pub is_refused: bool,
}

/// A read of the configuration that was answered.
#[derive(Clone, Debug)]
pub struct Read {
    /// When it was sent.
    pub sent: Timestamp,
    /// Text of the answer.
    pub text: String,
}

/// A read of the configuration at one control replica after the last fault.
#[derive(Clone, Debug)]
pub struct FinalRead {
    /// Control replica.
    pub replica: usize,
    /// When it was sent.
    pub sent: Timestamp,
    /// When it was answered.
    pub answered: Timestamp,
    /// Text of the answer.
    pub text: String,
}

/// A daemon's answer to a request that shows which configuration is in force there.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Daemon that was probed.
    pub daemon: usize,
    /// Generation of the daemon's process.
    pub generation: u64,
    /// Version whose route was requested.
    pub version: u64,
    /// When it was sent.
    pub sent: Timestamp,
    /// When it was answered.
    pub answered: Timestamp,
    /// Whether the daemon had the route.
    pub has_route: bool,
}

/// A planned stop of a daemon with no other fault near it.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Daemon.
    pub daemon: usize,
    /// When the stop was requested.
    pub requested: Timestamp,
    /// When its process had exited.
    pub ended: Timestamp,
    /// Whether it exited with success within the grace time.
    pub is_in_time: bool,
}

/// A fault that struck a machine, other than a planned stop.
#[derive(Clone, Debug)]
pub struct Strike {
    /// Machine.
    pub machine: Machine,
    /// The fault.
    pub fault: String,
    /// When it was ordered.
    pub from: Timestamp,
    /// When it was over; none if it is not.
    pub until: Option<Timestamp>,
}

/// A time in which a process could not run.
#[derive(Clone, Copy, Debug)]
pub struct LateProcess {
    /// Where it runs; none for the soak itself.
    pub machine: Option<Machine>,
    /// When it went on.
    pub until: Timestamp,
    /// By how much it was late then.
    pub lateness: Duration,
}

/// Number of open files of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenFiles {
    /// Where it runs.
    pub machine: Machine,
    /// Before the first fault.
    pub before: usize,
    /// After the last fault, once callers have stopped.
    pub after: usize,
}

/// Everything that was recorded.
#[derive(Clone, Debug, Default)]
pub struct Events {
    /// Requests of callers and calls of endpoints.
    pub requests: Vec<Request>,
    /// Runs at endpoints.
    pub runs: Vec<Run>,
    /// Acknowledged heartbeats of draining endpoints.
    pub acknowledged_drains: Vec<AcknowledgedDrain>,
    /// Configuration changes.
    pub orders: Vec<Order>,
    /// Reads of the configuration.
    pub reads: Vec<Read>,
    /// Reads of the configuration at each control replica after the last fault.
    pub final_reads: Vec<FinalRead>,
    /// Number of control replicas that must return the configuration after the last fault.
    pub replicas: usize,
    /// Probes of the routes in force.
    pub probes: Vec<Probe>,
    /// Open files of the processes; empty where they were not counted.
    pub open_files: Vec<OpenFiles>,
    /// Unexpected exits of processes.
    pub unexpected_exits: Vec<UnexpectedExit>,
    /// Heartbeats and deregistrations of a foreign sender.
    pub foreign: Vec<ForeignMessage>,
    /// Number of daemons whose endpoints must receive requests after the last fault; 0 where that is not checked.
    pub daemons: usize,
    /// Rate limits that endpoints state.
    pub stated_limits: Vec<StatedLimits>,
    /// Answers with statements of their endpoints.
    pub stated_answers: Vec<StatedAnswer>,
    /// Restarts, suspensions and cuts of daemons, at their begin and end.
    pub interruptions: Vec<Interruption>,
    /// Planned stops.
    pub planned_stops: Vec<PlannedStop>,
    /// Faults other than planned stops. They excuse nothing; a broken promise names those on its path.
    pub strikes: Vec<Strike>,
    /// Times in which processes could not run. They excuse nothing either.
    pub late_processes: Vec<LateProcess>,
    /// When the first fault was injected, if the served share before it is the reference for the served share after the
    /// last fault; if none, nearly every request after the last fault must be served.
    pub first_fault: Option<Timestamp>,
    /// Whether the usual load exceeds the capacity of the endpoints.
    pub is_overloaded: bool,
    /// When the last fault had ended and all processes were running.
    pub last_fault_ended: Timestamp,
    /// When callers stopped.
    pub ended: Timestamp,
}

/// Recorder of events, shared by all parts of the soak.
#[derive(Clone, Debug)]
pub struct History {
    begun: Instant,
    begun_unix: SystemTime,
    events: Arc<Mutex<Events>>,
    acknowledgements: Arc<Notify>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            begun: Instant::now(),
            begun_unix: SystemTime::now(),
            events: Arc::default(),
            acknowledgements: Arc::default(),
        }
    }
}

impl History {
    /// Returns the time since the soak began.
    pub fn now(&self) -> Timestamp {
        self.begun.elapsed()
    }

    /// When the soak began, in Unix milliseconds, as in the logs of the processes.
    pub fn begun_unix_millis(&self) -> u64 {
        let since_epoch = self.begun_unix.duration_since(UNIX_EPOCH);
        let since_epoch = since_epoch.expect("the clock is past 1970").as_millis();
        u64::try_from(since_epoch).expect("milliseconds since 1970 fit")
    }

    /// Locks the events recorded so far.
    pub fn events(&self) -> MutexGuard<'_, Events> {
        self.events
            .lock()
            .expect("a panic while the lock is held ends the soak, so the lock is never poisoned")
    }

    /// Records that a daemon is interrupted now, or that an interruption ends.
    pub fn record_interruption(&self, daemon: usize, is_restart: bool) {
        let from = self.now();
        self.events().interruptions.push(Interruption {
            daemon,
            from,
            is_restart,
        });
    }

    /// Records that a change of the configuration was acknowledged.
    pub fn record_acknowledgement(&self, order: usize) {
        let at = self.now();
        self.events().orders[order].acknowledged.get_or_insert(at);
        self.acknowledgements.notify_waiters();
    }

    /// Waits until a change of the configuration is acknowledged.
    pub async fn next_acknowledgement(&self) {
        self.acknowledgements.notified().await;
    }

    /// Records a request before it is sent; returns its number.
    pub fn record_request(&self, request: NewRequest) -> usize {
        let sent = self.now();
        let requests = &mut self.events().requests;
        requests.push(Request {
            id: request.id,
            kind: request.kind,
            daemon: request.daemon,
            sent,
            time_limit: request.time_limit,
            body_sent_at: None,
            parent_id: request.parent_id,
            ended: None,
        });
        requests.len() - 1
    }

    /// What a request's body calls when its last byte is passed to the connection.
    pub(crate) fn on_body_sent(&self, number: usize) -> OnSent {
        let history = self.clone();
        Box::new(move || history.record_body_sent(number))
    }

    /// Records that the last byte of a request was sent.
    pub fn record_body_sent(&self, number: usize) {
        let at = self.now();
        self.events().requests[number].body_sent_at = Some(at);
    }

    /// Records the end of a request.
    pub fn record_end(&self, number: usize, end: End) {
        let at = self.now();
        self.events().requests[number].ended = Some((at, end));
    }

    /// Records that an endpoint begins to run a request; returns the number of the run.
    pub fn record_run(&self, run: Run) -> usize {
        let runs = &mut self.events().runs;
        runs.push(run);
        runs.len() - 1
    }

    /// Records the end of a run, unless one is recorded already.
    pub fn record_run_end(&self, number: usize, end: RunEnd) {
        let at = self.now();
        self.events().runs[number].ended.get_or_insert((at, end));
    }
}
