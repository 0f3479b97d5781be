//! Records of what endpoints state in their answers, and of what excuses a daemon from obeying it.

use super::Timestamp;
use crate::endpoint::{LimitedTime, Statement};

/// Rate limits that one start of an endpoint states.
#[derive(Clone, Debug)]
pub struct StatedLimits {
    /// Endpoint.
    pub endpoint: String,
    /// Start time of the endpoint, in Unix milliseconds.
    pub started: u64,
    /// Daemon beside it.
    pub daemon: usize,
    /// When it states which limit, in order.
    pub times: Vec<LimitedTime>,
}

/// An answer with a statement of its endpoint.
#[derive(Clone, Debug)]
pub struct StatedAnswer {
    /// Endpoint.
    pub endpoint: String,
    /// Start time of the endpoint, in Unix milliseconds.
    pub started: u64,
    /// Id of the answered request.
    pub id: String,
    /// When it was written.
    pub at: Timestamp,
    /// The statement.
    pub statement: Statement,
}

/// A restart, suspension or cut of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct Interruption {
    /// Daemon.
    pub daemon: usize,
    /// When it began.
    pub from: Timestamp,
    /// Whether the process ended or started.
    pub is_restart: bool,
}
