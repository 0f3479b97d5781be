//! Peers that send too much, too slowly, or ambiguous requests.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use support::client::{Reply, call, read_all, send_raw};
use support::{Pair, expect_in_time};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// Checks that the daemon still serves calls.
async fn assert_still_serves(pair: &mut Pair) {
    let entry = pair.entry();
    let caller = tokio::spawn(async move { call(entry, "/", &[], "").await });
    pair.endpoint.next().await.answer("alive").await;
    assert_eq!(caller.await.expect("the caller ends").text(), "alive");
}

async fn raw(pair: &Pair, bytes: &[u8]) -> Reply {
    let mut stream = send_raw(pair.entry(), bytes).await;
    read_all(&mut stream).await
}

#[tokio::test]
async fn too_many_or_too_long_headers_are_refused() {
    let mut pair = Pair::start().await;
    let many: String = (0..500).map(|n| format!("x-{n}: 1\r\n")).collect();
    let long = format!("x-long: {}\r\n", "y".repeat(64 * 1024));
    for fields in [many, long] {
        let request = format!("GET / HTTP/1.1\r\nhost: test\r\n{fields}\r\n");
        assert_eq!(raw(&pair, request.as_bytes()).await.status(), 431);
    }
    assert_still_serves(&mut pair).await;
}

#[tokio::test]
async fn incomplete_head_times_out() {
    let mut pair = Pair::start().await;
    let reply = raw(&pair, b"GET / HTTP/1.1\r\nhost: te").await;
    assert_ne!(reply.status(), 200);
    assert_still_serves(&mut pair).await;
}

/// Writes `piece` repeatedly until the peer closes the connection.
async fn trickle(mut to: OwnedWriteHalf, piece: &[u8]) {
    const PAUSE: Duration = Duration::from_millis(20);
    while to.write_all(piece).await.is_ok() {
        tokio::time::sleep(PAUSE).await;
    }
}

#[tokio::test]
async fn head_that_arrives_slowly_times_out() {
    let mut pair = Pair::start().await;
    let (_reader, mut writer) = send_raw(pair.entry(), b"").await.into_split();
    let start = b"GET / HTTP/1.1\r\nbw-service: stock\r\nx-slow: ";
    writer.write_all(start).await.expect("an open connection");
    expect_in_time(
        "the connection with a slow head to close",
        trickle(writer, b"a"),
    )
    .await;
    assert!(!pair.endpoint.has_request());
    assert_still_serves(&mut pair).await;
}

#[tokio::test]
async fn stalled_body_is_refused_and_not_forwarded() {
    let mut pair = Pair::start().await;
    let head = "POST / HTTP/1.1\r\nhost: test\r\nconnection: close\r\nbw-service: stock\r\n";
    let stalled = format!("{head}content-length: 100\r\n\r\nonly a part");
    let reply = raw(&pair, stalled.as_bytes()).await;
    assert_eq!(reply.status(), 400);
    assert_eq!(reply.header("bw-outcome"), Some("not-run"));
    assert!(!pair.endpoint.has_request());
    assert_still_serves(&mut pair).await;
}

#[tokio::test]
async fn truncated_body_is_not_forwarded() {
    let mut pair = Pair::start().await;
    let head = "POST / HTTP/1.1\r\nhost: test\r\nbw-service: stock\r\n";
    for rest in [
        "content-length: 100\r\n\r\nonly a part",
        "transfer-encoding: chunked\r\n\r\nb\r\nonly a part\r\n",
        "transfer-encoding: chunked\r\n\r\nzz\r\n",
    ] {
        let mut stream = send_raw(pair.entry(), format!("{head}{rest}").as_bytes()).await;
        stream.shutdown().await.expect("an open connection");
        let reply = read_all(&mut stream).await;
        assert_ne!(reply.status(), 200, "{rest}");
    }
    assert!(!pair.endpoint.has_request());
    assert_still_serves(&mut pair).await;
}

#[tokio::test]
async fn chunked_body_over_the_limit_is_refused() {
    let mut pair = Pair::start().await;
    let chunk = format!("{:x}\r\n{}\r\n", 1024, "z".repeat(1024));
    let chunks = chunk.repeat(support::BODY_LIMIT / 1024 + 1);
    let request = format!(
        "POST / HTTP/1.1\r\nhost: test\r\nconnection: close\r\nbw-service: stock\r\n\
         transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
    );
    assert_eq!(raw(&pair, request.as_bytes()).await.status(), 413);
    assert!(!pair.endpoint.has_request());
    assert_still_serves(&mut pair).await;
}

