//! Overload experiment: a deep service slows down, demand surges and callers retry aggressively, until
//! the cause ends.

use super::bound::Capacity;
use super::layer::{LayerCounters, LayerKind, LayerSettings};
use super::load::{CallerBehaviour, LoadProfile};
use super::measure::{Measurement, Window, measure};
use super::record::Record;
use super::simulation::{RequestSettings, RequestSimulation};
use super::topology::{ServiceIndex, Topology};
use crate::kernel::{Fact, HistoryDigest};
use bramblewheel_bundle::Bundle;
use bramblewheel_types::{Criticality, OperationKey, Timestamp};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Demand outside the surge, as a share of the highest rate that the slots can serve.
pub const BASE_LOAD: f64 = 0.4;
/// Factor by which the deep service slows down during the cause.
pub const SLOWDOWN: f64 = 2.0;
/// End of the warm-up, which is not measured.
const WARM_UP_ENDS: Timestamp = Timestamp::from_millis(2_000);
/// Start of the cause: slow-down and surge.
pub const CAUSE_BEGINS: Timestamp = Timestamp::from_millis(7_000);
/// End of the cause.
pub const CAUSE_ENDS: Timestamp = Timestamp::from_millis(17_000);
/// End of new requests.
pub const LOAD_ENDS: Timestamp = Timestamp::from_millis(37_000);
/// By this time every request has been answered or given up.
const RUN_ENDS: Timestamp = Timestamp::from_millis(42_000);
/// Interval at which the history is evaluated and dropped from memory.
const HISTORY_INTERVAL: Duration = Duration::from_millis(500);
/// Ratio of the weights of adjacent classes in the bound.
const CLASS_WEIGHT: f64 = 1e3;

/// The experiment for one deployment and its bundle.
#[derive(Clone, Debug)]
pub struct OverloadExperiment {
    /// The deployment.
    pub topology: Arc<Topology>,
    /// Its bundle.
    pub bundle: Arc<Bundle>,
}

/// Measurements of one run.
#[derive(Clone, Debug)]
pub struct OverloadRun {
    /// Goodput over time.
    pub measurement: Measurement,
    /// Share of the slot time spent on requests without a whole answer in time, from the start of the
    /// cause to 5 s after its end.
    pub wasted_share: f64,
    /// Sends per request times attempts per call: 1 without any retry.
    pub retry_amplification: f64,
    /// Number of operations that ran more than once.
    pub repeated_operations: u64,
    /// Digest of the run's history.
    pub digest: HistoryDigest,
}

impl OverloadExperiment {
    /// The service that slows down: the one with the most calling services.
    pub fn deep_service(&self) -> ServiceIndex {
        let services = 0..self.topology.services.len();
        let callers = |service: usize| {
            let all = self.topology.services.iter();
            all.filter(|other| other.callees.contains(&ServiceIndex(service)))
                .count()
        };
        let deepest = services.max_by_key(|service| callers(*service));
        ServiceIndex(deepest.expect("a deployment has services"))
    }

    /// Class of each flow.
    pub fn classes(&self) -> Vec<Criticality> {
        let flows = self.topology.flows.iter();
        let class = |flow: &super::topology::Flow| {
            let resolved = self.bundle.resolve(&flow.model.service, &flow.model.path);
            resolved.map_or_else(Criticality::default, |route| route.criticality)
        };
        flows.map(class).collect()
    }

    /// Demand outside the surge, in requests per second.
    pub fn base_rate(&self) -> f64 {
        Capacity::new(&self.topology).max_rate() * BASE_LOAD
    }

    /// Distinct classes of the flows, the most important first.
    pub fn used_classes(&self) -> Vec<Criticality> {
        let mut classes = self.classes();
        classes.sort_unstable_by(|one, other| other.cmp(one));
        classes.dedup();
        classes
    }

