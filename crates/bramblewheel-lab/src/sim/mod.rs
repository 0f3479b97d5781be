//! Runs a scenario on many seeds in parallel and summarizes the outcomes.

mod seeds;
mod summary;

pub use seeds::{InvalidSeeds, SeedRange};
pub use summary::Summary;

use bramblewheel_sim::run::{SeedReport, run_seed};
use bramblewheel_sim::scenario::Scenario;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;

/// Runs a scenario on all seeds, `jobs` at the same time, and passes the reports to `on_report` in the order of the
/// seeds.
pub fn run_seeds(
    scenario: &Scenario,
    seeds: SeedRange,
    jobs: usize,
    mut on_report: impl FnMut(SeedReport),
) {
    let next = AtomicU64::new(seeds.first);
    let (sender, receiver) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            let sender = sender.clone();
            let next = &next;
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end || sender.send(run_seed(scenario, seed)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        deliver_in_order(seeds.first, receiver, &mut on_report);
    });
}

/// Passes reports on in the order of their seeds, in whatever order they arrive.
fn deliver_in_order(
    first: u64,
    reports: mpsc::Receiver<SeedReport>,
    on_report: &mut impl FnMut(SeedReport),
) {
    let mut pending = BTreeMap::new();
    let mut expected = first;
    for report in reports {
        pending.insert(report.seed, report);
        while let Some(report) = pending.remove(&expected) {
            expected += 1;
            on_report(report);
        }
    }
}
