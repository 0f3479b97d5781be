//! Rate limits that endpoints state: single rules, all orders of five events, a fleet under faults, and what callers get.

mod check;
mod fleet;
mod orders;
mod rules;
mod served;

use check::{Broken, broken_bounds};
use fleet::{Fleet, Obedience};

/// Seeds on which a fleet must keep the limit.
const SEEDS: u64 = 300;
/// Seeds within which a fault must be noticed.
const SEEDS_TO_NOTICE: u64 = 20;

/// The seeds that break a bound, with the first window that does.
fn seeds_that_break(senders: usize, obedience: Obedience, seeds: u64) -> Vec<(u64, Broken)> {
    let first_broken = |seed: u64| {
        let history = Fleet::new(senders, obedience, seed).run();
        let broken = broken_bounds(&history).into_iter().next();
        broken.map(|broken| (seed, broken))
    };
    (0..seeds).filter_map(first_broken).collect()
}

#[test]
fn fleet_of_8_daemons_keeps_the_limit_under_faults() {
    let broken = seeds_that_break(8, Obedience::Full, SEEDS);
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn fleet_of_300_daemons_keeps_the_limit_under_faults() {
    let broken = seeds_that_break(300, Obedience::Full, SEEDS);
    assert!(broken.is_empty(), "{broken:?}");
}

/// Shows that the checks notice each way to obey a limit only in part.
#[test]
fn partial_obedience_is_noticed() {
    for obedience in Obedience::PARTIAL {
        let broken = seeds_that_break(8, obedience, SEEDS_TO_NOTICE);
        assert!(!broken.is_empty(), "{obedience:?}");
    }
}
