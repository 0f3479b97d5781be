//! Answers whose head breaks off: no caller may take what came of them for an answer.

use crate::support::endpoint::Behavior;
use crate::support::{HOST, TEST_TIMEOUT, TestCluster, wait_until};
use http::StatusCode;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Answers with each framing of a body.
const ANSWERS: [&str; 4] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n{fields}\r\n",
    "HTTP/1.1 200 OK\r\n{fields}content-length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\n{fields}transfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\n{fields}connection: close\r\n\r\n",
];

/// The heads of [`ANSWERS`], broken off after each byte, by a close and by a reset.
fn broken_heads() -> Vec<Behavior> {
    let fields = "bw-request-id: r\r\nbw-proof: e-0\r\n".len();
    let mut behaviors = Vec::new();
    for answer in ANSWERS {
        let whole = answer.len() - "{fields}".len() + fields;
        for length in 0..whole {
            behaviors.extend([false, true].map(|is_reset| Behavior::BreakOff {
                answer,
                length,
                is_reset,
            }));
        }
    }
    behaviors
}

/// Sends a request for each broken head to the daemon `number`.
async fn assert_no_success(cluster: &TestCluster, number: usize) {
    for behavior in broken_heads() {
        cluster.endpoints[0].script(std::slice::from_ref(&behavior));
        let answer = cluster.call(number, "/once/", "r").await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{behavior:?}");
    }
    let answer = cluster.call(number, "/once/", "r").await;
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
}

/// Guards against taking a head that breaks off for a success, at the daemon beside the endpoint.
#[tokio::test]
async fn broken_head_of_the_local_endpoint_is_no_answer() {
    let cluster = TestCluster::start(1).await;
    assert_no_success(&cluster, 0).await;
}

/// Guards against the same through another daemon.
#[tokio::test]
async fn broken_head_of_a_remote_endpoint_is_no_answer() {
    let mut cluster = TestCluster::start(1).await;
    let caller = cluster.add_daemon().await;
    let shared = Arc::clone(cluster.daemons[caller].shared());
    wait_until(|| shared.is_ready()).await;
    assert_no_success(&cluster, caller).await;
}

/// Guards against the same for requests sent ahead, one answer of which breaks off.
#[tokio::test]
async fn broken_head_of_a_request_sent_ahead_is_no_answer() {
    let cluster = TestCluster::start(1).await;
    let address = cluster.daemons[0].shared().settings.outbound;
    for (number, behavior) in broken_heads().into_iter().step_by(5).enumerate() {
        let path = |position: usize| format!("/safe/{number}-{position}");
        cluster.endpoints[0].script_target(&path(1), behavior.clone());
        let requests: String = (0..3)
            .map(|position| {
                let last = if position == 2 {
                    "connection: close\r\n"
                } else {
                    ""
                };
                format!(
                    "GET {} HTTP/1.1\r\nhost: {HOST}\r\nbw-request-id: r\r\n{last}\r\n",
                    path(position)
                )
            })
            .collect();
        let mut stream = TcpStream::connect(address).await.expect("it listens");
        stream.write_all(requests.as_bytes()).await.expect("open");
        let mut answers = String::new();
        let reading = timeout(TEST_TIMEOUT, stream.read_to_string(&mut answers));
        reading.await.expect("closed").expect("text");
        let statuses: Vec<_> = answers
            .split("HTTP/1.1 ")
            .skip(1)
            .map(|text| &text[..3])
            .collect();
        assert_eq!(statuses, ["200", "502", "200"], "{behavior:?}: {answers}");
    }
}
