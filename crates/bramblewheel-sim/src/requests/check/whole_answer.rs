//! Checks that each caller gets the whole answer to its own request, or none.

use super::super::content::Content;
use super::facts::{CallerOutcome, Facts};
use super::{Promise, Violation};
use bramblewheel_types::Outcome;

pub(super) fn check(facts: &Facts) -> Vec<Violation> {
    let mut violations = Vec::new();
    for send in facts.sends.values() {
        let Some(end) = &send.end else {
            continue;
        };
        let CallerOutcome::Answer(outcome, answered) = end.outcome else {
            continue;
        };
        let is_own = |content| match content {
            Content::Root(other) => facts
                .sends
                .get(&other)
                .is_some_and(|other| other.person == send.person),
            Content::SubCall { .. } => false,
        };
        if let Some(message) = describe_fault(facts, outcome, answered, is_own) {
            violations.push(violation(message, vec![send.index, end.index]));
        }
    }
    for sub_call in &facts.sub_calls {
        let is_own = |content| content == sub_call.content;
        if let Some(message) = describe_fault(facts, sub_call.outcome, sub_call.answered, is_own) {
            violations.push(violation(message, vec![sub_call.index]));
        }
    }
    violations
}

/// Describes the fault of an answer, if it has one.
fn describe_fault(
    facts: &Facts,
    outcome: Outcome,
    answered: Option<Content>,
    is_own: impl Fn(Content) -> bool,
) -> Option<String> {
    let Some(content) = answered else {
        let is_missing = outcome == Outcome::Completed;
        return is_missing.then(|| "a completed call has no answer".to_owned());
    };
    if !is_own(content) {
        return Some(format!("got the answer to {content:?}"));
    }
    let has_succeeded = facts
        .runs_of(content)
        .any(|run| matches!(run.ended, Some((_, true))));
    let is_unfounded = outcome == Outcome::Completed && !has_succeeded;
    is_unfounded.then(|| format!("no endpoint completed {content:?}"))
}

fn violation(message: String, evidence: Vec<usize>) -> Violation {
    Violation {
        promise: Promise::OwnWholeAnswer,
        message,
        evidence,
    }
}
