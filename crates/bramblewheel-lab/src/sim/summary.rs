//! Summary of a scenario's outcomes over many seeds.

use super::SeedRange;
use bramblewheel_sim::run::SeedReport;
use bramblewheel_sim::scenario::Scenario;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// One figure over all seeds; a seed that does not report it counts as zero.
#[derive(Clone, Debug, Serialize)]
struct Figure {
    smallest: u64,
    mean: f64,
    largest: u64,
}

/// Running statistics of one figure.
#[derive(Clone, Debug, Default)]
struct Values {
    count: u64,
    total: u64,
    smallest: Option<u64>,
    largest: u64,
}

impl Values {
    fn add(&mut self, value: u64) {
        self.count += 1;
        self.total += value;
        self.smallest = Some(self.smallest.map_or(value, |smallest| smallest.min(value)));
        self.largest = self.largest.max(value);
    }

    fn figure(&self, seeds: u64) -> Figure {
        let is_in_all_seeds = self.count == seeds;
        Figure {
            smallest: self.smallest.filter(|_| is_in_all_seeds).unwrap_or(0),
            mean: self.total as f64 / seeds.max(1) as f64,
            largest: self.largest,
        }
    }
}

/// A seed with violations.
#[derive(Clone, Debug, Serialize)]
struct ViolatedSeed {
    seed: u64,
    digest: String,
    violations: Vec<ViolationLine>,
}

#[derive(Clone, Debug, Serialize)]
struct ViolationLine {
    promise: String,
    message: String,
    history: Vec<String>,
}

/// Summary of a scenario's outcomes over many seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    scenario: String,
    first_seed: u64,
    seeds: u64,
    held: u64,
    violated: u64,
    violations_by_promise: BTreeMap<String, u64>,
    #[serde(skip)]
    values: BTreeMap<&'static str, Values>,
    violated_seeds: Vec<ViolatedSeed>,
}

impl Summary {
    /// Creates a summary without any seed.
    pub fn new(scenario: &Scenario, seeds: SeedRange) -> Self {
        Self {
            scenario: scenario.header.name.clone(),
            first_seed: seeds.first,
            seeds: 0,
            held: 0,
            violated: 0,
            violations_by_promise: BTreeMap::new(),
            values: BTreeMap::new(),
            violated_seeds: Vec::new(),
        }
    }

    /// Adds the report of a seed.
    pub fn add(&mut self, report: &SeedReport) {
        self.seeds += 1;
        for (&name, &value) in &report.figures.0 {
            self.values.entry(name).or_default().add(value);
        }
        if report.violations.is_empty() {
            self.held += 1;
            return;
        }
        self.violated += 1;
        let violations = report.violations.iter();
        for violation in violations.clone() {
            let count = self
                .violations_by_promise
                .entry(violation.promise.clone())
                .or_default();
            *count += 1;
        }
        let lines = violations.map(|violation| ViolationLine {
            promise: violation.promise.clone(),
            message: violation.message.clone(),
            history: violation.excerpt.clone(),
        });
        self.violated_seeds.push(ViolatedSeed {
            seed: report.seed,
            digest: report.digest.to_string(),
            violations: lines.collect(),
        });
    }

    /// Number of seeds with violations.
    pub fn violated(&self) -> u64 {
        self.violated
    }

    fn figures(&self) -> BTreeMap<&'static str, Figure> {
        let values = self.values.iter();
        values
            .map(|(name, values)| (*name, values.figure(self.seeds)))
            .collect()
    }

    /// The whole summary as JSON.
    pub fn to_json(&self) -> String {
        let document = Document {
            summary: self,
            figures: self.figures(),
        };
        let text = serde_json::to_string_pretty(&document);
        text.expect("a summary can be serialized as JSON") + "\n"
    }
}

/// JSON document of a summary.
#[derive(Serialize)]
struct Document<'a> {
    #[serde(flatten)]
    summary: &'a Summary,
    figures: BTreeMap<&'static str, Figure>,
}

impl fmt::Display for Summary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            scenario,
            seeds,
            held,
            violated,
            ..
        } = self;
        write!(
            formatter,
            "scenario={scenario} seeds={seeds} held={held} violated={violated}"
        )?;
        for (promise, count) in &self.violations_by_promise {
            write!(formatter, "\n  promise={promise} violations={count}")?;
        }
        for (name, figure) in self.figures() {
            let Figure {
                smallest,
                mean,
                largest,
            } = figure;
            write!(
                formatter,
                "\n  figure={name} smallest={smallest} mean={mean:.1} largest={largest}"
            )?;
        }
        Ok(())
    }
}
