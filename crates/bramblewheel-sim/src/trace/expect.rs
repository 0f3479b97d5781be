//! Expectations of a trace beyond the outcomes of single sends.

use super::error::Difference;
use super::model::{Request, Trace};
use super::outcome::StatedOutcome;
use super::promises;
use super::run_outcomes::RunOutcomes;
use crate::requests::FlowIndex;
use bramblewheel_types::{Criticality, Timestamp};
use std::time::Duration;

/// Expectations of a trace beyond the outcomes of single sends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expect {
    /// No run-once operation runs twice.
    pub operations_run_once: bool,
    /// No request causes more extra runs than the bundle's retry tokens.
    pub retries_within_bound: bool,
    /// No endpoint runs a send that is answered `not-run`.
    pub not_run_is_true: bool,
    /// Least numbers of requests completed within their deadlines.
    pub completed: Vec<Completed>,
    /// Times to recover after a disturbance.
    pub recovery: Vec<Recovery>,
}

/// Least number of requests completed within their deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completed {
    /// Which requests count.
    pub subject: Subject,
    /// Least number of them.
    pub at_least: u64,
}

/// The requests that an expectation counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// All requests.
    All,
    /// Requests of one flow.
    Flow(FlowIndex),
    /// Requests of one class.
    Class(Criticality),
}

/// Least share of the requests first sent at or after `from + within` that is completed within the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// End of the disturbance.
    pub from: Timestamp,
    /// Time to recover.
    pub within: Duration,
    /// Least share of completed requests, in percent.
    pub at_least_percent: u64,
}

/// A request with its result in the replay.
struct JudgedRequest<'a> {
    request: &'a Request,
    completed_in_time: bool,
}

/// Returns the expectations that the replay did not meet.
pub(super) fn check(trace: &Trace, outcomes: &RunOutcomes) -> Vec<Difference> {
    let judged = judge(trace, outcomes);
    let expect = &trace.head.expect;
    let mut differences = promises::check(trace, outcomes);
    let completed = expect.completed.iter();
    differences.extend(completed.filter_map(|stated| check_completed(trace, &judged, stated)));
    let recovery = expect.recovery.iter();
    differences.extend(recovery.filter_map(|stated| check_recovery(&judged, stated)));
    differences
}

/// Number of requests completed within their deadlines.
pub(super) fn count_completed(trace: &Trace, outcomes: &RunOutcomes) -> usize {
    let judged = judge(trace, outcomes);
    judged
        .iter()
        .filter(|judged| judged.completed_in_time)
        .count()
}

fn judge<'a>(trace: &'a Trace, outcomes: &RunOutcomes) -> Vec<JudgedRequest<'a>> {
    let mut judged: Vec<JudgedRequest<'a>> = trace
        .requests
        .iter()
        .map(|request| JudgedRequest {
            request,
            completed_in_time: false,
        })
        .collect();
    for (id, position, _) in trace.sends() {
        let request = &trace.requests[position];
        let Some(end) = outcomes.sends.get(&id) else {
            continue;
        };
        let took = end.at.since(request.sends[0].at);
        let in_time = took <= trace.deadline(request);
        judged[position].completed_in_time |= in_time && end.outcome == StatedOutcome::Completed;
    }
    judged
}

fn check_completed(
    trace: &Trace,
    judged: &[JudgedRequest<'_>],
    stated: &Completed,
) -> Option<Difference> {
    let counts = |request: &Request| match stated.subject {
        Subject::All => true,
        Subject::Flow(flow) => request.flow == flow,
        Subject::Class(class) => trace.criticality(request) == class,
    };
    let completed = judged
        .iter()
        .filter(|judged| judged.completed_in_time && counts(judged.request));
    let replayed = completed.count() as u64;
    (replayed < stated.at_least).then(|| Difference::Completed {
        subject: stated.subject.describe(trace),
        stated: stated.at_least,
        replayed,
    })
}

impl Subject {
    fn describe(self, trace: &Trace) -> String {
        match self {
            Self::All => "all requests".to_owned(),
            Self::Flow(flow) => {
                let flow = &trace.head.deployment.value.flows[flow.0];
                format!("flow {}", flow.model.name)
            }
            Self::Class(class) => format!("class {class}"),
        }
    }
}

fn check_recovery(judged: &[JudgedRequest<'_>], stated: &Recovery) -> Option<Difference> {
    let recovered = stated.from + stated.within;
    let is_after_recovery = |judged: &&JudgedRequest<'_>| judged.request.sends[0].at >= recovered;
    let all = judged.iter().filter(is_after_recovery).count() as u64;
    let completed = judged
        .iter()
        .filter(is_after_recovery)
        .filter(|judged| judged.completed_in_time)
        .count() as u64;
    let first_failed = judged
        .iter()
        .filter(is_after_recovery)
        .find(|judged| !judged.completed_in_time)?;
    let is_met = completed * 100 >= all * stated.at_least_percent;
    (!is_met).then(|| Difference::Recovery {
        from_ms: stated.from.as_millis(),
        within_ms: u64::try_from(stated.within.as_millis()).unwrap_or(u64::MAX),
        stated: stated.at_least_percent,
        completed,
        all,
        request: first_failed.request.id,
    })
}
