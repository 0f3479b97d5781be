//! Trees that share a bottleneck service.

use crate::simulation::{CAPACITY, Kind, Outcomes, Policy, Simulation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: std::ops::Range<u64> = 0..12;

/// Two kinds of trees that share a service with capacity for about half of their calls; the urgent ones alone need less
/// than that capacity.
fn random_kinds(seed: u64) -> Vec<Kind> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let urgent_calls = random.random_range(2..9);
    let other_calls = random.random_range(2..9);
    let urgent_part = random.random_range(0.3..0.6);
    let other_part = random.random_range(1.0..1.6);
    let per_second = |part: f64, calls: u32| CAPACITY * part / f64::from(calls);
    vec![
        Kind {
            rank: 0,
            calls: urgent_calls,
            per_second: per_second(urgent_part, urgent_calls),
        },
        Kind {
            rank: 2,
            calls: other_calls,
            per_second: per_second(other_part, other_calls),
        },
    ]
}

fn outcomes_of(seed: u64, policy: Policy) -> Vec<Outcomes> {
    let mut simulation = Simulation::new(seed, policy, &random_kinds(seed));
    simulation.run(10, 10, 2..10);
    simulation.outcomes
}

#[test]
fn urgent_trees_are_served_when_a_shared_service_is_overloaded() {
    for seed in SEEDS {
        let equal_ranks = outcomes_of(seed, Policy::EqualRanks);
        let root_ranks = outcomes_of(seed, Policy::RootRanks);
        println!("seed {seed}: equal ranks {equal_ranks:?}, root ranks {root_ranks:?}");
        assert!(
            equal_ranks[0].served_part() < 0.9,
            "the service is not overloaded"
        );
        assert!(root_ranks[0].served_part() > 0.98, "{root_ranks:?}");
    }
}

#[test]
fn most_trees_that_would_fail_are_refused_early() {
    for seed in SEEDS {
        let equal_ranks = outcomes_of(seed, Policy::EqualRanks);
        let root_ranks = outcomes_of(seed, Policy::RootRanks);
        assert!(
            root_ranks[1].failed * 2 < equal_ranks[1].failed,
            "{equal_ranks:?}, {root_ranks:?}"
        );
        assert!(root_ranks[1].served > 0, "{root_ranks:?}");
    }
}

#[test]
fn trees_are_served_again_soon_after_the_load_falls() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed, Policy::RootRanks, &random_kinds(seed));
        simulation.run(14, 8, 10..14);
        for outcomes in &simulation.outcomes {
            assert!(outcomes.served_part() > 0.97, "seed {seed}: {outcomes:?}");
        }
    }
}
