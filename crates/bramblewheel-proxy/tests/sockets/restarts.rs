//! Endpoints that restart under the same ids: they are served again quickly, and requests that ran at the earlier
//! incarnation are not answered as not run.

use crate::support::TestCluster;
use crate::support::endpoint::Behavior;
use bramblewheel_protocol::routing::EndpointState;
use bytes::Bytes;
use http::StatusCode;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which requests must be served again after the last restart.
const SERVED_WITHIN: Duration = Duration::from_secs(3);
/// Number of endpoints.
const COUNT: usize = 4;

/// Waits until every daemon serves a request; returns how long that took.
async fn wait_until_served(cluster: &TestCluster, round: u64) -> Duration {
    let since = Instant::now();
    for daemon in 0..COUNT {
        for number in 0.. {
            let id = format!("r-{round}-{daemon}-{number}");
            let answer = cluster.call(daemon, "/safe/item", &id).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                break;
            }
            assert!(since.elapsed() < SERVED_WITHIN, "round {round}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    since.elapsed()
}

/// All endpoints of the service restart at once, three times; the second time after a planned stop.
#[tokio::test]
async fn service_is_restored_after_all_endpoints_restart() {
    let mut cluster = TestCluster::start(COUNT).await;
    for round in 1..=3 {
        if round == 2 {
            for number in 0..COUNT {
                let mut final_heartbeat = cluster.record(number, EndpointState::Draining, 100);
                final_heartbeat.endpoint = final_heartbeat.endpoint.started_at(Some(1_000));
                let recorded = cluster.daemons[number]
                    .registrar()
                    .take_final_heartbeat(final_heartbeat)
                    .await;
                recorded.expect("recorded");
            }
        }
        for number in 0..COUNT {
            cluster.restart_under_same_id(number, 1_000 * round).await;
        }
        let outage = wait_until_served(&cluster, round).await;
        assert!(outage < SERVED_WITHIN, "round {round}");
        let arrivals = cluster.endpoints.iter().map(|e| e.arrivals().len());
        assert!(arrivals.sum::<usize>() >= COUNT, "round {round}");
    }
}

/// A request that may run only once is at the endpoint when the first heartbeat of the next incarnation arrives,
/// while its connection stays open. The answer leaves open whether it ran, and the new incarnation doesn't get it.
#[tokio::test]
async fn request_running_at_an_earlier_incarnation_is_not_sent_again() {
    let cluster = TestCluster::start(1).await;
    cluster.endpoints[0].script(&[Behavior::Hang]);
    let address = cluster.daemons[0].shared().settings.outbound;
    let calling = tokio::spawn(async move {
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("it listens");
        let headers = [("bw-request-id", "r-1"), ("bw-remaining-ms", "3000")];
        crate::support::call_on(stream, "/once/pay", &headers, Bytes::new()).await
    });
    let earlier = cluster.endpoints[0].clone();
    crate::support::wait_until(|| earlier.arrivals().len() == 1).await;
    let since = Instant::now();
    let record = cluster.record(0, EndpointState::Ready, 1);
    let next = bramblewheel_protocol::routing::EndpointRecord {
        endpoint: record.endpoint.started_at(Some(1_000)),
        ..record
    };
    cluster.daemons[0].registrar().take_ready_heartbeat(next);
    let answer = calling.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(since.elapsed() < Duration::from_secs(1));
    assert_eq!(earlier.arrivals().len(), 1);
}
