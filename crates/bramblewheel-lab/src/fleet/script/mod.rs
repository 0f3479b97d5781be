//! Fault scripts: timed actions on the processes of a fleet.

mod parse;
#[cfg(test)]
mod tests;

pub use parse::{ScriptError, parse};

use std::time::Duration;

/// A fault script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Time for which the callers send.
    pub duration: Duration,
    /// Requests per second over all callers.
    pub rate: f64,
    /// Share of the run-once requests that several callers send at the same time.
    pub double_share: f64,
    /// Steps of the script.
    pub steps: Vec<Step>,
}

/// One step, which may be repeated.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Line of the step's action in the script, from 1.
    pub line: usize,
    /// Time of the first execution after the start of the callers.
    pub at: Duration,
    /// Number of executions.
    pub times: u32,
    /// Interval between executions.
    pub every: Duration,
    /// Action to carry out.
    pub action: Action,
}

/// Action of a step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Kills a process with SIGKILL and starts it again after a pause.
    Kill {
        /// Process concerned.
        target: Target,
        /// Time until the restart.
        down_for: Duration,
    },
    /// Planned stop of a process, which is started again after a pause.
    Stop {
        /// Process concerned.
        target: Target,
        /// Time until the restart.
        down_for: Duration,
    },
    /// Suspends a process with SIGSTOP and resumes it with SIGCONT.
    Freeze {
        /// Process concerned.
        target: Target,
        /// Time until it is resumed.
        frozen_for: Duration,
    },
    /// Makes an endpoint report that it is leaving, and later that it has returned.
    Leave {
        /// Endpoint concerned.
        target: Target,
        /// Time until it returns.
        away_for: Duration,
    },
    /// Slows down the matching endpoints for some time.
    Slow {
        /// Service or endpoint concerned.
        target: Target,
        /// Factor by which service times are multiplied.
        factor: f64,
        /// Time until the usual speed is restored.
        slow_for: Duration,
    },
    /// Kills a control replica with SIGKILL, deletes its data and replaces it with a new replica.
    Replace {
        /// Replica concerned.
        target: Target,
    },
    /// Planned stop and restart of all processes except the callers, one after the other.
    RollingRestart {
        /// Time between the restart of one process and the stop of the next.
        pause: Duration,
    },
    /// Changes the rate of requests for some time.
    Surge {
        /// Requests per second over all callers.
        rate: f64,
        /// Time until the usual rate is restored.
        surge_for: Duration,
    },
}

/// Target of a step, written as `ROLE:WHICH`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Role of the process.
    pub role: Role,
    /// Selects among the processes of the role.
    pub selector: Selector,
}

/// Roles of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Control replica.
    Replica,
    /// Daemon of an endpoint.
    Daemon,
    /// Gateway.
    Gateway,
    /// Endpoint.
    Endpoint,
}

/// Selects processes of a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selector {
    /// `any`: one process chosen at random.
    Any,
    /// `leader`: the control replica that leads.
    Leader,
    /// `follower`: a control replica that does not lead.
    Follower,
    /// Name of a process, endpoint, zone or service: one of the processes that match it.
    Named(String),
}
