//! Calls and runs of a call tree, and their events.

use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::running_requests::RunningId;

pub type CallId = usize;
pub type RunId = usize;

/// One request of a caller or of a run.
#[derive(Clone, Debug)]
pub struct Call {
    pub service: usize,
    /// Daemon that it was made at.
    pub daemon: usize,
    pub parent: Option<RunId>,
    pub makes_calls: bool,
    pub deadline: u64,
    pub arrivals: u32,
    /// Whether it is made by a run that is a retry, or downstream of one.
    pub is_downstream_of_retry: bool,
    /// Retried share that its daemon infers.
    pub retried_share: f64,
}

/// One run of a request at an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    pub call: CallId,
    /// Daemon beside the endpoint.
    pub daemon: usize,
    /// Incarnation of the daemon at its start.
    pub incarnation: u32,
    pub is_retry: bool,
    pub running: RunningId,
    pub calls_made: u32,
    pub calls_open: u32,
    pub has_failed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    RootArrives(usize),
    Sent(CallId),
    Refused(CallId),
    WorkDone(RunId),
    Restart,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    Rejected,
    Lost,
    Failed,
}

/// Class of the requests of a service that make calls, or of those that make none.
pub fn class_of(service: usize, makes_calls: bool) -> RequestClass {
    RequestClass(service as u64 * 2 + u64::from(makes_calls))
}
