//! What daemons tell each other of repeated runs, over sockets. That the bound holds is shown on virtual time
//! (`tests/repeat_bound`); here that what it rests on is passed on.

use crate::support::endpoint::Act;
use crate::support::{Mesh, eventually};
use bramblewheel_decisions::retry_budget::BoundUse;
use bytes::Bytes;
use http::StatusCode;
use std::time::Duration;

/// A table with tenants, where a request without a key on a public route is a call of an endpoint.
const TENANTS: &str = "stall=kmgjqnirth5mgjy5rcpi";

fn use_at(mesh: &Mesh, daemon: usize) -> BoundUse {
    let shared = mesh.daemons[daemon].shared();
    let now = shared.clock.now();
    let uses = shared.routing().retry_bound.uses(now);
    uses.into_iter().next().expect("something was sent")
}

fn retried_runs(mesh: &Mesh, daemon: usize) -> u64 {
    mesh.daemons[daemon].shared().metrics.retried_runs.get()
}

#[tokio::test]
async fn calls_of_a_repeated_run_count_as_repeats_at_the_daemon_beside_it() {
    let mesh = Mesh::start_with(2, TENANTS).await;
    let slow = Act::AnswerAfter(Duration::from_millis(500));
    for endpoint in &mesh.endpoints {
        endpoint.script(&[Act::NotRun, slow.clone()]);
    }
    let (answer, beside) = tokio::join!(mesh.call(0, "/public/", "run"), async {
        eventually(|| (0..2).any(|daemon| retried_runs(&mesh, daemon) > 0)).await;
        // What it makes ends before it does, so that the end of its time does not name its parent.
        let beside = (0..2).rfind(|daemon| mesh.endpoints[*daemon].arrivals().len() > 1);
        let beside = beside.unwrap_or(0);
        let headers = [("bw-request-id", "call"), ("bw-remaining-ms", "400")];
        let made = mesh.call_with(beside, "/public/", &headers, Bytes::new());
        let _ = made.await;
        beside
    });
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    let used = use_at(&mesh, beside);
    assert!(used.calls_of_retried_runs >= 1.0, "{used:?}");
    // The answer of the run has told so to the daemon that sent it.
    let shared = mesh.daemons[0].shared();
    let now = shared.clock.now();
    assert!(shared.routing().retry_bound.used_by_calls(now) > 0.0);
}

/// Requests that no endpoint makes are first sends, whatever runs.
#[tokio::test]
async fn requests_from_outside_never_count_as_calls_of_repeats() {
    let mesh = Mesh::start(2).await;
    mesh.endpoints[0].script(&[Act::NotRun, Act::AnswerAfter(Duration::from_millis(300))]);
    mesh.endpoints[1].script(&[Act::NotRun, Act::AnswerAfter(Duration::from_millis(300))]);
    let (one, other) = tokio::join!(
        mesh.call(0, "/safe/item", "r-1"),
        mesh.call(1, "/safe/item", "r-2")
    );
    one.expect("an answer");
    other.expect("an answer");
    for daemon in 0..2 {
        assert_eq!(use_at(&mesh, daemon).calls_of_retried_runs, 0.0);
    }
}
