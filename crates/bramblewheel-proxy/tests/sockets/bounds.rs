//! Edge cases of callers and endpoints: slow readers, early answers, long heads and bodies, daemons without a route
//! table, idle connections.

use crate::support::endpoint::Behavior;
use crate::support::{HOST, MAX_BODY_BYTES, TestCluster, call_on, wait_until};
use bramblewheel_proxy::http::fields;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// More than all socket buffers on the path hold together, far less than the whole body.
const MAX_BUFFERED: usize = 128 << 20;

fn head(path: &str, id: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nbw-request-id: {id}\r\nbw-remaining-ms: 3000\r\n\
         content-length: {length}\r\n\r\n"
    )
}

async fn connected(cluster: &TestCluster) -> TcpStream {
    let address = cluster.daemons[0].shared().settings.outbound;
    TcpStream::connect(address).await.expect("it listens")
}

/// The daemons must not buffer an answer that the caller doesn't read.
#[tokio::test(flavor = "multi_thread")]
async fn caller_that_does_not_read_blocks_the_endpoint() {
    let cluster = TestCluster::start(2).await;
    for endpoint in &cluster.endpoints {
        endpoint.script(&[Behavior::Endless]);
    }
    let mut stream = connected(&cluster).await;
    let request = head("/safe/item", "r-1", 0);
    stream.write_all(request.as_bytes()).await.expect("open");
    let written = || cluster.endpoints.iter().map(|e| e.written()).sum::<usize>();
    wait_until(|| written() > 0).await;
    let mut before = 0;
    while written() > before {
        before = written();
        assert!(before < MAX_BUFFERED, "{before} bytes were buffered");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// The rest of a body that arrives after the answer must not be taken for a request.
#[tokio::test(flavor = "multi_thread")]
async fn answer_may_come_before_the_body_has_arrived() {
    const LENGTH: usize = 300_000;
    let cluster = TestCluster::start(1).await;
    cluster.endpoints[0].script(&[Behavior::Early]);
    let mut stream = connected(&cluster).await;
    let request = head("/safe/item", "r-1", LENGTH);
    stream.write_all(request.as_bytes()).await.expect("open");
    // Long enough to be streamed before the rest has arrived.
    let part = vec![b'x'; 2 * LENGTH / 3];
    stream.write_all(&part).await.expect("open");
    let mut answer = [0; 15];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    // The rest of the body looks like requests.
    let smuggled = head("/safe/item", "smuggled", 0).repeat(1_000);
    let rest = &smuggled.as_bytes()[..LENGTH - part.len()];
    let _ = stream.write_all(rest).await;
    for number in 2..6 {
        let id = format!("r-{number}");
        let answer = cluster.call(0, "/safe/item", &id).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.body.ends_with(id.as_bytes()));
    }
    let arrivals = cluster.endpoints[0].arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.id != "smuggled"));
}

#[tokio::test]
async fn request_with_a_head_that_is_too_long_is_refused() {
    let cluster = TestCluster::start(1).await;
    let long = "x".repeat(200_000);
    let headers = [("bw-request-id", "r-1"), ("x-long", long.as_str())];
    let answer = cluster
        .call_with(0, "/safe/item", &headers, Bytes::new())
        .await;
    if let Ok(answer) = answer {
        let refusal = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        assert_eq!(answer.status, refusal);
    }
    assert!(cluster.endpoints[0].arrivals().is_empty());
    let answer = cluster
        .call(0, "/safe/item", "r-2")
        .await
        .expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
}

