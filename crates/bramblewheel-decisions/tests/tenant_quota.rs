//! Quotas over all daemons, on virtual time: daemons that report to replicas and are told the sums.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use bramblewheel_control::node::usage::FleetUsage;
use bramblewheel_decisions::tenant_quota::{QuotaDecision, QuotaSettings, TenantQuotas};
use bramblewheel_decisions::tenants::Quota;
use bramblewheel_protocol::routing::{RenewRequest, TenantUsage};
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::{DaemonId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

const DAEMONS: usize = 72;
const TERMS: QuotaSettings = QuotaSettings {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};
const WINDOW_MILLIS: u64 = 5_000;
const TENANT: u64 = 17;
const STEP_MILLIS: u64 = 10;
const REPORT_MILLIS: u64 = 250;
/// From a report to the arrival of its answer.
const ANSWER_MILLIS: u64 = 60;
/// Between two words of a replica to the others, in steps of the time here.
const TELL_MILLIS: u64 = 80;
/// Wait for a replica that does not answer.
const TIMEOUT_MILLIS: u64 = 500;
const REPLICAS: usize = 3;
const END_MILLIS: u64 = 20_000;
/// When a tenant turns hot, and when it ends.
const HOT_MILLIS: std::ops::Range<u64> = 8_000..14_000;
const SEEDS: std::ops::Range<u64> = 0..6;
/// A large tenant, one of middling size and a small one.
const QUOTAS: [Quota; 3] = [
    Quota {
        rate: 390.0,
        burst: 390.0,
    },
    Quota {
        rate: 40.0,
        burst: 40.0,
    },
    Quota {
        rate: 12.0,
        burst: 12.0,
    },
];

/// How a tenant's requests come, and what goes wrong.
#[derive(Clone, Debug)]
struct Scene {
    quota: Quota,
    /// Requests a second as a multiple of the rate: usually, and while it is hot.
    usual: f64,
    hot: f64,
    /// Daemons at which the requests enter.
    entered: usize,
    /// Replicas that are lost, and when.
    lost_replicas: usize,
    lost_millis: std::ops::Range<u64>,
    /// Part of the answers that are lost.
    lost: f64,
}

impl Scene {
    fn calm(quota: Quota, usual: f64) -> Self {
        Self {
            quota,
            usual,
            hot: usual,
            entered: DAEMONS,
            lost_replicas: 0,
            lost_millis: 0..0,
            lost: 0.0,
        }
    }

    fn asked_per_second(&self, now: u64) -> f64 {
        let multiple = if HOT_MILLIS.contains(&now) {
            self.hot
        } else {
            self.usual
        };
        self.quota.rate * multiple
    }
}

#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    refused: usize,
    /// When requests were let in, in milliseconds.
    admitted: Vec<u64>,
}

