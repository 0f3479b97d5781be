//! Processes that are suspended for a short time and continue: what they accepted is not lost.

use crate::support::endpoint::Behavior;
use crate::support::suspendable::SuspendableProcess;
use crate::support::{CALLER_IDLE_TIMEOUT, HOST, TestCluster, call_on};
use bramblewheel_protocol::routing::EndpointState;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const SUSPENSION: Duration = Duration::from_millis(900);
/// Idle time-out of callers' connections that ends after the planned stop.
const LONG_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which a daemon that counts as silent ends; longer than the silence and a probe.
const TIME_UNTIL_END: Duration = Duration::from_millis(1_200);
/// Time-out of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of connections for which a race is tried.
const CONNECTIONS: usize = 10;

/// Two daemons, of which the second one runs in a process of its own; only its endpoint takes requests.
async fn cluster_with_suspendable(process: &SuspendableProcess) -> TestCluster {
    let mut cluster = TestCluster::start(1).await;
    cluster.add_daemon_in(process, CALLER_IDLE_TIMEOUT).await;
    cluster.send_heartbeat(0, EndpointState::Draining, 2).await;
    cluster
}

/// Guards against a 502 for a request whose daemon was only late, while its endpoint was running it.
#[tokio::test]
async fn request_at_a_suspended_daemon_is_answered_once_the_daemon_continues() {
    let process = SuspendableProcess::start();
    let cluster = cluster_with_suspendable(&process).await;
    cluster.endpoints[1].script(&[Behavior::AnswerAfter(Duration::from_millis(500))]);
    let address = cluster.daemons[0].shared().settings.outbound;
    let headers = [("bw-request-id", "r-1"), ("bw-remaining-ms", "3000")];
    let stream = TcpStream::connect(address).await.expect("it listens");
    let call = call_on(stream, "/safe/item", &headers, Bytes::new());
    let suspension = async {
        sleep(Duration::from_millis(100)).await;
        process.suspend(SUSPENSION);
    };
    let (answer, ()) = tokio::join!(call, suspension);
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    assert_eq!(cluster.endpoints[1].arrivals().len(), 1);
}

/// Opens a connection, sends one request on it and returns it for further ones.
async fn open_connection(address: SocketAddr, id: &str) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("it listens");
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.expect("HTTP");
    tokio::spawn(connection);
    assert!(send_on(&mut sender, id).await, "the first answer");
    sender
}

/// Sends a request on an open connection; returns whether a whole answer came.
async fn send_on(sender: &mut SendRequest<Full<Bytes>>, id: &str) -> bool {
    let request = Request::post("/safe/item")
        .header("host", HOST)
        .header("bw-request-id", id)
        .header("bw-remaining-ms", "1500")
        .body(Full::new(Bytes::new()))
        .expect("a valid request");
    let Ok(answer) = sender.send_request(request).await else {
        return false;
    };
    answer.into_body().collect().await.is_ok()
}

/// Opens connections that callers keep.
async fn open_connections(address: SocketAddr) -> Vec<SendRequest<Full<Bytes>>> {
    let mut connections = Vec::new();
    for number in 0..CONNECTIONS {
        connections.push(open_connection(address, &format!("first-{number}")).await);
    }
    connections
}

/// Sends a request on each connection at the same time; returns for each whether a whole answer came.
async fn send_on_all(connections: Vec<SendRequest<Full<Bytes>>>) -> Vec<bool> {
    let mut calls = JoinSet::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        calls.spawn(async move { send_on(&mut connection, &format!("second-{number}")).await });
    }
    calls.join_all().await
}

/// A stopping daemon reads what came while it was suspended before it decides that nobody sends any more.
#[tokio::test]
async fn stopping_daemon_answers_requests_that_came_while_it_was_suspended() {
    let process = SuspendableProcess::start();
    let mut cluster = TestCluster::start(1).await;
    cluster.add_daemon_in(&process, LONG_IDLE_TIMEOUT).await;
    let stopping = cluster.daemons.pop().expect("two daemons");
    let connections = open_connections(stopping.shared().settings.outbound).await;
    let stop = process.spawn(stopping.stop());
    let notice_time = Duration::from_millis(2_300);
    sleep(notice_time - Duration::from_millis(150)).await;
    process.suspend(Duration::from_millis(500));
    sleep(Duration::from_millis(200)).await;
    let answered = send_on_all(connections).await;
    stop.await.expect("the stop ends");
    assert_eq!(answered, [true; CONNECTIONS]);
}

/// Guards against closing a connection as idle although a request came while the daemon was suspended.
#[tokio::test]
async fn request_that_came_on_an_idle_connection_during_a_suspension_is_answered() {
    let process = SuspendableProcess::start();
    let mut cluster = TestCluster::start(1).await;
    cluster.add_daemon_in(&process, CALLER_IDLE_TIMEOUT).await;
    let address = cluster.daemons[1].shared().settings.outbound;
    let connections = open_connections(address).await;
    sleep(CALLER_IDLE_TIMEOUT - Duration::from_millis(200)).await;
    process.suspend(Duration::from_millis(500));
    sleep(Duration::from_millis(100)).await;
    let answered = send_on_all(connections).await;
    assert_eq!(answered, [true; CONNECTIONS]);
}

