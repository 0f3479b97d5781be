//! What a trace states beside the outcomes of single sends.

use super::ends::Ends;
use super::error::Difference;
use super::model::{Request, Trace};
use super::outcome::StatedOutcome;
use super::promises;
use crate::requests::FlowIndex;
use bramblewheel_types::{Criticality, Timestamp};
use std::time::Duration;

/// What a trace states beside the outcomes of single sends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expect {
    /// No run-once operation runs twice.
    pub operations_run_once: bool,
    /// No request causes more extra runs than the bundle's retry tokens.
    pub retries_within_bound: bool,
    /// Nothing runs for a send that is told `not-run`.
    pub not_run_is_true: bool,
    /// How many requests are completed within their deadlines.
    pub completed: Vec<Completed>,
    /// How soon requests are served again.
    pub recovery: Vec<Recovery>,
}

/// At least so many requests are completed within their deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completed {
    /// Which requests count.
    pub subject: Subject,
    /// How many.
    pub at_least: u64,
}

/// Which requests count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// All.
    All,
    /// Those of a flow.
    Flow(FlowIndex),
    /// Those of a class.
    Class(Criticality),
}

/// Of the requests first sent from `from + within` on, a share is completed within its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// End of what had to be recovered from.
    pub from: Timestamp,
    /// Time to recover.
    pub within: Duration,
    /// Share in percent.
    pub at_least_percent: u64,
}

/// A request with whether it was completed in time.
struct Judged<'a> {
    request: &'a Request,
    is_good: bool,
}

/// All statements that the replay did not bring.
pub(super) fn check(trace: &Trace, ends: &Ends) -> Vec<Difference> {
    let judged = judge(trace, ends);
    let expect = &trace.head.expect;
    let mut differences = promises::check(trace, ends);
    let completed = expect.completed.iter();
    differences.extend(completed.filter_map(|stated| check_completed(trace, &judged, stated)));
    let recovery = expect.recovery.iter();
    differences.extend(recovery.filter_map(|stated| check_recovery(&judged, stated)));
    differences
}

/// Requests completed within their deadlines.
pub(super) fn count_completed(trace: &Trace, ends: &Ends) -> usize {
    let judged = judge(trace, ends);
    judged.iter().filter(|judged| judged.is_good).count()
}

fn judge<'a>(trace: &'a Trace, ends: &Ends) -> Vec<Judged<'a>> {
    let mut judged: Vec<Judged<'a>> = trace
        .requests
        .iter()
        .map(|request| Judged {
            request,
            is_good: false,
        })
        .collect();
    for (id, position, _) in trace.sends() {
        let request = &trace.requests[position];
        let Some(end) = ends.sends.get(&id) else {
            continue;
        };
        let took = end.at.since(request.sends[0].at);
        let in_time = took <= trace.deadline(request);
        judged[position].is_good |= in_time && end.outcome == StatedOutcome::Completed;
    }
    judged
}

fn check_completed(trace: &Trace, judged: &[Judged<'_>], stated: &Completed) -> Option<Difference> {
    let counts = |request: &Request| match stated.subject {
        Subject::All => true,
        Subject::Flow(flow) => request.flow == flow,
        Subject::Class(class) => trace.criticality(request) == class,
    };
    let good = judged.iter().filter(|j| j.is_good && counts(j.request));
    let replayed = good.count() as u64;
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

fn check_recovery(judged: &[Judged<'_>], stated: &Recovery) -> Option<Difference> {
    let recovered = stated.from + stated.within;
    let later = |judged: &&Judged<'_>| judged.request.sends[0].at >= recovered;
    let all = judged.iter().filter(later).count() as u64;
    let good = judged.iter().filter(later).filter(|j| j.is_good).count() as u64;
    let first_bad = judged.iter().filter(later).find(|j| !j.is_good)?;
    let is_kept = good * 100 >= all * stated.at_least_percent;
    (!is_kept).then(|| Difference::Recovery {
        from_ms: stated.from.as_millis(),
        within_ms: u64::try_from(stated.within.as_millis()).unwrap_or(u64::MAX),
        stated: stated.at_least_percent,
        good,
        all,
        request: first_bad.request.id,
    })
}
