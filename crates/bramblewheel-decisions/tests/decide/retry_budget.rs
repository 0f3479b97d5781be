//! Retry budgets of the daemons and the bound over all of them.

use crate::service;
use bramblewheel_decisions::retry_budget::{FirstSend, RetryBoundSettings, RetryBudget};
use bramblewheel_types::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const FROM_OUTSIDE: FirstSend = FirstSend {
    is_likely_nested: false,
    retried_share: 0.0,
};

/// The guaranteed bound holds over all daemons together in every window, however requests are spread.
#[test]
fn retries_stay_below_the_bound_in_every_window() {
    const DAEMONS: usize = 17;
    let settings = RetryBoundSettings {
        ratio: 0.2,
        slack: 57.0,
        window: Duration::from_secs(10),
    };
    let kassa = service("kassa");
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut budgets: Vec<RetryBudget> = (0..DAEMONS)
            .map(|_| RetryBudget::new(settings, Timestamp::ZERO))
            .collect();
        for budget in &mut budgets {
            budget.set_daemon_count(17);
        }
        let (mut firsts, mut retries): (Vec<u64>, Vec<u64>) = (Vec::new(), Vec::new());
        for step in 0..40_000_u64 {
            let now = Timestamp::from_millis(step);
            let is_busy = (step / 7_000) % 2 == 0;
            let daemon = random.random_range(0..DAEMONS);
            if random.random_bool(if is_busy { 0.3 } else { 0.02 }) {
                budgets[daemon].record_first(now, &kassa, FROM_OUTSIDE);
                firsts.push(step);
            }
            // All requests fail, so that each daemon retries as often as it may.
            if budgets[daemon].withdraw(now, &kassa, 1.0) {
                retries.push(step);
            }
        }
        for end in (0..40_000_u64).step_by(250) {
            let begin = end.saturating_sub(10_000);
            let within = |all: &[u64]| all.iter().filter(|at| (begin..end).contains(*at)).count();
            let allowed = 0.2 * within(&firsts) as f64 + 57.0;
            let count = within(&retries) as f64;
            assert!(
                count <= allowed,
                "{count} > {allowed} before {end} with seed {seed}"
            );
        }
        assert!(retries.len() > 50, "too few retries to test the bound");
    }
}
