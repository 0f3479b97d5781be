//! Inference of nested classes.

use crate::service;
use bramblewheel_decisions::nested_routes::{MachineShares, NestedRoutes};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_types::ServiceName;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Services that each have the same part of the machines.
struct EvenShares(usize);

impl MachineShares for EvenShares {
    fn share_of(&self, services: &[&ServiceName]) -> f64 {
        services.len() as f64 / self.0 as f64
    }
}

const CLASS: RequestClass = RequestClass(7);
const OTHER_CLASS: RequestClass = RequestClass(8);

#[test]
fn route_called_by_one_service_is_nested() {
    let mut routes = NestedRoutes::default();
    let shares = EvenShares(4);
    for _ in 0..4 {
        routes.record(CLASS, &service(1));
        assert!(
            !routes.is_likely_nested(CLASS, &shares),
            "too few requests for an inference"
        );
    }
    for number in 0..1_000 {
        // A stray request from another machine.
        let caller = if number % 200 == 199 { 3 } else { 1 };
        routes.record(CLASS, &service(caller));
    }
    assert!(routes.is_likely_nested(CLASS, &shares));
    assert!(
        !routes.is_likely_nested(OTHER_CLASS, &shares),
        "class without requests"
    );
    // Callers from outside begin to send requests.
    for number in 0..400 {
        routes.record(CLASS, &service(number % 4));
    }
    assert!(!routes.is_likely_nested(CLASS, &shares));
}

#[test]
fn route_called_from_every_machine_is_not_nested() {
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut routes = NestedRoutes::default();
        let services = random.random_range(2..7);
        for _ in 0..1_000 {
            let caller = random.random_range(0..services);
            routes.record(CLASS, &service(caller));
            assert!(!routes.is_likely_nested(CLASS, &EvenShares(services)));
        }
    }
}

/// Four services, the last of which has few machines.
struct UnevenShares;

const UNEVEN: [f64; 4] = [0.48, 0.36, 0.11, 0.05];

impl MachineShares for UnevenShares {
    fn share_of(&self, services: &[&ServiceName]) -> f64 {
        let part_of = |number: usize| {
            let is_named = services.contains(&&service(number));
            if is_named { UNEVEN[number] } else { 0.0 }
        };
        (0..UNEVEN.len()).map(part_of).sum()
    }
}

/// A service with few machines sends so little that it sometimes looks like a stray caller.
#[test]
fn route_that_a_small_service_rarely_calls_is_not_nested() {
    for seed in 0..20 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut routes = NestedRoutes::default();
        for _ in 0..2_000 {
            let drawn: f64 = random.random_range(0.0..1.0);
            let mut sum = 0.0;
            let caller = UNEVEN.iter().position(|part| {
                sum += part;
                drawn < sum
            });
            routes.record(CLASS, &service(caller.unwrap_or(0)));
            assert!(
                !routes.is_likely_nested(CLASS, &UnevenShares),
                "seed {seed}"
            );
        }
        for _ in 0..400 {
            routes.record(OTHER_CLASS, &service(0));
        }
        assert!(routes.is_likely_nested(OTHER_CLASS, &UnevenShares));
    }
}
