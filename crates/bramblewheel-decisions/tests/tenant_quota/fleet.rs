//! Daemons and replicas on virtual time, and the requests of one tenant that enter there.

use bramblewheel_control::node::usage::FleetUsage;
use bramblewheel_decisions::tenant_quota::{QuotaDecision, QuotaSettings, TenantQuotas};
use bramblewheel_decisions::tenants::Quota;
use bramblewheel_protocol::routing::{RenewRequest, TenantUsage};
use bramblewheel_replication::ReplicaId;
use bramblewheel_types::{DaemonId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

pub const DAEMONS: usize = 72;
pub const TERMS: QuotaSettings = QuotaSettings {
    window: Duration::from_secs(5),
    overshoot: 0.1,
    slack: 20.0,
};
const WINDOW_MILLIS: u64 = 5_000;
pub const TENANT: u64 = 17;
pub const STEP_MILLIS: u64 = 10;
const REPORT_MILLIS: u64 = 250;
/// From a report to the arrival of its answer.
const ANSWER_MILLIS: u64 = 60;
/// Between two reports of a replica to the others, in steps of the time here.
const EXCHANGE_MILLIS: u64 = 80;
/// Wait for a replica that does not answer.
const TIMEOUT_MILLIS: u64 = 500;
pub const REPLICAS: usize = 3;
const END_MILLIS: u64 = 20_000;
/// When a tenant turns hot, and when it ends.
pub const HOT_MILLIS: std::ops::Range<u64> = 8_000..14_000;
/// A large tenant, one of middling size and a small one.
pub const QUOTAS: [Quota; 3] = [
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
pub struct Scene {
    pub quota: Quota,
    /// Requests a second as a multiple of the rate: usually, and while it is hot.
    pub usual: f64,
    pub hot: f64,
    /// Daemons at which the requests enter.
    pub entered: usize,
    /// Replicas that are lost, and when.
    pub lost_replicas: usize,
    pub lost_millis: std::ops::Range<u64>,
    /// Part of the answers that are lost.
    pub lost: f64,
}

impl Scene {
    pub fn calm(quota: Quota, usual: f64) -> Self {
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
pub struct Outcome {
    pub asked: usize,
    pub refused: usize,
    /// When requests were admitted, in milliseconds.
    pub admitted: Vec<u64>,
}

impl Outcome {
    /// Most requests admitted within any window.
    pub fn most_in_window(&self) -> usize {
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

    pub fn refused_part(&self) -> f64 {
        self.refused as f64 / self.asked.max(1) as f64
    }
}

pub fn bound(quota: Quota) -> f64 {
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

    fn exchange_sums(&mut self, now: Timestamp, is_lost: impl Fn(usize) -> bool) {
        for from in (0..REPLICAS).filter(|replica| !is_lost(*replica)) {
            let Some(sums) = self.usage[from].sums_to_report(now) else {
                continue;
            };
            for to in (0..REPLICAS).filter(|to| *to != from && !is_lost(*to)) {
                self.usage[to].report_from_replica(now, ReplicaId(from as u64), sums.clone());
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

pub fn play(scene: &Scene, seed: u64) -> Outcome {
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
        if now % EXCHANGE_MILLIS == 0 {
            replicas.exchange_sums(at, is_lost);
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

pub fn assert_bounded(scene: &Scene, seed: u64) -> Outcome {
    let outcome = play(scene, seed);
    let most = outcome.most_in_window() as f64;
    let bound = bound(scene.quota);
    assert!(
        most <= bound,
        "{most} of {bound} in a window, seed {seed}, {scene:?}"
    );
    outcome
}
