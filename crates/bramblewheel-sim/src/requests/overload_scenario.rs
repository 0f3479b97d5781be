//! Scenarios of kind `overload`: a deployment under a surge, with required outcomes.

use super::layer::LayerKind;
use super::overload::{BEFORE, CAUSE, CAUSE_ENDS, OverloadExperiment, OverloadRun};
use super::topology::{Topology, ZoneIndex};
use crate::deployment;
use crate::run::{Figures, SeedReport, ViolationReport};
use crate::scenario::{ScenarioError, SourceText};
use bramblewheel_types::{Criticality, ZoneName};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An example deployment with its bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExampleName {
    /// `examples/deployments/torgnett.toml`.
    Torgnett,
    /// `examples/deployments/museum.toml`.
    Museum,
}

impl ExampleName {
    /// The experiment with the deployment and its bundle.
    ///
    /// # Panics
    /// If the embedded example files are invalid; a test parses both.
    pub fn experiment(self) -> OverloadExperiment {
        let (deployment, bundle) = match self {
            Self::Torgnett => (
                include_str!("../../../../examples/deployments/torgnett.toml"),
                include_str!("../../../../examples/bundles/torgnett.toml"),
            ),
            Self::Museum => (
                include_str!("../../../../examples/deployments/museum.toml"),
                include_str!("../../../../examples/bundles/museum.toml"),
            ),
        };
        let deployment = deployment::parse("deployment", deployment);
        let bundle = bramblewheel_bundle::parse("bundle", bundle);
        let deployment = deployment.expect("the example deployment is valid");
        OverloadExperiment {
            topology: Arc::new(Topology::new(&deployment)),
            bundle: Arc::new(bundle.expect("the example bundle is valid")),
        }
    }
}

/// Scenario file of kind `overload`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadScenario {
    #[serde(rename = "name")]
    _name: String,
    #[serde(rename = "kind")]
    _kind: String,
    #[serde(rename = "summary")]
    _summary: String,
    /// Events of the run.
    pub overload: OverloadPlan,
    /// Required outcomes.
    pub outcomes: OverloadOutcomes,
}

/// Events between 7 s and 17 s of the run.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadPlan {
    /// The deployment.
    pub deployment: ExampleName,
    /// Factor of the demand.
    pub surge: f64,
    /// Zone that is cut off from the others in that time.
    pub cut_zone: Option<ZoneName>,
}

/// Required outcomes of each seed. In addition, no operation may run more than once.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadOutcomes {
    /// Minimum goodput during the cause, in percent of the bound.
    pub min_percent_of_bound: f64,
    /// Minimum share of the requests of a class that are answered whole in time, in percent.
    #[serde(default)]
    pub min_good_percent: BTreeMap<Criticality, f64>,
    /// Maximum time to recover, in milliseconds.
    pub max_recovery_ms: u64,
    /// Maximum share of slot time spent on requests without a whole answer in time, in percent.
    pub max_wasted_percent: f64,
    /// Maximum retry amplification: sends per request times attempts per call.
    pub max_retry_amplification: f64,
}

impl OverloadScenario {
    /// Parses and checks a scenario of this kind.
    ///
    /// # Errors
    /// Returns [`ScenarioError`] with file, line and key.
    pub fn parse(source: &SourceText<'_>) -> Result<Self, ScenarioError> {
        let scenario: Self = source.deserialize()?;
        let surge = scenario.overload.surge;
        if !(0.1..=100.0).contains(&surge) {
            return Err(source.error("overload.surge", "must lie between 0.1 and 100"));
        }
        let is_unknown = |zone: &ZoneName| scenario.zone_index(zone).is_none();
        if scenario.overload.cut_zone.as_ref().is_some_and(is_unknown) {
            return Err(source.error("overload.cut_zone", "the deployment has no such zone"));
        }
        Ok(scenario)
    }

