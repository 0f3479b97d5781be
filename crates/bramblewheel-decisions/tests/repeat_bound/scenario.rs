//! Scenarios: services with their calls and faults, and the fleet.

use bramblewheel_decisions::retry_budget::RetryBoundSettings;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::time::Duration;

/// Length of a scenario in seconds.
pub const SECONDS: u64 = 16;
/// The bound that the product guarantees.
pub const SETTINGS: RetryBoundSettings = RetryBoundSettings {
    ratio: 0.2,
    slack: 57.0,
    window: Duration::from_secs(10),
};
/// Most calls to the lowest service that one request at the top may cause.
const MAX_CALLS: u32 = 40;
/// Requests per second at the lowest service.
const LOWEST_PER_SECOND: f64 = 700.0;

/// Calls that a run makes to another service.
#[derive(Clone, Copy, Debug)]
pub struct Calls {
    pub service: usize,
    pub times: u32,
    pub is_parallel: bool,
}

/// One service.
#[derive(Clone, Debug)]
pub struct Service {
    pub endpoints: usize,
    pub work_millis: u64,
    pub calls: Vec<Calls>,
    /// Time limit of calls to it, if shorter than the caller's time left.
    pub limit_millis: Option<u64>,
    pub is_repeatable: bool,
    /// Requests of callers from outside, per second.
    pub roots_per_second: f64,
    /// Part of these that make calls; the others make none.
    pub calling_part: f64,
    /// Part of all requests that its endpoints reject while the fault lasts.
    pub rejected: f64,
    /// Part of its answers that are lost while the fault lasts.
    pub lost: f64,
    /// Part of its runs that fail on their own.
    pub failed: f64,
    /// When the fault lasts, in milliseconds.
    pub fault: Range<u64>,
}

/// A deployment, its load and its faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub services: Vec<Service>,
    /// Daemons without an endpoint of these services; callers enter there as well.
    pub other_daemons: usize,
    /// Whether most callers enter at few daemons.
    pub is_skewed: bool,
    /// Times in milliseconds at which a daemon restarts without its state.
    pub restarts: Vec<u64>,
}

fn service(endpoints: usize, work_millis: u64) -> Service {
    Service {
        endpoints,
        work_millis,
        calls: Vec::new(),
        limit_millis: None,
        is_repeatable: true,
        roots_per_second: 0.0,
        calling_part: 1.0,
        rejected: 0.0,
        lost: 0.0,
        failed: 0.0,
        fault: 2_000..12_000,
    }
}

fn calls(service: usize, times: u32) -> Vec<Calls> {
    vec![Calls {
        service,
        times,
        is_parallel: false,
    }]
}

impl Scenario {
    /// Three services reject 0.4 of their requests; the bottleneck service downstream of them rejects none.
    pub fn rejections_above() -> Self {
        let above = |calls, roots_per_second| Service {
            calls,
            roots_per_second,
            rejected: 0.4,
            ..service(4, 20)
        };
        let mut services = vec![
            above(calls(1, 1), 90.0),
            above(calls(2, 1), 40.0),
            above(calls(3, 4), 0.0),
            service(4, 40),
        ];
        services[2].limit_millis = Some(2_000);
        services[3].limit_millis = Some(700);
        services[3].roots_per_second = 30.0;
        Self {
            services,
            other_daemons: 1,
            is_skewed: false,
            restarts: Vec::new(),
        }
    }

    /// Trees of one to six services in a row, of one to six calls each, with random faults for each service.
    pub fn random(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let depth = random.random_range(1..7);
        let mut services: Vec<Service> = Vec::new();
        let mut fan_out = 1;
        for number in 0..depth {
            let mut service = random_service(&mut random);
            let most = (MAX_CALLS / fan_out).clamp(1, 6);
            let times = random.random_range(1..=most);
            if number + 1 < depth {
                fan_out *= times;
                service.calls = calls(number + 1, times);
                service.calls[0].is_parallel = random.random_bool(0.4);
            }
            services.push(service);
        }
        services[0].roots_per_second = LOWEST_PER_SECOND / f64::from(fan_out);
        for service in services.iter_mut().skip(1) {
            if random.random_bool(0.3) {
                service.roots_per_second = random.random_range(5.0..60.0);
            }
        }
        let daemons_beside: usize = services.iter().map(|service| service.endpoints).sum();
        let daemons = *[17, 17, 40, 100, 300]
            .get(random.random_range(0..5))
            .unwrap_or(&17);
        let restarts = random.random_range(0..12);
        let restarts = (0..restarts)
            .map(|_| random.random_range(2_000..14_000))
            .collect();
        Self {
            other_daemons: usize::saturating_sub(daemons, daemons_beside),
            is_skewed: random.random_bool(0.4),
            restarts,
            services,
        }
    }
}

fn random_service(random: &mut Pcg64Mcg) -> Service {
    let begin = random.random_range(0..5_000);
    let end = begin + random.random_range(1_000..11_000);
    let strength = |random: &mut Pcg64Mcg, most: f64| {
        let occurs = random.random_bool(0.5);
        if occurs {
            random.random_range(0.0..most)
        } else {
            0.0
        }
    };
    Service {
        limit_millis: random
            .random_bool(0.6)
            .then(|| random.random_range(300..2_000)),
        is_repeatable: random.random_bool(0.8),
        calling_part: if random.random_bool(0.3) {
            random.random_range(0.2..1.0)
        } else {
            1.0
        },
        rejected: strength(random, 0.8),
        lost: strength(random, 0.5),
        failed: strength(random, 0.1),
        fault: begin..end,
        ..service(random.random_range(2..9), random.random_range(5..60))
    }
}
