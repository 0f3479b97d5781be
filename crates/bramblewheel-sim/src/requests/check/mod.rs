//! Checkers of the promises about requests.
//!
//! They don't depend on how daemons decide: they read the runs at endpoints, the answers to callers
//! and, for the order in which calls are refused, the traffic between daemons.

mod facts;
mod leaving;
mod one_answer;
mod outcome_truth;
mod planned_stop;
mod priority;
mod prompt;
mod retry_bound;
mod run_once;
mod sessions;
mod whole_answer;

use super::record::Record;
use super::topology::Topology;
use crate::kernel::Entry;
use bramblewheel_bundle::Bundle;
use facts::Facts;
use std::fmt;
use std::time::Duration;

/// A property that a checker verifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// A request or sub-call reported as not run did not run anywhere.
    NotRunTruth,
    /// An operation runs at most once.
    RunAtMostOnce,
    /// Extra runs of one original request stay within the bound.
    RetryBound,
    /// Each caller gets the whole answer to its own request, or none.
    OwnWholeAnswer,
    /// No attempt is shed while a less important one waits at the same daemon.
    PriorityKept,
    /// A class is not served worse than a less important one.
    ImportantShedLast,
    /// Every daemon accepts every valid session.
    SessionsKept,
    /// A leaving endpoint begins no runs after a bounded time.
    LeavingLeftAlone,
    /// A planned stop interrupts no request in progress, and completes.
    StopInterruptsNothing,
    /// A final outcome is reported without delay.
    AnsweredAtOnce,
    /// Each send is answered exactly once.
    AnsweredOnce,
    /// The run meets the outcomes that its scenario requires.
    Meaningful,
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotRunTruth => "not-run-truth",
            Self::RunAtMostOnce => "run-at-most-once",
            Self::RetryBound => "retry-bound",
            Self::OwnWholeAnswer => "own-whole-answer",
            Self::PriorityKept => "priority-kept",
            Self::ImportantShedLast => "important-shed-last",
            Self::SessionsKept => "sessions-kept",
            Self::LeavingLeftAlone => "leaving-left-alone",
            Self::StopInterruptsNothing => "stop-interrupts-nothing",
            Self::AnsweredAtOnce => "answered-at-once",
            Self::AnsweredOnce => "answered-once",
            Self::Meaningful => "meaningful",
        })
    }
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// Description of the violation.
    pub message: String,
    /// Indices of the history entries that show it.
    pub evidence: Vec<usize>,
}

/// Bounds that a run is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Time after which a leaving endpoint must not begin runs.
    pub leave_within: Duration,
    /// Maximum time from the last report on a request until its caller is answered.
    pub answer_within: Duration,
    /// Maximum duration of a planned stop.
    pub stop_within: Duration,
    /// Whether classes are compared; meaningful only if they share endpoints.
    pub compare_classes: bool,
}

/// Inputs of the checkers.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// History of the run.
    pub history: &'a [Entry<Record>],
    /// The deployment.
    pub topology: &'a Topology,
    /// The bundle with which the run began.
    pub bundle: &'a Bundle,
    /// Bounds that the run is checked against.
    pub bounds: Bounds,
}

/// Returns all violations, in the order of [`Promise`].
pub fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let facts = Facts::new(evidence.history);
    let mut violations = Vec::new();
    violations.extend(outcome_truth::check(&facts));
    violations.extend(run_once::check(&facts));
    violations.extend(retry_bound::check(&facts, evidence.bundle));
    violations.extend(whole_answer::check(&facts));
    violations.extend(priority::check(evidence));
    if evidence.bounds.compare_classes {
        violations.extend(priority::check_classes(&facts, evidence));
    }
    violations.extend(sessions::check(evidence.history));
    violations.extend(leaving::check(&facts, evidence));
    violations.extend(planned_stop::check(&facts, evidence));
    violations.extend(prompt::check(&facts, evidence));
    violations.extend(one_answer::check(&facts, evidence));
    violations
}
