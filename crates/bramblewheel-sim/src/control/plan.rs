//! Plan of all publishes of a run, drawn once per seed.

use super::bundles::BundlePlan;
use super::scenario::Load;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Version of the bundle with which the group is bootstrapped.
pub(super) const FIRST_VERSION: u64 = 1;

/// One publish.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedPublish {
    /// Time since the start of the load.
    pub(super) at: Duration,
    pub(super) operator: usize,
    pub(super) bundle: BundlePlan,
}

/// All publishes of a run.
#[derive(Debug)]
pub(super) struct PublishPlan {
    pub(super) publishes: Vec<PlannedPublish>,
    /// Time of the last possible publish, since the start of the load.
    pub(super) end: Duration,
    /// A bundle with a version above all others, for the audit.
    pub(super) last: BundlePlan,
}

impl PublishPlan {
    pub(super) fn draw(load: &Load, random: &mut Pcg64Mcg) -> Self {
        let rounds = load.rounds.draw(random);
        let mut publishes = Vec::new();
        let mut at = Duration::ZERO;
        for round in 0..rounds {
            at += load.every_ms.draw(random);
            let operators = operators_in_round(load, round);
            for operator in operators {
                let spread = Duration::from_millis(random.random_range(0..=load.spread_ms));
                publishes.push(PlannedPublish {
                    at: at + spread,
                    operator: operator as usize,
                    bundle: bundle(load, round, operator),
                });
            }
        }
        Self {
            publishes,
            end: at + Duration::from_millis(load.spread_ms),
            last: bundle(load, rounds, 0),
        }
    }
}

fn operators_in_round(load: &Load, round: u64) -> std::ops::Range<u64> {
    if load.race {
        return 0..load.operators;
    }
    let operator = round % load.operators;
    operator..operator + 1
}

fn bundle(load: &Load, round: u64, operator: u64) -> BundlePlan {
    BundlePlan {
        version: FIRST_VERSION + 1 + round,
        variant: operator,
        generation: round.checked_div(load.rotate_keys_every).unwrap_or(0),
    }
}
