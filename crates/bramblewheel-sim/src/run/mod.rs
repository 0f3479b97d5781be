//! Runs a scenario with one seed and reports the result. Uses no threads and no files.

mod excerpt;
mod report;

pub use report::{Figures, SeedReport, ViolationReport};

use crate::control::{self, ControlRun, ControlScenario, check};
use crate::requests::scenario::{self as requests, RequestRun, RequestScenario};
use crate::scenario::{Body, Scenario};

/// Runs a scenario with one seed.
pub fn run_seed(scenario: &Scenario, seed: u64) -> SeedReport {
    match &scenario.body {
        Body::Control(body) => run_control(body, seed),
        Body::Overload(body) => body.run(seed),
        Body::Requests(body) => run_requests(body, seed),
    }
}

fn run_control(scenario: &ControlScenario, seed: u64) -> SeedReport {
    let run = control::run(scenario, seed, None);
    report_control(scenario, seed, &run)
}

fn run_requests(scenario: &RequestScenario, seed: u64) -> SeedReport {
    report_requests(seed, requests::run(scenario, seed, None))
}

/// Reports a run of kind `requests`, whose violations are already known.
pub fn report_requests(seed: u64, run: RequestRun) -> SeedReport {
    let violations = run.violations.iter().map(|violation| ViolationReport {
        promise: violation.promise.to_string(),
        message: violation.message.clone(),
        excerpt: excerpt::excerpt_of_requests(&run.history, &violation.evidence),
    });
    SeedReport {
        seed,
        digest: run.digest,
        violations: violations.collect(),
        figures: Figures(run.figures),
    }
}

/// Checks and reports a run of kind `control`.
pub fn report_control(scenario: &ControlScenario, seed: u64, run: &ControlRun) -> SeedReport {
    let evidence = check::Evidence {
        history: &run.history,
        roles: &run.roles,
        outcomes: &scenario.outcomes,
    };
    let violations = check::check(evidence).into_iter();
    let violations = violations.map(|violation| ViolationReport {
        promise: violation.promise.to_string(),
        message: violation.message,
        excerpt: excerpt::excerpt(&run.history, &run.roles, &violation.evidence),
    });
    SeedReport {
        seed,
        digest: run.digest,
        violations: violations.collect(),
        figures: Figures::of_control(run, &check::delays(evidence)),
    }
}