    fn capacity_during_cause(&self) -> Capacity<'_> {
        Capacity::new(&self.topology).with_slowdown(self.deep_service().0, SLOWDOWN)
    }

    /// The bound: highest rates by class during the cause, in requests per second and in the order of
    /// [`Self::used_classes`]. More important classes go first; all flows of one class get equal shares.
    pub fn bound(&self, surge: f64) -> Vec<f64> {
        let classes = self.used_classes();
        let weights: Vec<f64> = classes.iter().map(|class| weight(*class)).collect();
        let rate = self.base_rate() * surge;
        self.capacity_during_cause()
            .best_rates_by_class(rate, &self.classes(), &classes, &weights)
    }

    /// Sum of the highest rates if the cheap flows of each class went first.
    pub fn bound_cheap_first(&self, surge: f64) -> f64 {
        let weights: Vec<f64> = self.classes().into_iter().map(weight).collect();
        let rate = self.base_rate() * surge;
        let rates = self.capacity_during_cause().best_rates(rate, &weights);
        rates.iter().sum()
    }

    /// Sum of the highest rates if all classes had equal weight.
    pub fn bound_any_class(&self, surge: f64) -> f64 {
        let weights = vec![1.0; self.topology.flows.len()];
        let rate = self.base_rate() * surge;
        let rates = self.capacity_during_cause().best_rates(rate, &weights);
        rates.iter().sum()
    }

    /// The settings of a run.
    pub fn settings(&self, kind: LayerKind, surge: f64, seed: u64) -> RequestSettings {
        RequestSettings {
            topology: Arc::clone(&self.topology),
            layer: LayerSettings {
                kind,
                bundle: Arc::clone(&self.bundle),
            },
            load: LoadProfile {
                base_rate: self.base_rate(),
                surge,
                surge_begins: CAUSE_BEGINS,
                surge_ends: CAUSE_ENDS,
                ends: LOAD_ENDS,
            },
            callers: CallerBehaviour::default(),
            seed,
        }
    }

    /// Runs the experiment once. `fault` is called with `true` at the start and with `false` at the end
    /// of the cause.
    pub fn run(
        &self,
        kind: LayerKind,
        surge: f64,
        seed: u64,
        mut fault: impl FnMut(&mut RequestSimulation, bool),
    ) -> OverloadRun {
        let mut run = RequestSimulation::new(&self.settings(kind, surge, seed));
        let mut operations = BTreeMap::new();
        advance(&mut run, CAUSE_BEGINS, &mut operations);
        let before = run.counters();
        run.set_slowdown(self.deep_service(), SLOWDOWN);
        fault(&mut run, true);
        advance(&mut run, CAUSE_ENDS, &mut operations);
        let after = run.counters();
        run.set_slowdown(self.deep_service(), 1.0);
        fault(&mut run, false);
        advance(&mut run, RUN_ENDS, &mut operations);
        let measurement = measure(&run, &self.classes(), LOAD_ENDS);
        OverloadRun {
            wasted_share: wasted_share(&run),
            retry_amplification: measurement.sends_per_request(CAUSE)
                * attempts_per_call(before, after),
            repeated_operations: operations.values().filter(|runs| **runs > 1).count() as u64,
            digest: run.kernel().digest(),
            measurement,
        }
    }
}

fn weight(class: Criticality) -> f64 {
    CLASS_WEIGHT.powi(class.rank() as i32)
}

/// Window before the cause, without the warm-up.
pub const BEFORE: Window = Window {
    begins: WARM_UP_ENDS,
    ends: CAUSE_BEGINS,
};
/// Window of the cause.
pub const CAUSE: Window = Window {
    begins: CAUSE_BEGINS,
    ends: CAUSE_ENDS,
};

/// Continues the run until a time and counts the runs of each operation.
fn advance(
    run: &mut RequestSimulation,
    until: Timestamp,
    operations: &mut BTreeMap<OperationKey, u32>,
) {
    while run.kernel().now() < until {
        let next = (run.kernel().now() + HISTORY_INTERVAL).min(until);
        run.run_until(next);
        for entry in run.take_history() {
            if let Fact::Domain(Record::Ran {
                operation: Some(key),
                ..
            }) = entry.fact
            {
                *operations.entry(key).or_default() += 1;
            }
        }
    }
}

fn attempts_per_call(before: LayerCounters, after: LayerCounters) -> f64 {
    let calls = after.calls - before.calls;
    let attempts = after.attempts - before.attempts;
    attempts as f64 / calls.max(1) as f64
}

fn wasted_share(run: &RequestSimulation) -> f64 {
    const AFTERMATH: Duration = Duration::from_secs(5);
    let topology = run.topology();
    let good: std::collections::BTreeSet<_> = run
        .results()
        .filter(|result| result.is_good(topology))
        .map(|result| result.request)
        .collect();
    let window = Window {
        begins: CAUSE_BEGINS,
        ends: CAUSE_ENDS + AFTERMATH,
    };
    let mut all = 0.0;
    let mut wasted = 0.0;
    for slot_use in run.slot_uses().filter(|used| window.contains(used.ended)) {
        let held = slot_use.held.as_secs_f64();
        all += held;
        if !good.contains(&slot_use.request) {
            wasted += held;
        }
    }
    if all > 0.0 { wasted / all } else { 0.0 }
}
