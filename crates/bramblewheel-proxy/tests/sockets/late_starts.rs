//! Requests that are begun late: what is left of their time is known when they are started at the endpoint.

use crate::support::endpoint::Behavior;
use crate::support::suspendable::SuspendableProcess;
use crate::support::{CALLER_IDLE_TIMEOUT, TestCluster};
use bramblewheel_protocol::routing::EndpointState;
use bytes::Bytes;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time that the endpoint takes for a request.
const WORK_TIME: Duration = Duration::from_millis(300);
/// Number of requests from which the endpoint's usual time is known.
const SERVED_BEFORE: usize = 10;
/// Time-out of the routes, in milliseconds.
const ROUTE_TIMEOUT_MILLIS: u64 = 2_000;
/// Tolerance for times that are measured in two processes, in milliseconds.
const TOLERANCE_MILLIS: u64 = 100;

/// Two daemons; the second one runs in `process`, and only its endpoint takes requests. A first request is served, so
/// that connections between them are open.
async fn cluster_with_suspendable(process: &SuspendableProcess) -> TestCluster {
    let mut cluster = TestCluster::start(1).await;
    cluster.add_daemon_in(process, CALLER_IDLE_TIMEOUT).await;
    cluster.send_heartbeat(0, EndpointState::Draining, 2).await;
    let first = cluster.call(0, "/safe/item", "first").await;
    assert_eq!(first.expect("an answer").status, StatusCode::OK);
    cluster
}

/// Ids of the requests that reached an endpoint, apart from the first one.
fn arrived(cluster: &TestCluster, endpoint: usize) -> Vec<String> {
    let arrivals = cluster.endpoints[endpoint].arrivals().into_iter();
    arrivals.map(|arrival| arrival.id).skip(1).collect()
}

/// Has requests served, one after the other.
async fn serve(cluster: &TestCluster, path: &str) {
    for number in 0..SERVED_BEFORE {
        let id = format!("before-{number}");
        let answer = cluster.call(0, path, &id).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    }
}

/// Guards against an endpoint that is told more time than the request has left.
#[tokio::test]
async fn time_in_the_socket_of_a_suspended_daemon_is_not_left_to_the_endpoint() {
    const SUSPENSION_MILLIS: u64 = 1_200;
    let process = SuspendableProcess::start();
    let cluster = cluster_with_suspendable(&process).await;
    process.suspend(Duration::from_millis(SUSPENSION_MILLIS));
    sleep(Duration::from_millis(20)).await;
    let answer = cluster.call(0, "/safe/item", "r-1").await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    let arrivals = cluster.endpoints[1].arrivals();
    let stated = &arrivals[1].headers["bw-remaining-ms"];
    let stated: u64 = stated.parse().expect("a number");
    let left = ROUTE_TIMEOUT_MILLIS - SUSPENSION_MILLIS;
    assert!(stated <= left + TOLERANCE_MILLIS, "{stated} ms of {left}");
}

/// Guards against a request that is started after its caller was answered.
#[tokio::test]
async fn request_whose_time_passed_while_its_daemon_was_suspended_is_not_started() {
    let process = SuspendableProcess::start();
    let cluster = cluster_with_suspendable(&process).await;
    process.suspend(Duration::from_millis(ROUTE_TIMEOUT_MILLIS + 400));
    sleep(Duration::from_millis(20)).await;
    let answer = cluster.call(0, "/safe/item", "r-1").await;
    let status = answer.expect("an answer").status;
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    sleep(Duration::from_millis(800)).await;
    assert_eq!(arrived(&cluster, 1), Vec::<String>::new());
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

/// An answer that had arrived is passed on, also after the deadline.
#[tokio::test]
async fn answer_that_arrived_before_the_deadline_is_delivered_after_a_suspension() {
    const CALLERS: usize = 10;
    let process = SuspendableProcess::start();
    let mut cluster = TestCluster::start(1).await;
    cluster.add_daemon_in(&process, CALLER_IDLE_TIMEOUT).await;
    cluster.send_heartbeat(1, EndpointState::Draining, 2).await;
    cluster.endpoints[0].script(&vec![Behavior::AnswerAfter(WORK_TIME); CALLERS]);
    let cluster = Arc::new(cluster);
    let mut calls = JoinSet::new();
    for number in 0..CALLERS {
        let cluster = Arc::clone(&cluster);
        calls.spawn(async move {
            let headers = [
                ("bw-request-id", &*format!("r-{number}")),
                ("bw-remaining-ms", "6000"),
            ];
            cluster
                .call_with(1, "/once/pay", &headers, Bytes::new())
                .await
        });
    }
    sleep(WORK_TIME / 2).await;
    process.suspend(Duration::from_millis(ROUTE_TIMEOUT_MILLIS + 400));
    let answers = calls.join_all().await.into_iter();
    let statuses: Vec<StatusCode> = answers
        .map(|answer| answer.expect("an answer").status)
        .collect();
    assert_eq!(statuses, [StatusCode::OK; CALLERS]);
}