    fn zone_index(&self, zone: &ZoneName) -> Option<ZoneIndex> {
        let experiment = self.overload.deployment.experiment();
        let mut zones = experiment.topology.zones.iter();
        zones.position(|other| other == zone).map(ZoneIndex)
    }

    /// Runs the scenario on one seed with bramblewheel and checks the outcomes.
    pub fn run(&self, seed: u64) -> SeedReport {
        self.run_with(LayerKind::Bramblewheel, seed)
    }

    /// Like [`run`](Self::run), with any layer.
    pub fn run_with(&self, layer: LayerKind, seed: u64) -> SeedReport {
        let experiment = self.overload.deployment.experiment();
        let cut_zone = self.overload.cut_zone.as_ref();
        let cut_zone = cut_zone.and_then(|zone| self.zone_index(zone));
        let surge = self.overload.surge;
        let run = experiment.run(layer, surge, seed, |simulation, begins| {
            match cut_zone.filter(|_| begins) {
                Some(zone) => simulation.cut_zone(zone),
                None => simulation.heal(),
            }
        });
        let bound = experiment.bound(surge).iter().sum();
        SeedReport {
            seed,
            digest: run.digest,
            violations: self.violations(&run, bound),
            figures: figures(&run, bound),
        }
    }

    fn violations(&self, run: &OverloadRun, bound: f64) -> Vec<ViolationReport> {
        let outcomes = &self.outcomes;
        let mut found = Vec::new();
        let mut at_least = |promise: &str, value: f64, least: f64| {
            if value < least {
                found.push(violation(promise, format!("{value:.1}, at least {least}")));
            }
        };
        let of_bound = run.measurement.goodput(CAUSE) / bound * 100.0;
        at_least("percent-of-bound", of_bound, outcomes.min_percent_of_bound);
        for (class, least) in &outcomes.min_good_percent {
            let share = run.measurement.good_share(CAUSE, *class).unwrap_or(1.0);
            at_least(&format!("good-percent-{class}"), share * 100.0, *least);
        }
        let mut at_most = |promise: &str, value: f64, most: f64| {
            if value > most {
                found.push(violation(promise, format!("{value:.2}, at most {most}")));
            }
        };
        let wasted = run.wasted_share * 100.0;
        at_most("wasted-percent", wasted, outcomes.max_wasted_percent);
        let amplification = run.retry_amplification;
        let most = outcomes.max_retry_amplification;
        at_most("retry-amplification", amplification, most);
        let repeated = run.repeated_operations as f64;
        at_most("repeated-operations", repeated, 0.0);
        let recovery = run.measurement.recovery_time(BEFORE, CAUSE_ENDS);
        let recovery = recovery.map_or(f64::INFINITY, |time| time.as_millis() as f64);
        at_most("recovery-ms", recovery, outcomes.max_recovery_ms as f64);
        found
    }
}

fn violation(promise: &str, message: String) -> ViolationReport {
    ViolationReport {
        promise: promise.to_owned(),
        message,
        excerpt: Vec::new(),
    }
}

fn figures(run: &OverloadRun, bound: f64) -> Figures {
    let per_mille = |share: f64| (share * 1_000.0).round() as u64;
    let mut figures = BTreeMap::from([
        (
            "goodput_per_s",
            run.measurement.goodput(CAUSE).round() as u64,
        ),
        (
            "of_bound_per_mille",
            per_mille(run.measurement.goodput(CAUSE) / bound),
        ),
        ("wasted_per_mille", per_mille(run.wasted_share)),
        (
            "retry_amplification_per_mille",
            per_mille(run.retry_amplification),
        ),
        ("repeated_operations", run.repeated_operations),
    ]);
    if let Some(time) = run.measurement.recovery_time(BEFORE, CAUSE_ENDS) {
        figures.insert("recovery_ms", time.as_millis() as u64);
    }
    if let Some(share) = run.measurement.good_share(CAUSE, Criticality::Critical) {
        figures.insert("good_critical_per_mille", per_mille(share));
    }
    Figures(figures)
}
