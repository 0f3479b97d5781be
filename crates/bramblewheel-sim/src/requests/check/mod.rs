//! Checkers of the promises on requests.
//!
//! They know nothing of how daemons decide: they read what endpoints ran, what callers were told
//! and, for the order in which calls are refused, what crossed the wire between daemons.

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

/// What a checker holds against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// What was told not to have run ran nowhere.
    NotRunTruth,
    /// An operation runs at most once.
    RunAtMostOnce,
    /// Extra runs of one original request stay within the bound.
    RetryBound,
    /// Who asks gets the whole answer to its own question.
    OwnWholeAnswer,
    /// Nothing is shed while something less important waits at the same daemon.
    PriorityKept,
    /// The most important classes are served best.
    ImportantLast,
    /// No session ends but by its caller's wish.
    SessionsKept,
    /// A leaving endpoint gets no new work after a while.
    LeavingLeftAlone,
    /// A planned stop interrupts nothing that is in progress.
    StopInterruptsNothing,
    /// A final answer is given at once.
    AnsweredAtOnce,
    /// Each send is answered once.
    AnsweredOnce,
    /// The run shows what it is meant to show.
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
            Self::ImportantLast => "important-shed-last",
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
    /// What happened instead.
    pub message: String,
    /// Positions in the history that show it.
    pub evidence: Vec<usize>,
}

/// Bounds that a run is held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Time after which a leaving endpoint gets no new work.
    pub leave_within: Duration,
    /// Time from the last report about a request until its caller is answered.
    pub answer_within: Duration,
    /// Longest time that a planned stop takes.
    pub stop_within: Duration,
    /// Whether classes are compared: only for runs in which they share their endpoints.
    pub compare_classes: bool,
}

/// What a run left behind.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// All that happened.
    pub history: &'a [Entry<Record>],
    /// The deployment.
    pub topology: &'a Topology,
    /// The bundle with which the run began.
    pub bundle: &'a Bundle,
    /// Bounds that the run is held to.
    pub bounds: Bounds,
}

/// All broken promises, in the order of [`Promise`].
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
