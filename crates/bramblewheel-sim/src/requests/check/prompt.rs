//! Checks that a final outcome is reported without delay instead of at the deadline.
//!
//! The last report on a request is the last end of a run, answer of a daemon to an attempt, or refused
//! connection for an attempt in its call tree. Unknown outcomes are not checked, since they wait for a
//! report that never arrives.

use super::super::record::Record;
use super::facts::{CallerOutcome, Facts};
use super::{Evidence, Promise, Violation};
use crate::kernel::Fact;
use bramblewheel_types::{Outcome, RequestId, Timestamp};
use std::collections::BTreeMap;

pub(super) fn check(facts: &Facts, evidence: &Evidence<'_>) -> Vec<Violation> {
    let reports = reports(facts, evidence);
    let mut violations = Vec::new();
    for send in facts.sends.values() {
        let Some(end) = &send.end else {
            continue;
        };
        let is_final =
            matches!(end.outcome, CallerOutcome::Answer(outcome, _) if outcome != Outcome::Unknown);
        if !is_final || facts.was_unavailable(send.to, send.at, end.at) {
            continue;
        }
        let of_request = reports.get(&send.request).into_iter().flatten();
        let before = of_request.filter(|at| **at <= end.at);
        let last = before.copied().max().unwrap_or(send.at).max(send.at);
        let waited = end.at.since(last);
        if waited > evidence.bounds.answer_within {
            violations.push(Violation {
                promise: Promise::AnsweredAtOnce,
                message: format!(
                    "request {} was answered {waited:?} after the last report",
                    send.request
                ),
                evidence: vec![send.index, end.index],
            });
        }
    }
    violations
}

/// Times of the reports on each request.
fn reports(facts: &Facts, evidence: &Evidence<'_>) -> BTreeMap<RequestId, Vec<Timestamp>> {
    let mut reports: BTreeMap<RequestId, Vec<Timestamp>> = BTreeMap::new();
    let mut attempts = BTreeMap::new();
    for entry in evidence.history {
        match &entry.fact {
            Fact::Domain(Record::Offered {
                attempt, request, ..
            }) => {
                attempts.insert(*attempt, *request);
            }
            Fact::Domain(Record::Replied { attempt, .. }) => {
                if let Some(request) = attempts.get(attempt) {
                    reports.entry(*request).or_default().push(entry.at);
                }
            }
            Fact::Domain(Record::ConnectionRefused { request }) => {
                reports.entry(*request).or_default().push(entry.at);
            }
            _ => {}
        }
    }
    for run in facts.runs.values() {
        if let Some((at, _)) = run.ended {
            reports.entry(run.request).or_default().push(at);
        }
    }
    reports
}
