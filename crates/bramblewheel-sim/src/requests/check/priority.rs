//! Checks that no attempt is shed while a less important one waits at the same daemon, and that over a
//! whole run no class is served worse than a less important one.

use super::super::record::Record;
use super::super::topology::EndpointIndex;
use super::facts::{CallerOutcome, Facts};
use super::{Evidence, Promise, Violation};
use crate::kernel::Fact;
use bramblewheel_types::{AttemptId, Criticality, NotRunReason, Outcome, ServiceName};
use std::collections::BTreeMap;

/// Importance of an attempt: class, then whether its root request belongs to a session.
type Importance = (Criticality, bool);

/// Number of requests below which the share of a class is not significant.
const MIN_REQUESTS: usize = 20;
/// Tolerated random difference between the shares of adjacent classes.
const TOLERANCE: f64 = 0.1;

/// Attempts that wait at the daemon of each endpoint, with the index of their arrival in the history.
type Waiting = BTreeMap<EndpointIndex, BTreeMap<AttemptId, (Importance, usize)>>;

pub(super) fn check(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut waiting = Waiting::new();
    let mut violations = Vec::new();
    for (index, entry) in evidence.history.iter().enumerate() {
        match &entry.fact {
            Fact::Domain(record) => {
                violations.extend(track(&mut waiting, index, record));
            }
            Fact::Stopped(_) => {
                // The processes of endpoints come first, in the order of the endpoints.
                if let Some(process) = entry.process {
                    waiting.remove(&EndpointIndex(process.0 as usize));
                }
            }
            _ => {}
        }
    }
    violations
}

fn track(waiting: &mut Waiting, index: usize, record: &Record) -> Option<Violation> {
    match record {
        Record::Offered {
            endpoint,
            attempt,
            criticality,
            in_session,
            ..
        } => {
            let importance = (*criticality, *in_session);
            let at_endpoint = waiting.entry(*endpoint).or_default();
            at_endpoint.insert(*attempt, (importance, index));
            None
        }
        Record::Claimed { endpoint, attempt }
        | Record::Dispatched { endpoint, attempt }
        | Record::Withdrawn { endpoint, attempt } => {
            waiting.get_mut(endpoint)?.remove(attempt);
            None
        }
        Record::Replied {
            endpoint,
            attempt,
            outcome,
        } => {
            let at_endpoint = waiting.get_mut(endpoint)?;
            let (importance, offered) = at_endpoint.remove(attempt)?;
            if !is_shed(*outcome) {
                return None;
            }
            let mut others = at_endpoint.values();
            let (kept, kept_index) = others.find(|(other, _)| *other < importance)?;
            Some(Violation {
                promise: Promise::PriorityKept,
                message: format!("{importance:?} was shed while {kept:?} was kept"),
                evidence: vec![*kept_index, offered, index],
            })
        }
        _ => None,
    }
}

fn is_shed(outcome: Outcome) -> bool {
    let reason = NotRunReason::Overloaded;
    matches!(outcome, Outcome::NotRun { reason: actual, .. } if actual == reason)
}

/// Requests of one class at one service.
#[derive(Default)]
struct Share {
    all: usize,
    completed: usize,
}

impl Share {
    fn value(&self) -> f64 {
        self.completed as f64 / self.all as f64
    }
}

/// Compares the shares of completed requests between the classes of each service.
pub(super) fn check_classes(facts: &Facts, evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (service, classes) in shares(facts, evidence) {
        let significant = classes
            .iter()
            .filter(|(_, share)| share.all >= MIN_REQUESTS);
        let significant: Vec<_> = significant.collect();
        for pair in significant.windows(2) {
            let [(lower, low), (higher, high)] = pair else {
                continue;
            };
            if high.value() + TOLERANCE < low.value() {
                violations.push(Violation {
                    promise: Promise::ImportantShedLast,
                    message: format!(
                        "{service}: {:.3} of {higher} completed, {:.3} of {lower}",
                        high.value(),
                        low.value()
                    ),
                    evidence: Vec::new(),
                });
            }
        }
    }
    violations
}

fn shares(
    facts: &Facts,
    evidence: &Evidence<'_>,
) -> BTreeMap<ServiceName, BTreeMap<Criticality, Share>> {
    // Each person counts once, regardless of the number of sends.
    let mut people = BTreeMap::new();
    for send in facts.sends.values() {
        let outcome = send.end.as_ref().map(|end| end.outcome);
        let is_completed = matches!(outcome, Some(CallerOutcome::Answer(Outcome::Completed, _)));
        let (_, completed) = people.entry(send.person).or_insert((send.flow, false));
        *completed |= is_completed;
    }
    let mut shares: BTreeMap<_, BTreeMap<_, Share>> = BTreeMap::new();
    for (flow, is_completed) in people.into_values() {
        let model = &evidence.topology.flows[flow.0].model;
        let Some(route) = evidence.bundle.resolve(&model.service, &model.path) else {
            continue;
        };
        let classes = shares.entry(model.service.clone()).or_default();
        let share = classes.entry(route.criticality).or_default();
        share.all += 1;
        share.completed += usize::from(is_completed);
    }
    shares
}
