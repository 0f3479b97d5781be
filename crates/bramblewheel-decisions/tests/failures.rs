//! Endpoints that fail their requests quickly: effects on endpoint selection and retries.

use bramblewheel_decisions::directory::{AttemptEnd, Directory, LoadReport};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::retry_bound::{RetryBound, RetryDecision, RetryReason};
use bramblewheel_decisions::retry_budget::{FirstSend, RetryBoundSettings};
use bramblewheel_protocol::routing::{EndpointRecord, EndpointState, EndpointUpdate};
use bramblewheel_types::{DaemonId, EndpointId, Millis, ServiceName, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..20;
/// Time between two requests.
const STEP_MILLIS: u64 = 20;

fn kassa() -> ServiceName {
    ServiceName::new("kassa").expect("valid name")
}

fn directory(endpoints: &[&str]) -> Directory {
    let zone = ZoneName::new("north").expect("valid name");
    let daemon = DaemonId::new("caller").expect("valid name");
    let mut directory = Directory::new(zone.clone(), daemon);
    for name in endpoints {
        let record = EndpointRecord {
            endpoint: EndpointId::new(name).expect("valid name"),
            service: kassa(),
            daemon: DaemonId::new(name).expect("valid name"),
            address: ([127, 0, 0, 1], 1).into(),
            endpoint_address: ([127, 0, 0, 1], 2).into(),
            zone: zone.clone(),
            slots: 10,
            state: EndpointState::Ready,
            sequence: 1,
            cold_for: Millis(0),
        };
        directory.apply(
            Timestamp::ZERO,
            &EndpointUpdate {
                revision: 1,
                record,
            },
        );
    }
    directory
}

/// Sends a request in each of `steps` and returns their number by endpoint. Those to `failing` endpoints fail with
/// probability `share` after a fifth of the usual time.
fn run(
    directory: &mut Directory,
    steps: std::ops::Range<u64>,
    failing: &[&str],
    share: f64,
    random: &mut Pcg64Mcg,
) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for step in steps {
        let now = Timestamp::from_millis(step * STEP_MILLIS);
        let choice = directory
            .choose(now, &kassa(), "r", &[], random)
            .expect("an endpoint");
        let name = choice.endpoint.to_string();
        let has_failed = failing.contains(&name.as_str()) && random.random_bool(share);
        let end = if has_failed {
            AttemptEnd::Failed(Duration::from_millis(20))
        } else {
            AttemptEnd::Answered(Duration::from_millis(100))
        };
        directory.record_end(now, &choice.endpoint, "r", end, None);
        *counts.entry(name).or_default() += 1;
    }
    counts
}

#[test]
fn endpoint_that_fails_fast_gets_fewer_requests() {
    for seed in SEEDS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut directory = directory(&["grey", "sound-1", "sound-2", "sound-3"]);
        let counts = run(&mut directory, 0..500, &["grey"], 0.45, &mut random);
        let grey = counts.get("grey").copied().unwrap_or_default();
        assert!(grey < 25, "seed {seed}: {counts:?}");
    }
}

#[test]
fn recovered_endpoint_gets_its_share_again() {
    for seed in SEEDS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut directory = directory(&["grey", "sound"]);
        run(&mut directory, 0..200, &["grey"], 1.0, &mut random);
        // 8 s later the share of failures has decayed.
        let counts = run(&mut directory, 600..800, &[], 0.0, &mut random);
        let grey = counts.get("grey").copied().unwrap_or_default();
        assert!(grey > 60, "seed {seed}: {counts:?}");
    }
}

#[test]
fn no_endpoint_is_avoided_if_all_fail_alike() {
    for seed in SEEDS {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let names = ["one", "two", "three"];
        let mut directory = directory(&names);
        let counts = run(&mut directory, 0..900, &names, 0.5, &mut random);
        for name in names {
            let count = counts.get(name).copied().unwrap_or_default();
            assert!(count > 150, "seed {seed}: {counts:?}");
        }
    }
}

/// Failures reported by the endpoint's daemon count before this daemon has seen one.
#[test]
fn reported_failures_count_at_once() {
    let mut directory = directory(&["grey", "sound"]);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let grey = EndpointId::new("grey").expect("valid name");
    let report = LoadReport {
        busy: 0,
        limit: 10,
        failed_percent: 40,
    };
    let end = AttemptEnd::Answered(Duration::from_millis(100));
    directory.record_end(Timestamp::ZERO, &grey, "r", end, Some(report));
    for _ in 0..3 {
        let choice = directory.choose(Timestamp::ZERO, &kassa(), "r", &[], &mut random);
        assert_eq!(choice.expect("an endpoint").endpoint.name(), "sound");
    }
}

/// A retry of a request that has run makes its calls again, so less of the budget may be used for it.
#[test]
fn retries_of_failed_requests_leave_budget_for_others() {
    let settings = RetryBoundSettings {
        ratio: 0.2,
        slack: 0.0,
        window: Duration::from_secs(10),
    };
    // The first window is over, so that the whole budget is available.
    let now = Timestamp::from_millis(10_000);
    let mut bound = RetryBound::new(settings, Timestamp::ZERO);
    let send = FirstSend {
        is_likely_nested: false,
        retried_share: 0.0,
    };
    for _ in 0..1_000 {
        assert!(bound.admit_first_send(now, &kassa(), send, 0.0));
    }
    let mut may_retry = |reason| {
        let decision = bound.decide_retry(now, &kassa(), RequestClass(1), reason);
        decision == RetryDecision::Allowed
    };
    let failures = (0..1_000)
        .filter(|_| may_retry(RetryReason::Failed))
        .count();
    let reason = RetryReason::Unanswered { is_important: true };
    let is_retried = |_: &u32| may_retry(reason);
    let others = (0..1_000).filter(is_retried).count();
    assert_eq!((failures, others), (50, 110));
}
