//! Fault scripts: what is done to a fleet, and when.

mod parse;
#[cfg(test)]
mod tests;

pub use parse::{ScriptError, parse};

use std::time::Duration;

/// A script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// How long the callers send.
    pub duration: Duration,
    /// Requests a second, over all callers.
    pub rate: f64,
    /// Share of the run-once requests that several callers send at the same time.
    pub double_share: f64,
    /// Steps.
    pub steps: Vec<Step>,
}

/// One step, which may come several times.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Line of the script.
    pub line: usize,
    /// When it comes first, after the callers began.
    pub at: Duration,
    /// Times that it comes.
    pub times: u32,
    /// Time between two.
    pub every: Duration,
    /// What is done.
    pub action: Action,
}

/// What a step does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// SIGKILL, and a new start after a while.
    Kill {
        /// Whom.
        target: Target,
        /// Time until the new start.
        down_for: Duration,
    },
    /// Planned stop, and a new start after a while.
    Stop {
        /// Whom.
        target: Target,
        /// Time until the new start.
        down_for: Duration,
    },
    /// SIGSTOP, and SIGCONT after a while.
    Freeze {
        /// Whom.
        target: Target,
        /// Time until it goes on.
        frozen_for: Duration,
    },
    /// The endpoint says that it is leaving, and after a while that it is back.
    Leave {
        /// Which endpoint.
        target: Target,
        /// Time until it is back.
        away_for: Duration,
    },
    /// The endpoints of a service work more slowly for a while.
    Slow {
        /// Which service or endpoint.
        target: Target,
        /// Times as long as usual.
        factor: f64,
        /// Time until they work as usual.
        slow_for: Duration,
    },
    /// SIGKILL of a control replica; its folder is wiped and a new one takes its place.
    Replace {
        /// Which replica.
        target: Target,
    },
    /// Planned stop and new start of everything but the callers, one after the other.
    RollingRestart {
        /// Time between the new start of one and the stop of the next.
        pause: Duration,
    },
    /// Another rate of requests for a while.
    Surge {
        /// Requests a second, over all callers.
        rate: f64,
        /// Time until the usual rate.
        surge_for: Duration,
    },
}

/// Whom a step concerns, as `ROLE:WHICH`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Role.
    pub role: Role,
    /// Which of the role.
    pub which: Which,
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

/// Which processes of a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Which {
    /// `any`: one, drawn at random.
    Any,
    /// `leader`: the control replica that leads.
    Leader,
    /// `follower`: a control replica that does not lead.
    Follower,
    /// A name of a process, an endpoint, a zone or a service: one of those that it fits.
    Named(String),
}
