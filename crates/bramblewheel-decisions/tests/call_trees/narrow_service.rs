//! What comes of trees that share a narrow service.

use crate::scene::{CAPACITY, Kind, Outcomes, Policy, Scene};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: std::ops::Range<u64> = 0..12;

/// Two kinds of trees whose calls meet in one service that has capacity for about half of them; the more
/// urgent ones alone need less than it has.
fn drawn_kinds(seed: u64) -> Vec<Kind> {
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

fn played(seed: u64, policy: Policy) -> Vec<Outcomes> {
    let mut scene = Scene::new(seed, policy, &drawn_kinds(seed));
    scene.run(10, 10, 2..10);
    scene.outcomes
}

#[test]
fn urgent_trees_are_served_where_less_urgent_ones_meet_them_in_a_narrow_service() {
    for seed in SEEDS {
        let alone = played(seed, Policy::CallsAlone);
        let whole = played(seed, Policy::WholeTrees);
        println!("seed {seed}: calls alone {alone:?}, whole trees {whole:?}");
        assert!(
            alone[0].served_part() < 0.9,
            "the scene must be one of shortage"
        );
        assert!(whole[0].served_part() > 0.98, "{whole:?}");
    }
}

#[test]
fn trees_that_can_not_end_are_mostly_not_begun() {
    for seed in SEEDS {
        let alone = played(seed, Policy::CallsAlone);
        let whole = played(seed, Policy::WholeTrees);
        assert!(
            whole[1].failed * 2 < alone[1].failed,
            "{alone:?}, {whole:?}"
        );
        assert!(whole[1].served > 0, "{whole:?}");
    }
}

#[test]
fn trees_are_served_again_soon_after_the_load_has_fallen() {
    for seed in SEEDS {
        let mut scene = Scene::new(seed, Policy::WholeTrees, &drawn_kinds(seed));
        scene.run(14, 8, 10..14);
        for outcomes in &scene.outcomes {
            assert!(outcomes.served_part() > 0.97, "seed {seed}: {outcomes:?}");
        }
    }
}
