//! When which fault begins and ends, drawn once per seed.

use super::file::{Fault, FaultKind, RequestScenario};
use bramblewheel_types::Timestamp;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// One coming of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Occurrence {
    /// Position of the fault in the file.
    pub(super) fault: usize,
    /// When it begins.
    pub(super) at: Timestamp,
    /// How long it lasts.
    pub(super) lasts: Duration,
    /// Size, for faults that have one.
    pub(super) percent: u64,
    /// How late the platform's list is.
    pub(super) list_lag: Duration,
}

/// All faults of a run, in the order of their beginnings.
pub(super) fn draw(scenario: &RequestScenario, random: &mut Pcg64Mcg) -> Vec<Occurrence> {
    let mut plan = Vec::new();
    for (index, fault) in scenario.fault.iter().enumerate() {
        let fault: &Fault = fault.get_ref();
        let times = match fault.kind {
            FaultKind::RollingStop => 1,
            _ => fault.times.draw(random),
        };
        for _ in 0..times {
            plan.push(Occurrence {
                fault: index,
                at: Timestamp::ZERO + fault.at_ms.draw(random),
                lasts: fault.for_ms.draw(random),
                percent: fault.percent.draw(random),
                list_lag: fault.list_lag_ms.draw(random),
            });
        }
    }
    plan.sort_by_key(|occurrence| (occurrence.at, occurrence.fault));
    plan
}
