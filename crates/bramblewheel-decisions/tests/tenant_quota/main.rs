//! Quotas over all daemons, on virtual time: daemons that report to replicas and receive the sums.

mod fleet;
mod single;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use bramblewheel_decisions::tenants::Quota;
use fleet::{
    DAEMONS, HOT_MILLIS, QUOTAS, REPLICAS, STEP_MILLIS, Scene, assert_bounded, bound, play,
};

const SEEDS: std::ops::Range<u64> = 0..6;

/// A tenant at nineteen twentieths of its rate, whichever daemons its requests enter at.
#[test]
fn what_a_tenant_may_ask_for_is_let_in() {
    for quota in QUOTAS {
        for entered in [DAEMONS, 10, 1] {
            for seed in SEEDS {
                let scene = Scene {
                    entered,
                    ..Scene::calm(quota, 0.95)
                };
                let outcome = assert_bounded(&scene, seed);
                let refused = outcome.refused_part();
                // In five seconds at 12 a second, chance alone exceeds the quota now and then.
                let most = if quota.rate > 100.0 { 0.01 } else { 0.1 };
                assert!(refused < most, "{refused} refused, seed {seed}, {scene:?}");
            }
        }
    }
}

/// A tenant that asks for 7.5 times its usual is held to its quota from the first seconds on, and gets
/// what it may.
#[test]
fn a_hot_tenant_is_held_to_its_quota_and_gets_it() {
    for quota in QUOTAS {
        for entered in [DAEMONS, 10] {
            for seed in SEEDS {
                let scene = Scene {
                    hot: 4.7,
                    entered,
                    ..Scene::calm(quota, 0.625)
                };
                let outcome = assert_bounded(&scene, seed);
                let hot = outcome.admitted.iter().filter(|at| HOT_MILLIS.contains(at));
                let seconds = (HOT_MILLIS.end - HOT_MILLIS.start) as f64 / 1_000.0;
                let part = hot.count() as f64 / (quota.rate * seconds);
                assert!(
                    part > 0.95,
                    "only {part} of the rate, seed {seed}, {scene:?}"
                );
            }
        }
    }
}

/// A replica is lost as a tenant turns hot, and comes back with nothing.
#[test]
fn the_loss_of_a_replica_lets_no_more_in() {
    for quota in QUOTAS {
        for begin in [7_000, 7_600, 7_900, 9_000] {
            for seed in SEEDS {
                let scene = Scene {
                    hot: 4.7,
                    lost_replicas: 1,
                    lost_millis: begin..begin + 1_000,
                    ..Scene::calm(quota, 0.625)
                };
                assert_bounded(&scene, seed);
            }
        }
    }
}

/// In calm the loss of a replica costs the callers nothing to speak of.
#[test]
fn in_calm_the_loss_of_a_replica_refuses_few() {
    for quota in QUOTAS {
        for seed in SEEDS {
            let scene = Scene {
                lost_replicas: 1,
                lost_millis: 9_000..11_000,
                ..Scene::calm(quota, 0.625)
            };
            let refused = assert_bounded(&scene, seed).refused_part();
            assert!(refused < 0.01, "{refused} refused, seed {seed}, {scene:?}");
        }
    }
}

/// All replicas die at once, and the tenant turns hot meanwhile: daemons hold to their parts. Where it
/// turned hot right before, that suffices for large tenants only: 72 daemons can't share out 99 requests
/// so closely.
#[test]
fn the_loss_of_all_replicas_lets_no_more_in() {
    let just_before = [(QUOTAS[0], 8_400)];
    let meanwhile = QUOTAS
        .into_iter()
        .flat_map(|quota| [(quota, 7_000), (quota, 7_600)]);
    for (quota, begin) in meanwhile.chain(just_before) {
        for seed in SEEDS {
            let scene = Scene {
                hot: 4.7,
                lost_replicas: REPLICAS,
                lost_millis: begin..begin + 1_600,
                ..Scene::calm(quota, 0.625)
            };
            assert_bounded(&scene, seed);
        }
    }
}

fn drawn_scene(u: &mut Unstructured<'_>) -> Drawn<Scene> {
    let rate = f64::from(u.int_in_range(2_u32..=400)?);
    let begin = u.int_in_range(500_u64..=900)? * STEP_MILLIS;
    let length = u.int_in_range(0_u64..=60)? * STEP_MILLIS;
    Ok(Scene {
        quota: Quota { rate, burst: rate },
        usual: f64::from(u.int_in_range(1_u32..=12)?) / 10.0,
        hot: f64::from(u.int_in_range(1_u32..=50)?) / 10.0,
        entered: u.int_in_range(1_usize..=DAEMONS)?,
        lost_replicas: u.int_in_range(0..=1)?,
        lost_millis: begin..begin + length,
        lost: f64::from(u.int_in_range(0_u32..=20)?) / 100.0,
    })
}

#[test]
fn the_bound_holds_for_any_split_and_some_losses() {
    for seed in 0..24_u64 {
        arbtest::arbtest(|u| {
            let scene = drawn_scene(u)?;
            assert_bounded(&scene, seed);
            Ok(())
        })
        .seed(seed << 32 | 256);
    }
}

/// Daemons that know nothing of each other admit far too much: the sums are what holds the bound.
#[test]
fn without_sums_the_bound_breaks() {
    let scene = Scene {
        hot: 4.7,
        lost: 1.0,
        ..Scene::calm(QUOTAS[0], 0.625)
    };
    let most = play(&scene, 1).most_in_window() as f64;
    assert!(most > bound(scene.quota), "{most}");
}
