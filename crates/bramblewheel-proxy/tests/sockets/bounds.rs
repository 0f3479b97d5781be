//! What callers and endpoints do at the edges: slow readers, early answers, long heads, daemons that
//! know nothing yet, connections that rest.

use crate::support::endpoint::Act;
use crate::support::{HOST, LONGEST_BODY, Mesh, eventually};
use bramblewheel_proxy::http::fields;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// More than the sockets' buffers on the way hold together, far less than the whole body.
const MOST_BUFFERED: usize = 128 << 20;

fn head(path: &str, id: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nbw-request-id: {id}\r\nbw-remaining-ms: 3000\r\n\
         content-length: {length}\r\n\r\n"
    )
}

async fn connected(mesh: &Mesh) -> TcpStream {
    let address = mesh.daemons[0].shared().settings.outbound;
    TcpStream::connect(address).await.expect("it listens")
}

/// A caller that reads nothing holds the endpoint up; the daemons don't collect the body.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_holds_the_endpoint_up() {
    let mesh = Mesh::start(2).await;
    for endpoint in &mesh.endpoints {
        endpoint.script(&[Act::Endless]);
    }
    let mut stream = connected(&mesh).await;
    let request = head("/safe/item", "r-1", 0);
    stream.write_all(request.as_bytes()).await.expect("open");
    let written = || mesh.endpoints.iter().map(|e| e.written()).sum::<usize>();
    eventually(|| written() > 0).await;
    let mut before = 0;
    while written() > before {
        before = written();
        assert!(before < MOST_BUFFERED, "{before} bytes were taken");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// What comes of a body after its answer belongs to no request.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_may_come_before_the_body_has_arrived() {
    const LENGTH: usize = 300_000;
    let mesh = Mesh::start(1).await;
    mesh.endpoints[0].script(&[Act::Early]);
    let mut stream = connected(&mesh).await;
    let request = head("/safe/item", "r-1", LENGTH);
    stream.write_all(request.as_bytes()).await.expect("open");
    // Enough to be passed on before the rest has come.
    let part = vec![b'x'; 2 * LENGTH / 3];
    stream.write_all(&part).await.expect("open");
    let mut answer = [0; 15];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    // The rest of the body looks like a request, and must not become one.
    let smuggled = head("/safe/item", "smuggled", 0).repeat(1_000);
    let rest = &smuggled.as_bytes()[..LENGTH - part.len()];
    let _ = stream.write_all(rest).await;
    for number in 2..6 {
        let id = format!("r-{number}");
        let answer = mesh.call(0, "/safe/item", &id).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.body.ends_with(id.as_bytes()));
    }
    let arrivals = mesh.endpoints[0].arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.id != "smuggled"));
}

#[tokio::test]
async fn a_head_that_is_too_long_is_refused_and_sent_nowhere() {
    let mesh = Mesh::start(1).await;
    let long = "x".repeat(200_000);
    let headers = [("bw-request-id", "r-1"), ("x-long", long.as_str())];
    let answer = mesh
        .call_with(0, "/safe/item", &headers, Bytes::new())
        .await;
    if let Ok(answer) = answer {
        let refusal = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        assert_eq!(answer.status, refusal);
    }
    assert!(mesh.endpoints[0].arrivals().is_empty());
    let answer = mesh.call(0, "/safe/item", "r-2").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
}

/// A body that says how long it is gets a clear answer; one that does not is cut off, and what it
/// was is not told as run or not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_is_too_long_does_not_get_through() {
    let mesh = Mesh::start(1).await;
    let mut stream = connected(&mesh).await;
    let long = head("/safe/item", "r-1", LONGEST_BODY + 1);
    stream.write_all(long.as_bytes()).await.expect("open");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 413");
    assert!(mesh.endpoints[0].arrivals().is_empty());
    let mut stream = connected(&mesh).await;
    let head =
        head("/safe/item", "r-2", 0).replace("content-length: 0", "transfer-encoding: chunked");
    stream.write_all(head.as_bytes()).await.expect("open");
    let piece = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
    for _ in 0..=LONGEST_BODY / 0x1_0000 {
        // It may have been cut off by now.
        let _ = stream.write_all(piece.as_bytes()).await;
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    let whole = LONGEST_BODY + 0x1_0000;
    let arrivals = mesh.endpoints[0].arrivals();
    assert!(arrivals.iter().all(|arrival| arrival.body_bytes < whole));
    let answer = mesh.call(0, "/safe/item", "r-3").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
}

/// "Not found" is the word of a configuration; a daemon that has none says when to come back.
#[tokio::test]
async fn a_daemon_that_knows_no_configuration_says_unavailable() {
    let mut mesh = Mesh::start(0).await;
    let nobody = "127.0.0.1:9".parse().expect("an address");
    let lonely = mesh.start_daemon(0, nobody).await;
    mesh.daemons.push(lonely);
    assert!(!mesh.daemons[0].shared().is_ready());
    let answer = mesh.call(0, "/other/", "r-1").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    let replica = mesh.control.addresses()[0];
    let mut told = Mesh::start(0).await;
    let daemon = told.start_daemon(1, told.control.addresses()[0]).await;
    told.daemons.push(daemon);
    assert_ne!(replica, told.control.addresses()[0]);
    eventually(|| told.daemons[0].shared().is_ready()).await;
    let answer = told.call(0, "/other/", "r-2").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

/// One request is lost on a connection that the endpoint forgot, and not one after each rest.
#[tokio::test]
async fn connections_that_an_endpoint_forgets_are_not_used_again() {
    let mesh = Mesh::start(1).await;
    mesh.endpoints[0].forget_idle_after(Duration::from_millis(100));
    let mut lost = 0;
    for number in 0..8 {
        let id = format!("r-{number}");
        let answer = mesh.call(0, "/once/pay", &id).await.expect("an answer");
        lost += u32::from(answer.status != StatusCode::OK);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(lost, 1);
}

/// Callers are told less than the time for which their connections are kept, or nothing.
#[test]
fn callers_are_told_for_how_long_connections_are_kept() {
    for millis in [0, 500, 1_000, 1_700, 3_500, 15_000] {
        let rest = Duration::from_millis(millis);
        let mut headers = HeaderMap::new();
        if let Some(told) = fields::keep_alive(rest) {
            headers.insert(fields::KEEP_ALIVE, told);
        }
        let told = fields::idle_timeout(&headers);
        assert_eq!(told.is_some(), millis >= 1_700, "{rest:?}");
        assert!(
            told.is_none_or(|told| told * 5 <= rest * 4),
            "{told:?} of {rest:?}"
        );
    }
}
