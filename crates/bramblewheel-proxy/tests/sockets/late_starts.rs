//! Requests that are begun late: what is left of their time is known when they are started at the endpoint.

use crate::support::endpoint::Behavior;
use crate::support::TestCluster;
use bytes::Bytes;
use http::StatusCode;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time that the endpoint takes for a request.
const WORK_TIME: Duration = Duration::from_millis(300);
/// Number of requests from which the endpoint's usual time is known.
const SERVED_BEFORE: usize = 10;

/// Has requests served, one after the other.
async fn serve(cluster: &TestCluster, path: &str) {
    for number in 0..SERVED_BEFORE {
        let id = format!("before-{number}");
        let answer = cluster.call(0, path, &id).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
}

/// Guards against a 504 for a request that could only be started in vain.
#[tokio::test]
async fn request_with_less_time_than_its_endpoint_takes_is_refused_as_not_run() {
    let cluster = TestCluster::start(1).await;
    cluster.endpoints[0].script(&vec![Behavior::AnswerAfter(WORK_TIME); SERVED_BEFORE + 1]);
    serve(&cluster, "/once/pay").await;
    let headers = [("bw-request-id", "r-1"), ("bw-remaining-ms", "150")];
    let begun = Instant::now();
    let answer = cluster.call_with(0, "/once/pay", &headers, Bytes::new());
    let answer = answer.await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(begun.elapsed() < Duration::from_millis(150));
    assert_eq!(cluster.endpoints[0].arrivals().len(), SERVED_BEFORE);
}

/// Guards against an estimate that refuses requests for good: it is forgotten, and the endpoint is tried again.
#[tokio::test]
async fn usual_time_of_an_endpoint_that_became_quicker_is_learned_again() {
    let cluster = TestCluster::start(1).await;
    cluster.endpoints[0].script(&vec![Behavior::AnswerAfter(WORK_TIME); SERVED_BEFORE]);
    serve(&cluster, "/safe/item").await;
    let headers = [("bw-request-id", "r-1"), ("bw-remaining-ms", "150")];
    let begun = Instant::now();
    loop {
        let answer = cluster.call_with(0, "/safe/item", &headers, Bytes::new());
        if answer.await.expect("an answer").status == StatusCode::OK {
            break;
        }
        assert!(begun.elapsed() < Duration::from_secs(10));
        sleep(Duration::from_millis(100)).await;
    }
}
