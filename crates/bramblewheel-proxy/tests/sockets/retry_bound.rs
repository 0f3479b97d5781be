//! Reports about retried runs between daemons, over sockets. Tests on virtual time (`tests/repeat_bound`) show that
//! the bound on retries holds; these show that the reports it depends on are passed on.

use crate::support::endpoint::Behavior;
use crate::support::{TestCluster, wait_until};
use bramblewheel_decisions::retry_budget::BoundUse;
use bytes::Bytes;
use http::StatusCode;
use std::time::Duration;

/// Tenants of the table. In a table with tenants, a request without a key on a public route is a call of an endpoint.
const TENANTS: &str = "stall=kmgjqnirth5mgjy5rcpi";

fn bound_use_at(cluster: &TestCluster, daemon: usize) -> BoundUse {
    let shared = cluster.daemons[daemon].shared();
    let now = shared.clock.now();
    let uses = shared.routing().retry_bound.uses(now);
    uses.into_iter().next().expect("something was sent")
}

fn retried_runs(cluster: &TestCluster, daemon: usize) -> u64 {
    cluster.daemons[daemon].shared().metrics.retried_runs.get()
}

#[tokio::test]
async fn calls_of_a_retried_run_count_as_retries_at_the_daemon_beside_it() {
    let cluster = TestCluster::start_with(2, TENANTS).await;
    let slow = Behavior::AnswerAfter(Duration::from_millis(500));
    for endpoint in &cluster.endpoints {
        endpoint.script(&[Behavior::NotRun, slow.clone()]);
    }
    let (answer, daemon_beside) = tokio::join!(cluster.call(0, "/public/", "run"), async {
        let runs_retry = |daemon: usize| {
            cluster.endpoints[daemon].arrivals().len() > 1 && retried_runs(&cluster, daemon) > 0
        };
        wait_until(|| (0..2).any(runs_retry)).await;
        // The call's deadline is earlier than that of the run, so that the deadline doesn't identify its parent.
        let daemon_beside = (0..2).find(|daemon| runs_retry(*daemon));
        let daemon_beside = daemon_beside.expect("one sent the retry");
        let headers = [("bw-request-id", "call"), ("bw-remaining-ms", "400")];
        let call = cluster.call_with(daemon_beside, "/public/", &headers, Bytes::new());
        let _ = call.await;
        daemon_beside
    });
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    let used = bound_use_at(&cluster, daemon_beside);
    assert!(used.calls_of_retried_runs >= 1.0, "{used:?}");
    // The answer of the run reported this to the daemon that sent the request.
    let shared = cluster.daemons[0].shared();
    let now = shared.clock.now();
    assert!(shared.routing().retry_bound.used_by_calls(now) > 0.0);
}

/// Requests that no endpoint makes are first sends, whatever is running.
#[tokio::test]
async fn requests_of_callers_never_count_as_calls_of_retried_runs() {
    let cluster = TestCluster::start(2).await;
    cluster.endpoints[0].script(&[
        Behavior::NotRun,
        Behavior::AnswerAfter(Duration::from_millis(300)),
    ]);
    cluster.endpoints[1].script(&[
        Behavior::NotRun,
        Behavior::AnswerAfter(Duration::from_millis(300)),
    ]);
    let (one, other) = tokio::join!(
        cluster.call(0, "/safe/item", "r-1"),
        cluster.call(1, "/safe/item", "r-2")
    );
    one.expect("an answer");
    other.expect("an answer");
    for daemon in 0..2 {
        assert_eq!(bound_use_at(&cluster, daemon).calls_of_retried_runs, 0.0);
    }
}
