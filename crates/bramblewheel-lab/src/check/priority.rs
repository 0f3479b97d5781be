//! The more important classes are the last to be shed.
//!
//! For each called service the calls of the whole run, at the root and below, are counted by class
//! together with those refused as overloaded. Of any two classes, the share shed of the more
//! important one must not exceed the other's by more than [`TOLERANCE`]. Classes with fewer than
//! [`MIN_CALLS`] calls to a service are left out: their shares say little.

use super::Finding;
use super::history::History;
use crate::journal::Told;
use bramblewheel_types::{Criticality, NotRunReason, ServiceName};
use std::collections::BTreeMap;

/// How much larger the share shed of a more important class may be.
const TOLERANCE: f64 = 0.02;
/// Calls below which a class is not compared.
const MIN_CALLS: u64 = 100;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    calls: u64,
    shed: u64,
}

impl Count {
    fn share(self) -> f64 {
        self.shed as f64 / self.calls as f64
    }
}

pub(super) fn check(history: &History<'_>) -> Finding {
    let mut finding = Finding::new("priority");
    let counts = counts(history);
    for (service, classes) in &counts {
        let classes: Vec<_> = classes
            .iter()
            .filter(|(_, c)| c.calls >= MIN_CALLS)
            .collect();
        for (index, (lower_class, lower)) in classes.iter().enumerate() {
            for (higher_class, higher) in &classes[index + 1..] {
                let holds = higher.share() <= lower.share() + TOLERANCE;
                finding.case(holds, || {
                    let (higher, lower) = (higher.share() * 100.0, lower.share() * 100.0);
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

fn counts(history: &History<'_>) -> BTreeMap<ServiceName, BTreeMap<Criticality, Count>> {
    let mut counts: BTreeMap<ServiceName, BTreeMap<Criticality, Count>> = BTreeMap::new();
    let mut add = |service: &ServiceName, class: Criticality, told: Told| {
        let classes = counts.entry(service.clone()).or_default();
        let count = classes.entry(class).or_default();
        count.calls += 1;
        let reason = NotRunReason::Overloaded;
        count.shed += u64::from(told == Told::NotRun { reason });
    };
    for send in history.sends.values() {
        if let Some((_, reply)) = send.told {
            add(&send.sent.service, send.sent.criticality, reply.told);
        }
    }
    for sub_call in &history.sub_calls {
        add(&sub_call.service, sub_call.criticality, sub_call.told.told);
    }
    counts
}
