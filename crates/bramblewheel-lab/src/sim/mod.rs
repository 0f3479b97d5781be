//! Runs a scenario on many seeds at one time and sums up.

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

/// Runs a scenario on all seeds, `jobs` at one time, and hands over the reports in the order of
/// the seeds.
pub fn run_seeds(
    scenario: &Scenario,
    seeds: SeedRange,
    jobs: usize,
    mut take: impl FnMut(SeedReport),
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
        in_order(seeds.first, receiver, &mut take);
    });
}

/// Hands reports over in the order of their seeds, whatever order they come in.
fn in_order(first: u64, reports: mpsc::Receiver<SeedReport>, take: &mut impl FnMut(SeedReport)) {
    let mut early = BTreeMap::new();
    let mut expected = first;
    for report in reports {
        early.insert(report.seed, report);
        while let Some(report) = early.remove(&expected) {
            expected += 1;
            take(report);
        }
    }
}