/// A body with a content length is refused with status 413. A chunked body is cut off while it is streamed, so that
/// its answer doesn't tell whether the request ran.
#[tokio::test(flavor = "multi_thread")]
async fn body_that_is_too_long_is_not_passed_on_completely() {
    let cluster = TestCluster::start(1).await;
    let mut stream = connected(&cluster).await;
    let long = head("/safe/item", "r-1", MAX_BODY_BYTES + 1);
    stream.write_all(long.as_bytes()).await.expect("open");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 413");
    assert!(cluster.endpoints[0].arrivals().is_empty());
    let mut stream = connected(&cluster).await;
    let head =
        head("/safe/item", "r-2", 0).replace("content-length: 0", "transfer-encoding: chunked");
    stream.write_all(head.as_bytes()).await.expect("open");
    let piece = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
    for _ in 0..=MAX_BODY_BYTES / 0x1_0000 {
        // The connection may have been closed by now.
        let _ = stream.write_all(piece.as_bytes()).await;
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    let whole = MAX_BODY_BYTES + 0x1_0000;
    let arrivals = cluster.endpoints[0].arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.body_bytes < whole));
    let answer = cluster
        .call(0, "/safe/item", "r-3")
        .await
        .expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
}

/// Without a route table a daemon can't tell whether a route exists: it answers 503 with `Retry-After`, and 404 only
/// once it has a table.
#[tokio::test]
async fn daemon_without_a_route_table_answers_service_unavailable() {
    let mut cluster = TestCluster::start(0).await;
    let unreachable = "127.0.0.1:9".parse().expect("an address");
    let isolated = cluster.start_daemon(0, unreachable).await;
    cluster.daemons.push(isolated);
    assert!(!cluster.daemons[0].shared().is_ready());
    let answer = cluster.call(0, "/other/", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    let replica = cluster.control.addresses()[0];
    let mut other = TestCluster::start(0).await;
    let daemon = other.start_daemon(1, other.control.addresses()[0]).await;
    other.daemons.push(daemon);
    assert_ne!(replica, other.control.addresses()[0]);
    wait_until(|| other.daemons[0].shared().is_ready()).await;
    let answer = other.call(0, "/other/", "r-2").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

/// Only the first request is lost on a connection that the endpoint dropped, not one after each idle time.
#[tokio::test]
async fn connections_idle_for_as_long_as_a_lost_one_are_not_reused() {
    let cluster = TestCluster::start(1).await;
    cluster.endpoints[0].drop_idle_after(Duration::from_millis(100));
    let mut lost = 0;
    for number in 0..8 {
        let id = format!("r-{number}");
        let answer = cluster.call(0, "/once/pay", &id).await.expect("an answer");
        lost += u32::from(answer.status != StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(lost, 1);
}

/// The time-out stated to callers is shorter than the idle time-out of their connections, or absent.
#[test]
fn stated_keep_alive_time_out_is_shorter_than_the_idle_time_out() {
    for millis in [0, 500, 1_000, 1_700, 3_500, 15_000] {
        let idle_timeout = Duration::from_millis(millis);
        let mut headers = HeaderMap::new();
        if let Some(stated) = fields::keep_alive(idle_timeout) {
            headers.insert(fields::KEEP_ALIVE, stated);
        }
        let stated = fields::idle_timeout(&headers);
        assert_eq!(stated.is_some(), millis >= 1_700, "{idle_timeout:?}");
        assert!(
            stated.is_none_or(|stated| stated * 5 <= idle_timeout * 4),
            "{stated:?} of {idle_timeout:?}"
        );
    }
}

/// Guards against opening more connections to an endpoint than its service's configuration allows.
#[tokio::test]
async fn endpoint_gets_no_more_connections_than_its_service_allows() {
    const ALLOWED: u32 = 4;
    let cluster = TestCluster::start_with_connections(1, ALLOWED).await;
    let slow = Behavior::AnswerAfter(Duration::from_millis(600));
    cluster.endpoints[0].script(&vec![slow; 40]);
    let address = cluster.daemons[0].shared().settings.outbound;
    let mut calls = JoinSet::new();
    for number in 0..20 {
        calls.spawn(async move {
            let stream = TcpStream::connect(address).await.expect("it listens");
            let id = format!("r-{number}");
            let headers = [("bw-request-id", id.as_str()), ("bw-remaining-ms", "3000")];
            call_on(stream, "/safe/item", &headers, Bytes::new()).await
        });
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let running = cluster.endpoints[0].arrivals().len();
    assert!(
        running <= ALLOWED as usize,
        "{running} requests at one time"
    );
    assert!(running > 0);
    calls.join_all().await;
}
