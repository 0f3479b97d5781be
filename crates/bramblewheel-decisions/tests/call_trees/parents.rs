//! Inference of the running request that made a call.

use crate::at;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::running_requests::{RunningRequest, RunningRequests};
use http::HeaderValue;

fn of_rank(root_rank: u32) -> RunningRequest {
    RunningRequest {
        root_rank,
        tenant: None,
        class: RequestClass(1),
        retried_share: 0.0,
    }
}

#[test]
fn call_belongs_to_the_request_with_its_deadline() {
    let mut running = RunningRequests::default();
    running.begin(at(800), of_rank(0));
    running.begin(at(2_000), of_rank(2));
    running.begin(at(2_010), of_rank(2));
    assert_eq!(running.root_rank_of(at(798)), Some(0));
    assert_eq!(running.root_rank_of(at(1_999)), Some(2));
}

#[test]
fn call_with_less_time_gets_the_most_frequent_rank_of_requests_with_more() {
    let mut running = RunningRequests::default();
    running.begin(at(800), of_rank(0));
    let (one, other) = (
        running.begin(at(2_000), of_rank(2)),
        running.begin(at(2_010), of_rank(2)),
    );
    running.begin(at(3_000), of_rank(1));
    assert_eq!(running.root_rank_of(at(1_500)), Some(2));
    assert_eq!(running.root_rank_of(at(2_500)), Some(1));
    assert_eq!(running.root_rank_of(at(5_000)), None);
    running.end(one);
    running.end(other);
    assert_eq!(running.root_rank_of(at(1_500)), Some(1));
}

fn of_tenant(name: &'static str) -> RunningRequest {
    RunningRequest {
        tenant: Some(HeaderValue::from_static(name)),
        ..of_rank(0)
    }
}

/// Guards against calls of a small tenant being attributed to the large one that runs most requests.
#[test]
fn tenant_of_a_call_is_known_only_where_its_candidates_leave_no_doubt() {
    let mut running = RunningRequests::default();
    running.begin(at(800), of_tenant("small"));
    for _ in 0..3 {
        running.begin(at(2_000), of_tenant("large"));
    }
    let name = |running: &RunningRequests, deadline| running.tenant_of(at(deadline)).cloned();
    assert_eq!(name(&running, 798), of_tenant("small").tenant);
    assert_eq!(name(&running, 1_998), of_tenant("large").tenant);
    assert_eq!(name(&running, 1_500), of_tenant("large").tenant);
    assert_eq!(name(&running, 500), None);
    assert_eq!(name(&running, 5_000), None);
    for _ in 0..3 {
        running.begin(at(2_001), of_rank(0));
    }
    assert_eq!(name(&running, 1_999), None);
    assert_eq!(name(&running, 1_500), None);
}
