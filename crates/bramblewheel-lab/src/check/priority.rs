//! Checks that more important classes are shed last.
//!
//! For each service, calls at the root and below and those of them refused as overloaded are counted by class and by
//! the second in which they ended. For any two classes, the share shed of the more important one must not exceed the
//! other's by more than [`TOLERANCE`]. Shares are compared per second and averaged with the smaller number of calls as
//! weight: overload varies over time, and a class with fewer calls during overload has a smaller share shed over the
//! whole run without being preferred. Pairs of classes with a weight below [`MIN_WEIGHT`] are skipped, because they
//! have too few calls for a comparison.

use super::Finding;
use super::history::History;
use crate::journal::CallerOutcome;
use bramblewheel_types::{Criticality, NotRunReason, ServiceName};
use std::collections::BTreeMap;

/// Amount by which the share shed of the more important class may exceed that of the other.
const TOLERANCE: f64 = 0.02;
/// Total weight below which two classes are not compared: the calls of the class with fewer calls in each window.
const MIN_WEIGHT: f64 = 100.0;
/// Length of the windows in which shares are compared, in microseconds.
const WINDOW_US: u64 = 1_000_000;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    calls: u64,
    shed: u64,
}

impl Count {
    fn shed_share(self) -> f64 {
        self.shed as f64 / self.calls as f64
    }
}

/// Counts of one class by window number.
type Windows = BTreeMap<u64, Count>;

/// Weighted mean shares shed of two classes over the windows in which both have calls.
#[derive(Clone, Copy, Debug, Default)]
struct Comparison {
    weight: f64,
    higher: f64,
    lower: f64,
}

pub(super) fn check(history: &History<'_>) -> Finding {
    let mut finding = Finding::new("priority");
    for (service, classes) in &counts(history) {
        let classes: Vec<_> = classes.iter().collect();
        for (index, (lower_class, lower)) in classes.iter().enumerate() {
            for (higher_class, higher) in &classes[index + 1..] {
                let compared = compare(higher, lower);
                if compared.weight < MIN_WEIGHT {
                    continue;
                }
                let holds = compared.higher <= compared.lower + TOLERANCE;
                finding.add_case(holds, || {
                    let (higher, lower) = (compared.higher * 100.0, compared.lower * 100.0);
                    format!(
                        "{service} shed {higher:.1}% of {higher_class} \
                         but {lower:.1}% of {lower_class}"
                    )
                });
            }
        }
    }
    finding
}

fn compare(higher: &Windows, lower: &Windows) -> Comparison {
    let mut sum = Comparison::default();
    for (window, higher) in higher {
        let Some(lower) = lower.get(window) else {
            continue;
        };
        let weight = higher.calls.min(lower.calls) as f64;
        sum.weight += weight;
        sum.higher += weight * higher.shed_share();
        sum.lower += weight * lower.shed_share();
    }
    Comparison {
        weight: sum.weight,
        higher: sum.higher / sum.weight,
        lower: sum.lower / sum.weight,
    }
}

fn counts(history: &History<'_>) -> BTreeMap<ServiceName, BTreeMap<Criticality, Windows>> {
    let mut counts: BTreeMap<ServiceName, BTreeMap<Criticality, Windows>> = BTreeMap::new();
    let mut add =
        |service: &ServiceName, class: Criticality, at_us: u64, outcome: CallerOutcome| {
            let classes = counts.entry(service.clone()).or_default();
            let windows = classes.entry(class).or_default();
            let count = windows.entry(at_us / WINDOW_US).or_default();
            count.calls += 1;
            let reason = NotRunReason::Overloaded;
            count.shed += u64::from(outcome == CallerOutcome::NotRun { reason });
        };
    for send in history.sends.values() {
        if let Some(end) = send.end {
            let sent = send.sent;
            add(
                &sent.service,
                sent.criticality,
                end.at_us,
                end.reply.outcome,
            );
        }
    }
    for (ended_us, call) in &history.sub_calls {
        add(
            &call.service,
            call.criticality,
            *ended_us,
            call.reply.outcome,
        );
    }
    counts
}
