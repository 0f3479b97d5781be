//! Checks that each send is answered once: not twice, and at all if its gateway was available.

use super::facts::{CallerOutcome, Facts};
use super::{Evidence, Promise, Violation};

pub(super) fn check(facts: &Facts, evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (index, send) in &facts.duplicate_answers {
        let message = format!("send {} was answered twice", send.0);
        violations.push(violation(message, vec![*index]));
    }
    let last = evidence.history.last().map(|entry| entry.at);
    for (id, send) in &facts.sends {
        let until = send.end.as_ref().map(|end| end.at).or(last);
        let until = until.unwrap_or(send.at);
        let has_answer = send
            .end
            .as_ref()
            .is_some_and(|end| end.outcome != CallerOutcome::Nothing);
        let is_excused = facts.was_unavailable(send.to, send.at, until)
            || facts.zone_cuts.overlap(send.at, until);
        if !has_answer && !is_excused {
            let message = format!("send {} was never answered", id.0);
            violations.push(violation(message, vec![send.index]));
        }
    }
    violations
}

fn violation(message: String, evidence: Vec<usize>) -> Violation {
    Violation {
        promise: Promise::AnsweredOnce,
        message,
        evidence,
    }
}
