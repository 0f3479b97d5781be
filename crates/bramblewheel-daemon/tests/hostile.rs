//! Peers that send too much, too slowly, or what can't be told apart.

mod support;

use support::Pair;
use support::client::{Reply, call, read_all, send_raw};

/// The daemon still serves after whatever was done to it.
async fn still_serves(pair: &mut Pair) {
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
    still_serves(&mut pair).await;
}

#[tokio::test]
async fn a_head_that_never_ends_is_cut_off() {
    let mut pair = Pair::start().await;
    let reply = raw(&pair, b"GET / HTTP/1.1\r\nhost: te").await;
    assert_ne!(reply.status(), 200);
    still_serves(&mut pair).await;
}

#[tokio::test]
async fn an_oversized_body_is_refused() {
    let mut pair = Pair::start().await;
    let body = "z".repeat(support::BODY_LIMIT + 1);
    let reply = call(pair.entry(), "/", &[], &body).await;
    assert_eq!(reply.status(), 413);
    assert_eq!(reply.header("bw-reason"), Some("invalid-request"));
    assert!(!pair.endpoint.has_more());
    still_serves(&mut pair).await;
}

#[tokio::test]
async fn connections_over_the_cap_are_told_so() {
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
    still_serves(&mut pair).await;
}

#[tokio::test]
async fn paths_and_fields_with_two_meanings_are_refused() {
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
    assert!(!pair.endpoint.has_more());
    still_serves(&mut pair).await;
}
