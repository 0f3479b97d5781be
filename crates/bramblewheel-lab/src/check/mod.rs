//! Checkers: each reads the journals of a run and states whether a promise was kept.

mod history;
mod leaving;
mod not_run;
mod own_answer;
mod planned_stop;
mod priority;
mod retry_bound;
mod run_once;
mod sessions;
#[cfg(test)]
mod tests;
mod version;

pub use history::{History, Send};

use crate::journal::Record;
use std::time::Duration;

/// What the checkers need to know of the run.
#[derive(Clone, Copy, Debug)]
pub struct CheckLimits {
    /// Extra attempts that one request may cause: `limits.retry_tokens` of the bundle.
    pub retry_tokens: u32,
    /// Time after which a leaving endpoint may receive nothing new.
    pub leaving_bound: Duration,
}

/// What a checker found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the checker.
    pub name: &'static str,
    /// Cases that it looked at; with none, it has shown nothing.
    pub cases: u64,
    /// What contradicts the promise.
    pub violations: Vec<String>,
}

impl Finding {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            cases: 0,
            violations: Vec::new(),
        }
    }

    fn case(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        self.cases += 1;
        if !holds {
            self.violations.push(violation());
        }
    }

    /// Whether nothing contradicts the promise.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Runs all checkers over the records of a run, which must be in the order of time.
pub fn check_all(records: &[Record], limits: CheckLimits) -> Vec<Finding> {
    let history = History::new(records);
    vec![
        not_run::check(&history),
        run_once::check(&history),
        own_answer::check(&history),
        retry_bound::check(&history, limits.retry_tokens),
        planned_stop::check_requests(&history),
        planned_stop::check_exits(&history),
        leaving::check(&history, limits.leaving_bound),
        priority::check(&history),
        sessions::check(&history),
        version::check(&history),
    ]
}
