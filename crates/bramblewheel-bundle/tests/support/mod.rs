//! Bundles and keys for the tests.

#![allow(dead_code, reason = "each test program uses its own part")]

use arbtest::arbitrary::{Result, Unstructured};
use bramblewheel_bundle::{
    AdmissionPolicy, Bundle, OperatorKey, OperatorPolicy, RoutePolicy, RoutingPolicy,
    ServicePolicy, defaults, parse,
};
use bramblewheel_types::{BundleVersion, Criticality, Millis, ServiceName};
use std::collections::BTreeMap;

/// A bundle with every kind of entry. Unlike the examples it must not change: tests rely on its line numbers
/// and its digest.
pub const TORGNETT: &str = include_str!("known.toml");

pub fn torgnett() -> Bundle {
    parse("torgnett.toml", TORGNETT).expect("the test bundle is valid")
}

/// A bundle at the size that the project is designed for: 460 services with 8 routes each.
pub fn large_bundle() -> Bundle {
    const SERVICES: usize = 460;
    const ROUTES: usize = 8;
    let mut bundle = torgnett();
    let mut policy = bundle.services[&service("kassa")].clone();
    let route = policy.routes[0].clone();
    let route = |index| RoutePolicy {
        prefix: format!("/a-path-of-usual-length-{index}/"),
        ..route.clone()
    };
    policy.routes = (0..ROUTES).map(route).collect();
    let name = |index| service(&format!("service-of-usual-name-{index}"));
    bundle.services = (0..SERVICES)
        .map(|index| (name(index), policy.clone()))
        .collect();
    bundle
}

pub fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("valid name")
}

/// Keys `operator-0`, `operator-1` and so on.
pub fn keys(count: u8) -> Vec<OperatorKey> {
    (0..count)
        .map(|index| OperatorKey::from_secret(&format!("operator-{index}"), &[index + 1; 32]))
        .collect::<std::result::Result<_, _>>()
        .expect("valid names")
}

pub fn policy(required_signatures: u32, keys: &[OperatorKey]) -> OperatorPolicy {
    let entry = |key: &OperatorKey| (key.name().to_owned(), key.public_key());
    OperatorPolicy {
        required_signatures,
        keys: keys.iter().map(entry).collect(),
    }
}

/// Checks a property for `count` random inputs of `size` bytes each, the same ones in every run.
///
/// With a seed, arbtest runs the property once; the seed's lower half is the size, its upper half seeds the
/// generator.
pub fn for_seeds(
    count: u64,
    size: u32,
    mut property: impl FnMut(&mut Unstructured<'_>) -> Result<()>,
) {
    for seed in 1..=count {
        let start = seed.wrapping_mul(0x9E37_79B1) & 0xFFFF_FFFF;
        arbtest::arbtest(&mut property).seed(start << 32 | u64::from(size));
    }
}

/// Generates a valid bundle.
pub fn arbitrary_bundle(u: &mut Unstructured<'_>) -> Result<Bundle> {
    let keys = keys(u.int_in_range(1..=4)?);
    let required = u.int_in_range(1..=keys.len() as u32)?;
    let mut services = BTreeMap::new();
    for index in 0..u.int_in_range(1..=5)? {
        services.insert(service(&format!("service-{index}")), arbitrary_service(u)?);
    }
    let mut limits = defaults::LIMITS;
    limits.retry_tokens = u.int_in_range(0..=100)?;
    limits.max_depth = u.int_in_range(1..=255)?;
    Ok(Bundle {
        version: BundleVersion(u.int_in_range(1..=u64::MAX)?),
        deployment: "trial".to_owned(),
        operators: policy(required, &keys),
        limits,
        services,
    })
}

fn arbitrary_service(u: &mut Unstructured<'_>) -> Result<ServicePolicy> {
    let min_concurrency = u.int_in_range(1..=50)?;
    let mut routes = Vec::new();
    for index in 0..u.int_in_range(0..=4)? {
        routes.push(RoutePolicy {
            prefix: format!("/{index}\\\"'{}", u.choose(&["", "/x", "~"])?),
            criticality: u.arbitrary::<bool>()?.then_some(Criticality::Low),
            deadline: u.arbitrary::<bool>()?.then_some(Millis(1_500)),
            repeatable: u.arbitrary()?,
        });
    }
    Ok(ServicePolicy {
        criticality: *u.choose(&Criticality::ALL)?,
        deadline: Millis(u.int_in_range(1..=60_000)?),
        admission: AdmissionPolicy {
            queue_length: u.int_in_range(0..=1_000)?,
            min_concurrency,
            max_concurrency: min_concurrency + u.int_in_range(0..=50)?,
            max_sessions: u.int_in_range(0..=1_000)?,
        },
        routing: RoutingPolicy {
            spill_over_percent: u.int_in_range(1..=200)?,
            slow_start: Millis(u.int_in_range(0..=60_000)?),
            max_ejected_percent: u.int_in_range(0..=100)?,
            max_connections: u.int_in_range(1..=100)?,
        },
        routes,
    })
}
