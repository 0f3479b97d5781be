//! Surplus answers of endpoints: they belong to no request and prove nothing about one.

use crate::support::endpoint::Behavior;
use crate::support::{TestCluster, mark_route_as_nested};
use http::StatusCode;

/// How often a request ran at all endpoints together.
fn run_count(cluster: &TestCluster, id: &str) -> usize {
    let endpoints = cluster.endpoints.iter();
    endpoints.map(|endpoint| endpoint.run_count(id)).sum()
}

/// Checks that a request ran at most once, and that its answer does not say "not run" if it ran.
fn assert_outcome_is_true(cluster: &TestCluster, id: &str, status: StatusCode) {
    let runs = run_count(cluster, id);
    assert!(runs <= 1, "{id} ran {runs} times");
    if status == StatusCode::SERVICE_UNAVAILABLE {
        assert_eq!(runs, 0, "{id} was refused");
    }
}

/// Guards against taking the late copy of a rejection for the answer to the next send of the same request.
#[tokio::test]
async fn call_that_endpoints_rejected_does_not_run_twice_after_a_late_copy_of_the_rejection() {
    let cluster = TestCluster::start(2).await;
    // Each request allows a share of a retry; the bound is low because the daemon has just started.
    for number in 0..240 {
        let id = format!("before-{number}");
        let answer = cluster.call(0, "/once/", &id).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
    }
    mark_route_as_nested(&cluster.daemons[0], "/once/");
    for number in 0..8 {
        let id = format!("r-{number}");
        for endpoint in &cluster.endpoints {
            endpoint.script(&[Behavior::NotRunTwice]);
        }
        let answer = cluster.call(0, "/once/", &id).await.expect("an answer");
        assert_outcome_is_true(&cluster, &id, answer.status);
        if number == 0 {
            assert_eq!(answer.status, StatusCode::OK);
        }
    }
}

/// Guards against the same confusion when the caller sends a rejected request again under its id.
#[tokio::test]
async fn request_resent_by_its_caller_is_not_refused_after_it_ran() {
    let cluster = TestCluster::start(1).await;
    cluster.endpoints[0].script(&[Behavior::NotRunTwice]);
    let refused = cluster.call(0, "/once/", "r-1").await.expect("an answer");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    let answer = cluster.call(0, "/once/", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(run_count(&cluster, "r-1"), 1);
}

/// Guards against believing a rejection that may belong to another request.
#[tokio::test]
async fn rejection_without_an_id_does_not_prove_that_the_request_has_not_run() {
    let cluster = TestCluster::start(2).await;
    for endpoint in &cluster.endpoints {
        endpoint.script(&[Behavior::NotRunWithoutId]);
    }
    let answer = cluster.call(0, "/once/", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    let arrivals = cluster.endpoints.iter().map(|e| e.arrivals().len());
    assert_eq!(arrivals.sum::<usize>(), 1);
}
