//! The scenarios of kind `requests` hold on many seeds. For more of them:
//! `bramblewheel-lab sim run NAME --seeds 0..2000`.

use bramblewheel_sim::run::{SeedReport, run_seed};
use bramblewheel_sim::scenario::{Body, Scenario, built_in};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

const SEEDS: u64 = 200;
/// Seeds that are printed.
const MAX_SHOWN: usize = 5;

/// Runs seeds on all cores and hands each run to `take`, in no particular order.
fn run_seeds(scenario: &Scenario, seeds: u64, take: impl Fn(SeedReport) + Sync) {
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
                    take(run_seed(scenario, seed));
                }
            });
        }
    });
}

fn holds(name: &str, seeds: u64) {
    let scenario = built_in(name).expect(name).scenario().expect(name);
    let Body::Requests(body) = &scenario.body else {
        panic!("{name} is of another kind");
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
        "{name}: not held on {} seeds\n{}",
        failures.len(),
        failures[..failures.len().min(MAX_SHOWN)].join("\n")
    );
    for shown in &body.outcomes.shows {
        let total = totals.get(shown.as_str()).copied().unwrap_or(0);
        assert!(total > 0, "{name} never shows {shown}: {totals:?}");
    }
}

#[test]
fn not_run_truth() {
    holds("not-run-truth", SEEDS);
}

#[test]
fn run_once_resend() {
    holds("run-once-resend", SEEDS);
}

#[test]
fn retry_bound_deep() {
    holds("retry-bound-deep", SEEDS);
}

#[test]
fn daemon_killed_mid_call() {
    holds("daemon-killed-mid-call", SEEDS);
}

#[test]
fn late_reordered_answers() {
    holds("late-reordered-answers", SEEDS);
}

#[test]
fn priority_under_surge() {
    holds("priority-under-surge", SEEDS);
}

#[test]
fn sessions_through_surge() {
    holds("sessions-through-surge", SEEDS);
}

#[test]
fn misleading_load_reports() {
    holds("misleading-load-reports", SEEDS);
}

#[test]
fn endpoint_leaving_lagging_list() {
    holds("endpoint-leaving-lagging-list", SEEDS);
}

#[test]
fn planned_stop() {
    holds("planned-stop", SEEDS);
}

#[test]
fn request_chaos() {
    holds("request-chaos", SEEDS);
}