impl Outcome {
    /// Most requests let in within any window.
    fn most_in_window(&self) -> usize {
        let mut first = 0;
        let mut most = 0;
        for (last, at) in self.admitted.iter().enumerate() {
            while self.admitted[first] + WINDOW_MILLIS <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    fn refused_part(&self) -> f64 {
        self.refused as f64 / self.asked.max(1) as f64
    }
}

fn bound(quota: Quota) -> f64 {
    let window = TERMS.window.as_secs_f64();
    (quota.rate * window + quota.burst) * (1.0 + TERMS.overshoot) + TERMS.slack
}

/// Sums on their way to a daemon.
struct Answer {
    due: u64,
    daemon: usize,
    own: Vec<TenantUsage>,
    sums: Vec<TenantUsage>,
}

/// The replicas, and which of them each daemon reports to.
struct Replicas {
    usage: Vec<FleetUsage>,
    asked: [usize; DAEMONS],
    /// Until when a daemon waits for a replica that does not answer.
    waits_until: [u64; DAEMONS],
}

impl Replicas {
    fn new() -> Self {
        Self {
            usage: (0..REPLICAS).map(|_| FleetUsage::default()).collect(),
            asked: std::array::from_fn(|daemon| daemon % REPLICAS),
            waits_until: [0; DAEMONS],
        }
    }

    /// Lost replicas come back without what they knew.
    fn restart(&mut self, lost: usize) {
        for usage in &mut self.usage[..lost] {
            *usage = FleetUsage::default();
        }
    }

    fn tell_each_other(&mut self, now: Timestamp, is_lost: impl Fn(usize) -> bool) {
        for from in (0..REPLICAS).filter(|replica| !is_lost(*replica)) {
            let Some(sums) = self.usage[from].sums_to_report(now) else {
                continue;
            };
            for to in (0..REPLICAS).filter(|to| *to != from && !is_lost(*to)) {
                self.usage[to].report_of_replica(now, ReplicaId(from as u64), sums.clone());
            }
        }
    }

    /// Sums for a daemon that reports now, if its replica answers.
    fn renew(
        &mut self,
        now: u64,
        daemon: usize,
        own: &[TenantUsage],
        is_lost: impl Fn(usize) -> bool,
    ) -> Option<Vec<TenantUsage>> {
        if now < self.waits_until[daemon] {
            return None;
        }
        let replica = self.asked[daemon];
        if is_lost(replica) {
            self.waits_until[daemon] = now + TIMEOUT_MILLIS;
            self.asked[daemon] = (replica + 1) % REPLICAS;
            return None;
        }
        let request = RenewRequest {
            daemon: DaemonId::new(&format!("daemon-{daemon}")).expect("a name"),
            incarnation: 1,
            usage: own.to_vec(),
        };
        let at = Timestamp::from_millis(now);
        self.usage[replica].report(at, &request);
        self.usage[replica].sums_for(at, own)
    }
}

/// Arrivals by chance, as many as are due on average.
fn arrivals(due: f64, random: &mut Pcg64Mcg) -> usize {
    const PARTS: u32 = 8;
    let mean = due / f64::from(PARTS);
    let drawn =
        |random: &mut Pcg64Mcg| mean as usize + usize::from(random.random_bool(mean.fract()));
    (0..PARTS).map(|_| drawn(random)).sum()
}

fn play(scene: &Scene, seed: u64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut daemons: Vec<TenantQuotas> = (0..DAEMONS).map(|_| TenantQuotas::new(TERMS)).collect();
    let mut replicas = Replicas::new();
    let mut answers: Vec<Answer> = Vec::new();
    let mut outcome = Outcome::default();
    for now in (0..END_MILLIS).step_by(STEP_MILLIS as usize) {
        let at = Timestamp::from_millis(now);
        let is_lost = |replica| replica < scene.lost_replicas && scene.lost_millis.contains(&now);
        if now == scene.lost_millis.end {
            replicas.restart(scene.lost_replicas);
        }
        if now % TELL_MILLIS == 0 {
            replicas.tell_each_other(at, is_lost);
        }
        let (arrived, waiting): (Vec<_>, Vec<_>) =
            answers.into_iter().partition(|answer| answer.due <= now);
        answers = waiting;
        for answer in arrived {
            daemons[answer.daemon].share_among(DAEMONS as u32);
            daemons[answer.daemon].take_sums(at, &answer.own, &answer.sums);
        }
        for (daemon, quotas) in daemons.iter_mut().enumerate() {
            let turn = (daemon as u64 * 37) % REPORT_MILLIS / STEP_MILLIS * STEP_MILLIS;
            if now % REPORT_MILLIS != turn {
                continue;
            }
            let own = quotas.usage(at);
            let Some(sums) = replicas.renew(now, daemon, &own, is_lost) else {
                continue;
            };
            if !random.random_bool(scene.lost) {
                answers.push(Answer {
                    due: now + ANSWER_MILLIS,
                    daemon,
                    own,
                    sums,
                });
            }
        }
        let due = scene.asked_per_second(now) * STEP_MILLIS as f64 / 1_000.0;
        for _ in 0..arrivals(due, &mut random) {
            let daemon = random.random_range(0..scene.entered);
            let chance = random.random_range(0.0..1.0);
            outcome.asked += 1;
            match daemons[daemon].decide(at, TENANT, scene.quota, chance) {
                QuotaDecision::Admitted(_) => outcome.admitted.push(now),
                QuotaDecision::Over(_) => outcome.refused += 1,
            }
        }
    }
    outcome
}

fn assert_bounded(scene: &Scene, seed: u64) -> Outcome {
    let outcome = play(scene, seed);
    let most = outcome.most_in_window() as f64;
    let bound = bound(scene.quota);
    assert!(
        most <= bound,
        "{most} of {bound} in a window, seed {seed}, {scene:?}"
    );
    outcome
}

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

/// Daemons that never hear of each other let in far too much: the sums are what holds the bound.
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

/// Only what runs uses up a quota: a request that was refused after it was let in leaves its part to the
/// next one.
#[test]
fn what_has_not_run_is_taken_back() {
    let now = Timestamp::from_millis(10_000);
    let quota = Quota {
        rate: 2.0,
        burst: 0.0,
    };
    let mut quotas = TenantQuotas::new(TERMS);
    let mut let_in_for_good = 0;
    for number in 0..40 {
        let QuotaDecision::Admitted(admitted) = quotas.decide(now, TENANT, quota, 0.5) else {
            panic!("request {number} is refused although few have run");
        };
        if number % 10 == 0 {
            let_in_for_good += 1;
        } else {
            quotas.refund(admitted);
        }
        let own = quotas.usage(now);
        assert_eq!(own[0].admitted, let_in_for_good);
        assert_eq!(own[0].asked, let_in_for_good);
        quotas.take_sums(now, &own, &own);
    }
}

/// Requests begin while no replica can be asked: an even part of the quota is let in at each daemon.
#[test]
fn requests_that_begin_without_any_sums_get_an_even_part() {
    let now = Timestamp::from_millis(10_000);
    let mut quotas = TenantQuotas::new(TERMS);
    quotas.share_among(72);
    quotas.take_sums(Timestamp::from_millis(5_000), &[], &[]);
    let quota = QUOTAS[0];
    let decided = (0..100).map(|_| quotas.decide(now, TENANT, quota, 0.5));
    let admitted = decided.filter(|decided| matches!(decided, QuotaDecision::Admitted(_)));
    let even = (quota.rate * 5.0 + quota.burst) / 72.0;
    let count = admitted.count() as f64;
    assert!((count - even).abs() <= 1.0, "{count} of {even}");
}
