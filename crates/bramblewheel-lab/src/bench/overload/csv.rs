//! Goodput over time as CSV, one line for each run and tenth of a second.

use super::trials::TrialResult;
use crate::error::CommandError;
use bramblewheel_sim::requests::measure::BUCKET;
use bramblewheel_types::Criticality;
use std::fmt::Write;
use std::path::Path;

/// Writes `overload-DEPLOYMENT.csv`.
pub fn write(
    folder: &Path,
    deployment: &str,
    surge: f64,
    results: &[TrialResult],
) -> Result<(), CommandError> {
    let path = folder.join(format!("overload-{deployment}.csv"));
    let text = text(surge, results);
    std::fs::write(&path, text).map_err(|error| CommandError::file(&path, error))
}

fn text(surge: f64, results: &[TrialResult]) -> String {
    let mut text = String::from("layer,surge,seed,time_s");
    for class in Criticality::ALL {
        let _ = write!(text, ",offered_{class},good_{class},answered_{class}");
    }
    text.push('\n');
    for result in results.iter().filter(|result| result.trial.surge == surge) {
        let trial = result.trial;
        let buckets = &result.run.measurement.buckets;
        for (index, bucket) in buckets.iter().enumerate() {
            let time = index as f64 * BUCKET.as_secs_f64();
            let kind = trial.kind.as_str();
            let _ = write!(text, "{kind},{surge},{},{time:.1}", trial.seed);
            for class in Criticality::ALL {
                let rank = class.rank();
                let offered = bucket.offered[rank];
                let good = bucket.good[rank];
                let answered = bucket.answered[rank];
                let _ = write!(text, ",{offered},{good},{answered}");
            }
            text.push('\n');
        }
    }
    text
}
