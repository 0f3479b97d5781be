//! Checkers, each of which verifies one promise on the journals of a run.

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

/// Limits that the checkers apply to a run.
#[derive(Clone, Copy, Debug)]
pub struct CheckLimits {
    /// Largest number of extra attempts per request: `limits.retry_tokens` of the bundle.
    pub retry_tokens: u32,
    /// Time after which a leaving endpoint must receive no new work.
    pub leaving_bound: Duration,
}

/// Result of a checker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Name of the checker.
    pub name: &'static str,
    /// Number of cases checked; with 0 the result says nothing.
    pub cases: u64,
    /// Descriptions of the cases that violate the promise.
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

    fn add_case(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        self.cases += 1;
        if !holds {
            self.violations.push(violation());
        }
    }

    /// Whether there are no violations.
    pub fn passed(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Runs all checkers on the records of a run, which must be sorted by time.
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