/// Guards against a stop that ends after the forced stop because the order to stop was read late.
#[tokio::test]
async fn order_to_stop_that_is_read_late_leaves_less_time() {
    let process = SuspendableProcess::start();
    let mut cluster = TestCluster::start(1).await;
    cluster.add_daemon_in(&process, LONG_IDLE_TIMEOUT).await;
    let stopping = cluster.daemons.pop().expect("two daemons");
    let settings = stopping.shared().settings.clone();
    let mut stream = TcpStream::connect(settings.outbound)
        .await
        .expect("it listens");
    let head = format!(
        "POST /once/pay HTTP/1.1\r\nhost: {HOST}\r\nbw-request-id: r-1\r\ncontent-length: 100\r\n\r\nhalf"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let ordered = Instant::now();
    process.suspend(SUSPENSION);
    let stop = process.spawn(stopping.stop());
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    stop.await.expect("the stop ends");
    assert!(answer.starts_with(b"HTTP/1.1 503"));
    let elapsed = ordered.elapsed();
    assert!(elapsed < settings.stop_grace, "{elapsed:?}");
}

/// Guards against cutting off a request because the order to stop may have come earlier than it did.
#[tokio::test]
async fn answer_after_the_earliest_possible_end_of_the_grace_time_is_delivered() {
    const LONG_SUSPENSION: Duration = Duration::from_millis(2_200);
    let process = SuspendableProcess::start();
    let mut cluster = TestCluster::start(1).await;
    cluster.add_daemon_in(&process, LONG_IDLE_TIMEOUT).await;
    cluster.send_heartbeat(1, EndpointState::Draining, 2).await;
    let work = Behavior::AnswerAfter(Duration::from_millis(1_700));
    cluster.endpoints[0].script(&[work]);
    let stopping = cluster.daemons.pop().expect("two daemons");
    let address = stopping.shared().settings.outbound;
    process.suspend(LONG_SUSPENSION);
    sleep(LONG_SUSPENSION - Duration::from_millis(100)).await;
    let stop = process.spawn(stopping.stop());
    let headers = [("bw-request-id", "r-1"), ("bw-remaining-ms", "8000")];
    let stream = TcpStream::connect(address).await.expect("it listens");
    let answer = call_on(stream, "/once/pay", &headers, Bytes::new()).await;
    stop.await.expect("the stop ends");
    assert_eq!(cluster.endpoints[0].arrivals().len(), 1);
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
}

/// Guards against closing connections, at the end of a stop, before the answers that came during a suspension are written.
#[tokio::test]
async fn answers_that_came_while_a_stopping_daemon_was_suspended_are_delivered() {
    let process = SuspendableProcess::start();
    let mut cluster = TestCluster::start(1).await;
    cluster.add_daemon_in(&process, LONG_IDLE_TIMEOUT).await;
    cluster.send_heartbeat(1, EndpointState::Draining, 2).await;
    let work = Behavior::AnswerAfter(Duration::from_millis(500));
    cluster.endpoints[0].script(&vec![work; CONNECTIONS]);
    let stopping = cluster.daemons.pop().expect("two daemons");
    let settings = stopping.shared().settings.clone();
    let (address, grace) = (settings.outbound, settings.stop_grace);
    process.run_as_main(stopping.stop());
    sleep(grace - Duration::from_millis(2_050)).await;
    let mut calls = JoinSet::new();
    for number in 0..CONNECTIONS {
        calls.spawn(async move {
            let id = format!("r-{number}");
            let headers = [("bw-request-id", id.as_str()), ("bw-remaining-ms", "8000")];
            let stream = TcpStream::connect(address).await.expect("it listens");
            let answer = call_on(stream, "/once/pay", &headers, Bytes::new()).await;
            answer.map(|answer| answer.status).ok()
        });
    }
    sleep(Duration::from_millis(200)).await;
    process.suspend(Duration::from_millis(1_650));
    let statuses = calls.join_all().await;
    assert_eq!(statuses, [Some(StatusCode::OK); CONNECTIONS]);
}

/// A daemon that counts as silent and then ends is not waited for until the request's time is over.
#[tokio::test]
async fn wait_for_a_silent_daemon_ends_when_its_connection_breaks() {
    let cluster = TestCluster::start(1).await;
    let silent = TcpListener::bind("127.0.0.1:0").await;
    let silent = silent.expect("a free port");
    cluster
        .register_elsewhere("e-silent", silent.local_addr().expect("bound"))
        .await;
    cluster.send_heartbeat(0, EndpointState::Draining, 2).await;
    let begun = Instant::now();
    let call = cluster.call(0, "/safe/item", "r-1");
    let ending = async {
        let (mut accepted, _) = silent.accept().await.expect("a connection");
        let mut head = [0; 16];
        accepted.read_exact(&mut head).await.expect("a request");
        sleep(TIME_UNTIL_END).await;
        accepted.set_zero_linger().expect("an open socket");
    };
    let (answer, ()) = tokio::join!(call, ending);
    assert_eq!(answer.expect("an answer").status, StatusCode::BAD_GATEWAY);
    let elapsed = begun.elapsed();
    assert!(elapsed >= TIME_UNTIL_END, "{elapsed:?}");
    assert!(elapsed < ROUTE_TIMEOUT, "{elapsed:?}");
}
