//! Endpoints that start again under their ids: served within moments, and what ran at the former start is not told as not run.

use crate::support::Mesh;
use crate::support::endpoint::Act;
use bramblewheel_protocol::routing::EndpointState;
use bytes::Bytes;
use http::StatusCode;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which service must be back after the last start.
const BACK_WITHIN: Duration = Duration::from_secs(3);
/// Endpoints of the mesh.
const COUNT: usize = 4;

/// Until a request at every daemon is served; returns how long that took.
async fn until_served(mesh: &Mesh, round: u64) -> Duration {
    let begun = Instant::now();
    for daemon in 0..COUNT {
        for number in 0.. {
            let id = format!("r-{round}-{daemon}-{number}");
            let answer = mesh.call(daemon, "/safe/item", &id).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::OK) {
                break;
            }
            assert!(begun.elapsed() < BACK_WITHIN, "round {round}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    begun.elapsed()
}

/// All endpoints of the service start again at once, three times, the second time after they have left as planned.
#[tokio::test]
async fn service_is_back_after_all_endpoints_started_again() {
    let mut mesh = Mesh::start(COUNT).await;
    for round in 1..=3 {
        if round == 2 {
            for number in 0..COUNT {
                let mut leaving = mesh.record(number, EndpointState::Draining, 100);
                leaving.endpoint = leaving.endpoint.started_at(Some(1_000));
                let ended = mesh.daemons[number]
                    .registrar()
                    .take_final_heartbeat(leaving)
                    .await;
                ended.expect("recorded");
            }
        }
        for number in 0..COUNT {
            mesh.restart_under_its_id(number, 1_000 * round).await;
        }
        let back = until_served(&mesh, round).await;
        assert!(back < BACK_WITHIN, "round {round}");
        let arrivals = mesh.endpoints.iter().map(|e| e.arrivals().len());
        assert!(arrivals.sum::<usize>() >= COUNT, "round {round}");
    }
}

/// A request that may run once only is at the endpoint when the next start is heard, while its connection stays open: its caller
/// gets no promise, and the new start does not get it.
#[tokio::test]
async fn what_ran_at_a_former_start_promises_nothing() {
    let mesh = Mesh::start(1).await;
    mesh.endpoints[0].script(&[Act::Hang]);
    let address = mesh.daemons[0].shared().settings.outbound;
    let asking = tokio::spawn(async move {
        let stream = tokio::net::TcpStream::connect(address)
            .await
            .expect("it listens");
        let headers = [("bw-request-id", "r-1"), ("bw-remaining-ms", "3000")];
        crate::support::call_on(stream, "/once/pay", &headers, Bytes::new()).await
    });
    let former = mesh.endpoints[0].clone();
    crate::support::eventually(|| former.arrivals().len() == 1).await;
    let begun = Instant::now();
    let record = mesh.record(0, EndpointState::Ready, 1);
    let next = bramblewheel_protocol::routing::EndpointRecord {
        endpoint: record.endpoint.started_at(Some(1_000)),
        ..record
    };
    mesh.daemons[0].registrar().take_ready_heartbeat(next);
    let answer = asking.await.expect("no panic").expect("an answer");
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert_eq!(former.arrivals().len(), 1);
}
