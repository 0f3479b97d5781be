//! Everything asked for is answered in the end, and as much as the scenario states.

use super::{Evidence, Promise, Violation};
use crate::control::record::{ControlRecord, PublishAnswer};
use std::collections::BTreeSet;

/// What was done in a run.
#[derive(Default)]
struct Done {
    has_bootstrapped: bool,
    accepted: BTreeSet<crate::control::record::BundleName>,
    repairs_begun: u64,
    repairs: u64,
    open_publishes: Option<u64>,
    refused: Vec<(String, usize)>,
}

impl Done {
    fn read(evidence: Evidence<'_>) -> Self {
        let mut done = Self::default();
        for line in evidence.records() {
            match line.record {
                ControlRecord::Bootstrapped => done.has_bootstrapped = true,
                ControlRecord::RepairBegun { .. } => done.repairs_begun += 1,
                ControlRecord::RepairDone { .. } => done.repairs += 1,
                ControlRecord::Ended { open_publishes } => {
                    done.open_publishes = Some(*open_publishes);
                }
                ControlRecord::PublishAnswered { bundle, answer, .. } => match answer {
                    PublishAnswer::Accepted => {
                        done.accepted.insert(*bundle);
                    }
                    PublishAnswer::Refused(reason) => {
                        done.refused.push((reason.clone(), line.index));
                    }
                    PublishAnswer::Conflict(_) | PublishAnswer::Outdated(_) => {}
                },
                _ => {}
            }
        }
        done
    }
}

pub(super) fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let done = Done::read(evidence);
    let outcomes = evidence.outcomes;
    let mut found = Vec::new();
    if !done.has_bootstrapped {
        found.push(("the group was never made".to_owned(), Vec::new()));
    }
    let accepted = done.accepted.len() as u64;
    if accepted < outcomes.min_accepted {
        let message = format!("{accepted} of {} bundles accepted", outcomes.min_accepted);
        found.push((message, Vec::new()));
    }
    if done.repairs < outcomes.min_repairs {
        let message = format!("{} of {} repairs", done.repairs, outcomes.min_repairs);
        found.push((message, Vec::new()));
    }
    if done.repairs < done.repairs_begun {
        let message = format!(
            "{} of {} repairs finished",
            done.repairs, done.repairs_begun
        );
        found.push((message, Vec::new()));
    }
    if done.open_publishes != Some(0) {
        let message = format!("publishes without an answer: {:?}", done.open_publishes);
        found.push((message, Vec::new()));
    }
    for (reason, index) in done.refused {
        found.push((format!("a right publish is refused: {reason}"), vec![index]));
    }
    let violations = found.into_iter().map(|(message, evidence)| Violation {
        promise: Promise::WorkIsDone,
        message,
        evidence,
    });
    violations.collect()
}
