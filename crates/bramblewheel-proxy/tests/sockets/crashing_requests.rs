//! Requests that crash endpoints.
//!
//! Guards against a failure seen by users: one request crashed every endpoint that ran it. It was retried at the next
//! endpoint and resent by its callers under other ids at other daemons. Six endpoints crashed within a second,
//! restarted and crashed again, 30 times in 20 s, and the service was available for a third of that time. A daemon
//! treated the crash as a broken connection, and nothing it learned about the request reached the next daemon.
//!
//! Without the quarantine, 40 sends of the request in this test crash 54 incarnations of four endpoints. Without
//! retries of the daemons they crash 40, one per send: retries add to the crashes but don't cause them. Load doesn't
//! cause them either: one endpoint crashed with 11 of 92 requests running.

use crate::support::{TestCluster, wait_until};
use http::StatusCode;
use std::time::Duration;

/// Target of the request that crashes endpoints.
const FATAL: &str = "/safe/fatal";
/// Number of crashes after which a request is quarantined.
const CRASHES: usize = 3;
/// Maximum number of sends by callers, 100 ms apart, before it must be quarantined.
const SENDS: usize = 40;
/// Number of sends after that, none of which may reach an endpoint.
const SENDS_IN_QUARANTINE: usize = 12;

/// A cluster whose crashed endpoints are restarted under new ids.
struct Fleet {
    cluster: TestCluster,
    sends: usize,
    /// Number of crashed incarnations.
    crashed: usize,
}

impl Fleet {
    async fn start(endpoints: usize) -> Self {
        let cluster = TestCluster::start(endpoints).await;
        for endpoint in &cluster.endpoints {
            endpoint.crash_on(FATAL);
        }
        Self {
            cluster,
            sends: 0,
            crashed: 0,
        }
    }

    /// Sends a request at the next daemon under a new id, then restarts crashed endpoints.
    async fn send(&mut self, target: &str) -> StatusCode {
        self.sends += 1;
        let daemon = self.sends % self.cluster.daemons.len();
        let id = format!("try-{}", self.sends);
        let answer = self.cluster.call(daemon, target, &id).await;
        let status = answer.expect("an answer").status;
        self.restart_crashed().await;
        status
    }

    async fn restart_crashed(&mut self) {
        for number in 0..self.cluster.endpoints.len() {
            if self.cluster.endpoints[number].has_crashed() {
                self.crashed += 1;
                self.cluster.restart_under_new_id(number).await;
                self.cluster.endpoints[number].crash_on(FATAL);
            }
        }
    }

    /// Sends the request until it is refused as not run without crashing an endpoint.
    async fn send_until_refused(&mut self) {
        for _ in 0..SENDS {
            let crashed = self.crashed;
            let status = self.send(FATAL).await;
            if status == StatusCode::SERVICE_UNAVAILABLE && self.crashed == crashed {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("never refused: {} incarnations crashed", self.crashed);
    }
}

#[tokio::test]
async fn request_that_crashes_endpoints_is_quarantined_at_every_daemon() {
    let mut fleet = Fleet::start(4).await;
    assert_eq!(fleet.send("/safe/item").await, StatusCode::OK);
    fleet.send_until_refused().await;
    let crashed = fleet.crashed;
    println!("{} sends, {crashed} incarnations crashed", fleet.sends - 1);
    assert!(crashed >= CRASHES, "refused after {crashed} crashes");
    for _ in 0..SENDS_IN_QUARANTINE {
        let status = fleet.send(FATAL).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(
        fleet.crashed, crashed,
        "the quarantined request reached endpoints"
    );
    for _ in 0..4 {
        assert_eq!(fleet.send("/safe/item").await, StatusCode::OK);
    }
}

/// Requests that were running at each crash but succeeded elsewhere must not be quarantined.
#[tokio::test]
async fn requests_running_at_a_crash_that_succeed_elsewhere_are_served() {
    let mut fleet = Fleet::start(4).await;
    for _ in 0..4 {
        assert_eq!(fleet.send("/safe/popular").await, StatusCode::OK);
    }
    for _ in 0..6 {
        let before = fleet.crashed;
        let [one, other_daemon] = [fleet.sends % 4, (fleet.sends + 1) % 4];
        fleet.sends += 1;
        let ids = [
            format!("beside-{}", fleet.sends),
            format!("fatal-{}", fleet.sends),
        ];
        let (_, _) = tokio::join!(
            fleet.cluster.call(one, "/safe/popular", &ids[0]),
            fleet.cluster.call(other_daemon, FATAL, &ids[1]),
        );
        fleet.restart_crashed().await;
        if fleet.crashed == before {
            break;
        }
    }
    fleet.send_until_refused().await;
    for _ in 0..8 {
        assert_eq!(fleet.send("/safe/popular").await, StatusCode::OK);
    }
}

/// A daemon that starts later gets the quarantine before it sends anything.
#[tokio::test]
async fn daemon_that_starts_later_applies_the_quarantine() {
    let mut fleet = Fleet::start(3).await;
    fleet.send_until_refused().await;
    let crashed = fleet.crashed;
    let added = fleet.cluster.add_daemon().await;
    wait_until(|| fleet.cluster.daemons[added].shared().is_ready()).await;
    let answer = fleet.cluster.call(added, FATAL, "late").await;
    let status = answer.expect("an answer").status;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    fleet.restart_crashed().await;
    assert_eq!(fleet.crashed, crashed);
}
