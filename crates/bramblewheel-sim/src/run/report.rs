//! Report of a run with one seed.

use crate::control::{ControlRecord, ControlRun, PublishAnswer};
use crate::kernel::{Fact, HistoryDigest};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Report of a run with one seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedReport {
    /// The seed.
    pub seed: u64,
    /// Digest of the history; equal for runs with the same seed.
    pub digest: HistoryDigest,
    /// Violated promises.
    pub violations: Vec<ViolationReport>,
    /// Counts and times by name.
    pub figures: Figures,
}

/// A violated promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ViolationReport {
    /// Name of the promise.
    pub promise: String,
    /// Description of the violation.
    pub message: String,
    /// History entries that show the violation.
    pub excerpt: Vec<String>,
}

/// Counts and times of a run by name. Names of quantities with a unit end in the unit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures(pub BTreeMap<&'static str, u64>);

impl Figures {
    pub(super) fn of_control(run: &ControlRun, delays: &[Duration]) -> Self {
        let mut figures = BTreeMap::from([
            ("events", run.events),
            ("virtual_ms", run.ended_at.as_millis()),
        ]);
        for entry in &run.history {
            let Fact::Domain(record) = &entry.fact else {
                continue;
            };
            let name = match record {
                ControlRecord::PublishSent { .. } => "publishes_sent",
                ControlRecord::PublishAnswered {
                    answer: PublishAnswer::Accepted,
                    ..
                } => "answers_accepted",
                ControlRecord::PublishAnswered { .. } => "answers_refused",
                ControlRecord::RepairDone { .. } => "repairs",
                ControlRecord::Fault(_) => "faults",
                ControlRecord::Leading { .. } => "elections",
                ControlRecord::DaemonRefused { .. } => "stale_answers_refused",
                _ => continue,
            };
            *figures.entry(name).or_default() += 1;
        }
        let mut sorted: Vec<u64> = delays.iter().map(|d| d.as_micros() as u64).collect();
        sorted.sort_unstable();
        for (name, percent) in [
            ("in_force_p50_us", 50),
            ("in_force_p99_us", 99),
            ("in_force_max_us", 100),
        ] {
            figures.insert(name, percentile(&sorted, percent));
        }
        Self(figures)
    }
}

/// Percentile of sorted values by nearest rank; 0 if there are no values.
fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let rank = (sorted.len() * percent).div_ceil(100).max(1);
    sorted.get(rank - 1).copied().unwrap_or(0)
}

impl fmt::Display for Figures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (name, value)) in self.0.iter().enumerate() {
            let space = if index == 0 { "" } else { " " };
            write!(formatter, "{space}{name}={value}")?;
        }
        Ok(())
    }
}

impl fmt::Display for SeedReport {
    /// One line, then for each violated promise a line and the history entries that show it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let result = if self.violations.is_empty() {
            "held"
        } else {
            "violated"
        };
        let (seed, digest, figures) = (self.seed, self.digest, &self.figures);
        write!(
            formatter,
            "seed={seed} result={result} digest={digest} {figures}"
        )?;
        for violation in &self.violations {
            let ViolationReport {
                promise, message, ..
            } = violation;
            write!(
                formatter,
                "\n  seed={seed} promise={promise} message={message:?}"
            )?;
            for line in &violation.excerpt {
                write!(formatter, "\n    {line}")?;
            }
        }
        Ok(())
    }
}
