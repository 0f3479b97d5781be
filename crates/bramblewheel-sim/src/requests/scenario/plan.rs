//! Schedule of the faults of a run, drawn once per seed.

use super::file::{Fault, FaultKind, RequestScenario};
use bramblewheel_types::Timestamp;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// One occurrence of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Occurrence {
    /// Index of the fault in the file.
    pub(super) fault: usize,
    /// Start.
    pub(super) at: Timestamp,
    /// Duration.
    pub(super) duration: Duration,
    /// Size in percent, for faults that have one.
    pub(super) percent: u64,
    /// Lag of the platform's endpoint list.
    pub(super) list_lag: Duration,
}

/// Draws all fault occurrences of a run, ordered by start.
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
                duration: fault.for_ms.draw(random),
                percent: fault.percent.draw(random),
                list_lag: fault.list_lag_ms.draw(random),
            });
        }
    }
    plan.sort_by_key(|occurrence| (occurrence.at, occurrence.fault));
    plan
}
