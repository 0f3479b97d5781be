//! The built-in scenarios of kind `requests` hold on many seeds. To run more seeds:
//! `bramblewheel-lab sim run NAME --seeds 0..2000`.

use bramblewheel_sim::run::{SeedReport, run_seed};
use bramblewheel_sim::scenario::{Body, Scenario, built_in};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

const SEEDS: u64 = 200;
/// Maximum number of failed seeds that are printed.
const MAX_SHOWN: usize = 5;

/// Runs the seeds on up to six threads and passes each report to `handle`, in no particular order.
fn run_seeds(scenario: &Scenario, seeds: u64, handle: impl Fn(SeedReport) + Sync) {
    let next = AtomicU64::new(1);
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get().min(6));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > seeds {
                        return;
                    }
                    handle(run_seed(scenario, seed));
                }
            });
        }
    });
}

fn assert_holds(name: &str, seeds: u64) {
    let scenario = built_in(name).expect(name).scenario().expect(name);
    let Body::Requests(body) = &scenario.body else {
        panic!("{name} is not of kind requests");
    };
    let totals = std::sync::Mutex::new(BTreeMap::new());
    let failures = std::sync::Mutex::new(Vec::new());
    run_seeds(&scenario, seeds, |report| {
        let mut totals = totals.lock().expect("no run panics");
        for (name, value) in &report.figures.0 {
            *totals.entry(*name).or_insert(0_u64) += value;
        }
        let mut failures = failures.lock().expect("no run panics");
        if !report.violations.is_empty() {
            failures.push(report.to_string());
        }
    });
    let totals = totals.into_inner().expect("no run panics");
    let failures = failures.into_inner().expect("no run panics");
    println!(
        "{name} seeds={seeds} violated={} {totals:?}",
        failures.len()
    );
    assert!(
        failures.is_empty(),
        "{name}: violated on {} seeds\n{}",
        failures.len(),
        failures[..failures.len().min(MAX_SHOWN)].join("\n")
    );
    for figure in &body.outcomes.shows {
        let total = totals.get(figure.as_str()).copied().unwrap_or(0);
        assert!(
            total > 0,
            "{name}: the total of figure {figure} is 0: {totals:?}"
        );
    }
}

#[test]
fn not_run_truth() {
    assert_holds("not-run-truth", SEEDS);
}

#[test]
fn run_once_resend() {
    assert_holds("run-once-resend", SEEDS);
}

#[test]
fn retry_bound_deep() {
    assert_holds("retry-bound-deep", SEEDS);
}

#[test]
fn daemon_killed_mid_call() {
    assert_holds("daemon-killed-mid-call", SEEDS);
}

#[test]
fn late_reordered_answers() {
    assert_holds("late-reordered-answers", SEEDS);
}

#[test]
fn priority_under_surge() {
    assert_holds("priority-under-surge", SEEDS);
}

#[test]
fn sessions_through_surge() {
    assert_holds("sessions-through-surge", SEEDS);
}

#[test]
fn misleading_load_reports() {
    assert_holds("misleading-load-reports", SEEDS);
}

#[test]
fn endpoint_leaving_lagging_list() {
    assert_holds("endpoint-leaving-lagging-list", SEEDS);
}

#[test]
fn planned_stop() {
    assert_holds("planned-stop", SEEDS);
}

#[test]
fn request_chaos() {
    assert_holds("request-chaos", SEEDS);
}
