//! Formats the results as key=value lines.

use crate::bench::latency::alternation::Alternation;
use hdrhistogram::Histogram;
use std::fmt::Write;

const NANOS_PER_MILLI: f64 = 1e6;
const MICROS_PER_SECOND: f64 = 1e6;
/// Reported quantiles with their names in keys.
const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)];

fn millis_at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / NANOS_PER_MILLI
}

fn added_millis(alternation: &Alternation, quantile: f64) -> f64 {
    let proxied = millis_at(&alternation.proxied.latency, quantile);
    proxied - millis_at(&alternation.direct.latency, quantile)
}

fn cpu_micros_per_call(alternation: &Alternation) -> f64 {
    alternation.daemons.cpu.as_micros() as f64 / calls(alternation)
}

fn sleeps_per_call(alternation: &Alternation) -> f64 {
    alternation.daemons.sleeps as f64 / calls(alternation)
}

fn calls(alternation: &Alternation) -> f64 {
    alternation.proxied.latency.len().max(1) as f64
}

/// Formats one alternation.
pub fn alternation_line(rate: u32, number: usize, alternation: &Alternation) -> String {
    let mut line = format!("alternation={number} rate={rate}");
    for (name, quantile) in QUANTILES {
        let direct = millis_at(&alternation.direct.latency, quantile);
        let proxied = millis_at(&alternation.proxied.latency, quantile);
        let _ = write!(
            line,
            " direct_{name}_ms={direct:.3} through_{name}_ms={proxied:.3}"
        );
    }
    let lateness_p99 = |lateness: &Histogram<u64>| millis_at(lateness, 0.99);
    let _ = write!(
        line,
        " sent_late_p99_ms={:.3}/{:.3} cpu_us_per_call={:.1} sleeps_per_call={:.2} machine_busy_percent={:.0}",
        lateness_p99(&alternation.direct.lateness),
        lateness_p99(&alternation.proxied.lateness),
        cpu_micros_per_call(alternation),
        sleeps_per_call(alternation),
        alternation.machine_busy_percent,
    );
    line
}

/// Formats the summary of all alternations at one rate, of which there must be at least one: medians, the largest
/// added latency, and the added latency of the quietest alternation.
pub fn summary(rate: u32, alternations: &[Alternation]) -> String {
    let values_of = |value: &dyn Fn(&Alternation) -> f64| -> Vec<f64> {
        alternations.iter().map(value).collect()
    };
    let mut text = String::new();
    let mut line = |key: &str, value: f64, digits: usize| {
        let _ = writeln!(text, "rate={rate} {key}={value:.digits$}");
    };
    line(
        "calls",
        values_of(&|a| a.proxied.latency.len() as f64).iter().sum(),
        0,
    );
    let quietest = quietest(alternations);
    for (name, quantile) in QUANTILES {
        let direct = values_of(&|a| millis_at(&a.direct.latency, quantile));
        let proxied = values_of(&|a| millis_at(&a.proxied.latency, quantile));
        let added = values_of(&|a| added_millis(a, quantile));
        line(&format!("direct_{name}_ms"), median(&direct), 3);
        line(&format!("through_{name}_ms"), median(&proxied), 3);
        line(&format!("added_{name}_ms"), median(&added), 3);
        line(&format!("added_{name}_ms_worst"), largest(&added), 3);
        line(&format!("added_{name}_ms_quietest"), added[quietest], 3);
    }
    let cpu = values_of(&cpu_micros_per_call);
    line("cpu_us_per_call", median(&cpu), 1);
    line("cpu_us_per_call_worst", largest(&cpu), 1);
    line("sleeps_per_call", median(&values_of(&sleeps_per_call)), 2);
    let busy = values_of(&|a| a.machine_busy_percent);
    line("machine_busy_percent", median(&busy), 0);
    line("machine_busy_percent_quietest", busy[quietest], 0);
    line("calls_per_core_second", MICROS_PER_SECOND / median(&cpu), 0);
    text
}

/// Index of the alternation least disturbed by other activity of the machine. It is chosen by the direct window alone,
/// which does not depend on the daemons.
fn quietest(alternations: &[Alternation]) -> usize {
    let p99 = |index: &usize| alternations[*index].direct.latency.value_at_quantile(0.99);
    (0..alternations.len()).min_by_key(p99).unwrap_or(0)
}

/// The median; the mean of the two middle values for an even count; 0 for no values.
pub(super) fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.len() {
        0 => 0.0,
        length if length % 2 == 1 => sorted[length / 2],
        length => f64::midpoint(sorted[length / 2 - 1], sorted[length / 2]),
    }
}

pub(super) fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::NEG_INFINITY, f64::max)
}
