//! Checks that every publish and repair is answered at the end, and that at least as many succeed as the scenario
//! states.

use super::{Evidence, Promise, Violation};
use crate::control::record::{ControlRecord, PublishAnswer};
use std::collections::BTreeSet;

/// Completed and open work of a run.
#[derive(Default)]
struct Progress {
    has_bootstrapped: bool,
    accepted: BTreeSet<crate::control::record::BundleName>,
    repairs_begun: u64,
    repairs: u64,
    open_publishes: Option<u64>,
    refused: Vec<(String, usize)>,
}

impl Progress {
    fn read(evidence: Evidence<'_>) -> Self {
        let mut progress = Self::default();
        for line in evidence.records() {
            match line.record {
                ControlRecord::Bootstrapped => progress.has_bootstrapped = true,
                ControlRecord::RepairBegun { .. } => progress.repairs_begun += 1,
                ControlRecord::RepairDone { .. } => progress.repairs += 1,
                ControlRecord::Ended { open_publishes } => {
                    progress.open_publishes = Some(*open_publishes);
                }
                ControlRecord::PublishAnswered { bundle, answer, .. } => match answer {
                    PublishAnswer::Accepted => {
                        progress.accepted.insert(*bundle);
                    }
                    PublishAnswer::Refused(reason) => {
                        progress.refused.push((reason.clone(), line.index));
                    }
                    PublishAnswer::Conflict(_) | PublishAnswer::Outdated(_) => {}
                },
                _ => {}
            }
        }
        progress
    }
}

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let progress = Progress::read(evidence);
    let outcomes = evidence.outcomes;
    let mut problems = Vec::new();
    if !progress.has_bootstrapped {
        problems.push((
            "the control group was never bootstrapped".to_owned(),
            Vec::new(),
        ));
    }
    let accepted = progress.accepted.len() as u64;
    if accepted < outcomes.min_accepted {
        let message = format!("{accepted} of {} bundles accepted", outcomes.min_accepted);
        problems.push((message, Vec::new()));
    }
    if progress.repairs < outcomes.min_repairs {
        let message = format!("{} of {} repairs", progress.repairs, outcomes.min_repairs);
        problems.push((message, Vec::new()));
    }
    if progress.repairs < progress.repairs_begun {
        let message = format!(
            "{} of {} repairs finished",
            progress.repairs, progress.repairs_begun
        );
        problems.push((message, Vec::new()));
    }
    if progress.open_publishes != Some(0) {
        let message = format!("publishes without an answer: {:?}", progress.open_publishes);
        problems.push((message, Vec::new()));
    }
    for (reason, index) in progress.refused {
        problems.push((
            format!("a valid publish was refused: {reason}"),
            vec![index],
        ));
    }
    let violations = problems.into_iter().map(|(message, evidence)| Violation {
        promise: Promise::WorkIsDone,
        message,
        evidence,
    });
    violations.collect()
}
