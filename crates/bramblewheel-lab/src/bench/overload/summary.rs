//! Median and worst over the seeds.

use super::trials::TrialResult;
use bramblewheel_sim::requests::LayerKind;
use bramblewheel_sim::requests::overload::{BEFORE, CAUSE, CAUSE_ENDS, Subject};
use bramblewheel_types::Criticality;

/// Median and worst of one figure over the seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Worst: the smallest of a gain, the largest of a cost.
    pub worst: f64,
}

/// Figures of one layer at one factor.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The layer.
    pub kind: LayerKind,
    /// Seeds.
    pub seeds: usize,
    /// Whole answers a second during the cause.
    pub goodput: Spread,
    /// The same as a share of the bound.
    pub of_bound: Spread,
    /// Whole answers a second during the cause, by class; none for classes without requests.
    pub class_goodput: Vec<(Criticality, Spread)>,
    /// Share of the requests answered whole in time, by class.
    pub class_share: Vec<(Criticality, Spread)>,
    /// Share of the slot time that was wasted.
    pub wasted: Spread,
    /// Tries per call, over all hops and the callers' own.
    pub amplification: Spread,
    /// Seconds to recover; infinite when goodput did not come back.
    pub recovery: Spread,
    /// Operations that ran more than once.
    pub repeated: Spread,
}

/// One summary for each layer.
pub fn summaries(subject: &Subject, results: &[TrialResult], surge: f64) -> Vec<Summary> {
    let of_layer = |kind| {
        let mut runs = Vec::new();
        for result in results {
            if result.trial.kind == kind && result.trial.surge == surge {
                runs.push(result);
            }
        }
        summary(subject, kind, surge, &runs)
    };
    LayerKind::ALL.into_iter().map(of_layer).collect()
}

fn summary(subject: &Subject, kind: LayerKind, surge: f64, runs: &[&TrialResult]) -> Summary {
    let bound: f64 = subject.bound(surge).iter().sum();
    let gain = |value: &dyn Fn(&TrialResult) -> f64| gain_spread(runs, value);
    let cost = |value: &dyn Fn(&TrialResult) -> f64| cost_spread(runs, value);
    let classes = subject.used_classes();
    let goodput = |result: &TrialResult| result.run.measurement.goodput(CAUSE);
    let class_goodput = classes.iter().map(|class| {
        let value = |r: &TrialResult| r.run.measurement.class_goodput(CAUSE, *class);
        (*class, gain(&value))
    });
    let class_share = classes.iter().map(|class| {
        let value = |r: &TrialResult| {
            let share = r.run.measurement.good_share(CAUSE, *class);
            share.unwrap_or(1.0)
        };
        (*class, gain(&value))
    });
    Summary {
        kind,
        seeds: runs.len(),
        goodput: gain(&goodput),
        of_bound: gain(&|result| goodput(result) / bound),
        class_goodput: class_goodput.collect(),
        class_share: class_share.collect(),
        wasted: cost(&|result| result.run.wasted_share),
        amplification: cost(&|result| result.run.retry_amplification),
        recovery: cost(&|result| {
            let recovery = result.run.measurement.recovery_time(BEFORE, CAUSE_ENDS);
            recovery.map_or(f64::INFINITY, |time| time.as_secs_f64())
        }),
        repeated: cost(&|result| result.run.repeated_operations as f64),
    }
}

fn sorted(runs: &[&TrialResult], value: &dyn Fn(&TrialResult) -> f64) -> Vec<f64> {
    let mut values: Vec<f64> = runs.iter().map(|result| value(result)).collect();
    values.sort_by(f64::total_cmp);
    values
}

fn gain_spread(runs: &[&TrialResult], value: &dyn Fn(&TrialResult) -> f64) -> Spread {
    let values = sorted(runs, value);
    Spread {
        median: median(&values),
        worst: values.first().copied().unwrap_or(f64::NAN),
    }
}

fn cost_spread(runs: &[&TrialResult], value: &dyn Fn(&TrialResult) -> f64) -> Spread {
    let values = sorted(runs, value);
    Spread {
        median: median(&values),
        worst: values.last().copied().unwrap_or(f64::NAN),
    }
}

fn median(sorted: &[f64]) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else {
        return f64::NAN;
    };
    // Between two equal infinite values the mean would be infinite as well, which is right.
    (sorted[last / 2] + sorted[last.div_ceil(2)]) / 2.0
}