#[tokio::test]
async fn conflicting_content_lengths_are_refused() {
    let mut pair = Pair::start().await;
    let head = "POST / HTTP/1.1\r\nhost: test\r\nconnection: close\r\nbw-service: stock\r\n";
    let smuggled = "GET /smuggled HTTP/1.1\r\nbw-service: stock\r\n\r\n";
    let lengths = "content-length: 4\r\ncontent-length: 60\r\n";
    let request = format!("{head}{lengths}\r\nbody{smuggled}");
    assert_eq!(raw(&pair, request.as_bytes()).await.status(), 400);
    assert!(!pair.endpoint.has_request());
    assert_still_serves(&mut pair).await;
}

/// Header lines of an attempt as sent by a daemon, without the header `name`.
fn attempt_without(name: &str) -> Vec<&'static str> {
    let lines = [
        "bw-request-id: 000000000000000000000000000000aa",
        "bw-call-id: 00000000000000bb",
        "bw-attempt: 00000000000000cc",
        "bw-criticality: normal",
        "bw-timeout-ms: 5000",
        "bw-retry-tokens: 1",
        "bw-depth: 1",
        "bw-bundle-version: 1",
    ];
    let other = |line: &&str| line.split(':').next() != Some(name);
    lines.into_iter().filter(other).collect()
}

async fn attempt(inbound: SocketAddr, without: &str, extra: &[&str]) -> Reply {
    let mut lines = attempt_without(without);
    lines.extend(extra);
    call(inbound, "/", &lines, "").await
}

#[tokio::test]
async fn attempt_with_invalid_context_is_refused_and_not_dispatched() {
    let mut pair = Pair::start().await;
    let inbound = pair
        .sidecar
        .addresses()
        .inbound
        .expect("an inbound listener");
    let long = format!("bw-session: {}", "x".repeat(1000));
    let many: Vec<String> = (0..40).map(|n| format!("bw-other-{n}: 1")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let cases: [(&str, &[&str]); 9] = [
        ("bw-retry-tokens", &[]),
        ("bw-retry-tokens", &["bw-retry-tokens: +1"]),
        ("bw-retry-tokens", &["bw-retry-tokens: 4294967296"]),
        ("", &["bw-retry-tokens: 1"]),
        ("", &["bw-in-session: perhaps"]),
        ("", &["bw-operation-minted-ms: 1"]),
        ("bw-depth", &["bw-depth: 256"]),
        ("", &[&long]),
        ("", &many),
    ];
    for (without, extra) in cases {
        let reply = attempt(inbound, without, extra).await;
        assert_eq!(reply.status(), 400, "{without} {extra:?}");
        assert_eq!(reply.header("bw-outcome"), Some("not-run"));
    }
    assert!(!pair.endpoint.has_request());
    let served = tokio::spawn(async move { attempt(inbound, "", &[]).await });
    pair.endpoint.next().await.answer("trusted").await;
    assert_eq!(served.await.expect("the caller ends").text(), "trusted");
    assert_still_serves(&mut pair).await;
}

#[tokio::test]
async fn an_oversized_body_is_refused() {
    let mut pair = Pair::start().await;
    let body = "z".repeat(support::BODY_LIMIT + 1);
    let reply = call(pair.entry(), "/", &[], &body).await;
    assert_eq!(reply.status(), 413);
    assert_eq!(reply.header("bw-reason"), Some("invalid-request"));
    assert!(!pair.endpoint.has_request());
    assert_still_serves(&mut pair).await;
}

#[tokio::test]
async fn connections_over_the_limit_get_a_refusal() {
    let mut pair = Pair::start().await;
    let mut held = Vec::new();
    for _ in 0..8 {
        held.push(send_raw(pair.entry(), b"").await);
    }
    let reply = raw(&pair, b"").await;
    assert_eq!(reply.status(), 503);
    assert_eq!(reply.header("bw-reason"), Some("overloaded"));
    for mut stream in held {
        read_all(&mut stream).await;
    }
    assert_still_serves(&mut pair).await;
}

#[tokio::test]
async fn ambiguous_paths_and_invalid_headers_are_refused() {
    let mut pair = Pair::start().await;
    let refused = [
        ("//pay", ""),
        ("/./pay", ""),
        ("/%70ay", ""),
        ("/x/../pay", ""),
        ("/", "bw-service: other"),
        ("/", "bw-timeout-ms: -1"),
        ("/", "bw-request-id: 12"),
        ("/", "bw-operation-key: key-without-mint-time"),
    ];
    for (path, field) in refused {
        let extra: Vec<&str> = Some(field).filter(|f| !f.is_empty()).into_iter().collect();
        let reply = call(pair.entry(), path, &extra, "").await;
        assert_eq!(reply.status(), 400, "{path} {field}");
        assert_eq!(reply.header("bw-outcome"), Some("not-run"));
    }
    assert!(!pair.endpoint.has_request());
    assert_still_serves(&mut pair).await;
}
