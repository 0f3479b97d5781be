//! Calls through a gateway and an endpoint's daemon to the endpoint.

mod support;

use support::client::{admin, call, read_all, send};
use support::peer::FakePeer;
use support::{Pair, expect_in_time, gateway_to};
use tempfile::TempDir;

#[tokio::test]
async fn call_returns_the_answer_of_the_endpoint() {
    let mut pair = Pair::start().await;
    let entry = pair.entry();
    let caller = tokio::spawn(async move { call(entry, "/list?of=fish", &[], "a question").await });
    let request = pair.endpoint.next().await;
    assert!(request.head.starts_with("POST /list?of=fish HTTP/1.1\r\n"));
    assert_eq!(request.body, "a question");
    assert!(request.header("bw-attempt").is_some());
    request.answer("an answer").await;
    let reply = caller.await.expect("the caller ends");
    assert_eq!(reply.status(), 200);
    assert_eq!(reply.header("bw-outcome"), Some("completed"));
    assert_eq!(reply.text(), "an answer");
    assert!(reply.is_whole());
}

#[tokio::test]
async fn context_headers_from_external_callers_are_ignored() {
    let mut pair = Pair::start().await;
    let entry = pair.entry();
    let spoofed = "1111111111111111";
    let caller = tokio::spawn(async move {
        let extra = [
            "bw-attempt: 1111111111111111",
            "bw-call-id: 1111111111111111",
            "bw-parent: 1111111111111111",
            "bw-criticality: critical",
            "bw-in-session: 1",
            "bw-session: forged.1.00.00",
            "bw-retry-tokens: 99",
            "bw-depth: 0",
            "bw-bundle-version: 99",
            "bw-unheard-of: 1",
        ];
        call(entry, "/", &extra, "").await
    });
    let request = pair.endpoint.next().await;
    assert_ne!(request.header("bw-attempt"), Some(spoofed));
    assert_eq!(request.header("bw-criticality"), Some("normal"));
    for name in [
        "bw-in-session",
        "bw-parent",
        "bw-retry-tokens",
        "bw-unheard-of",
    ] {
        assert_eq!(request.header(name), None, "{name} was forwarded");
    }
    request.answer("").await;
    assert_eq!(caller.await.expect("the caller ends").status(), 200);
}

#[tokio::test]
async fn an_answer_for_another_attempt_is_never_delivered() {
    const FOREIGN: &str = "somebody else's answer";
    let folder = TempDir::new().expect("a temporary folder");
    let mut peer = FakePeer::start().await;
    let (_control, gateway) = gateway_to(&peer, &folder).await;
    let entry = gateway.addresses().outbound;
    let caller = tokio::spawn(async move { call(entry, "/", &[], "").await });
    // Each retry reaches the same peer, whose answer must be refused as well.
    let mut caller = std::pin::pin!(caller);
    let reply = loop {
        tokio::select! {
            request = peer.next() => {
                let request = request.answer_as_daemon("00000000000000ff", FOREIGN).await;
                request.until_closed().await;
            }
            reply = &mut caller => break reply.expect("the caller ends"),
        }
    };
    assert_eq!(reply.status(), 502);
    assert_eq!(reply.header("bw-outcome"), Some("unknown"));
    assert!(!reply.text().contains(FOREIGN));
}

#[tokio::test]
async fn answer_with_an_incomplete_body_is_unknown() {
    let mut pair = Pair::start().await;
    let entry = pair.entry();
    let extra = ["bw-operation-key: once", "bw-operation-minted-ms: 1"];
    let caller = tokio::spawn(async move { call(entry, "/pay", &extra, "").await });
    let request = pair.endpoint.next().await;
    let short = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part";
    request.answer_raw(short).await;
    let reply = caller.await.expect("the caller ends");
    assert_eq!(reply.status(), 502);
    assert_eq!(reply.header("bw-outcome"), Some("unknown"));
    assert!(!reply.text().contains("only a part"));
}

#[tokio::test]
async fn long_answer_that_breaks_is_incomplete_for_the_caller() {
    let mut pair = Pair::start().await;
    let entry = pair.entry();
    let caller = tokio::spawn(async move { call(entry, "/", &[], "").await });
    let request = pair.endpoint.next().await;
    let length = support::BODY_LIMIT * 4;
    let part = "x".repeat(support::BODY_LIMIT * 2);
    let bytes = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{part}");
    request.answer_raw(bytes.as_bytes()).await;
    let reply = caller.await.expect("the caller ends");
    assert!(!reply.is_whole(), "the broken answer looks complete");
}

#[tokio::test]
async fn long_answer_is_forwarded_completely() {
    let mut pair = Pair::start().await;
    let entry = pair.entry();
    let caller = tokio::spawn(async move { call(entry, "/", &[], "").await });
    let long = "fish ".repeat(support::BODY_LIMIT);
    pair.endpoint.next().await.answer(&long).await;
    let reply = caller.await.expect("the caller ends");
    assert_eq!(reply.status(), 200);
    assert!(reply.is_whole());
    let text = reply.text();
    let received = text.matches('s').count();
    assert_eq!(received, support::BODY_LIMIT);
}

#[tokio::test]
async fn disconnect_of_the_caller_cancels_the_request_at_the_endpoint() {
    let mut pair = Pair::start().await;
    let caller = send(pair.entry(), "/", &[], "").await;
    let request = pair.endpoint.next().await;
    drop(caller);
    request.until_closed().await;
}

#[tokio::test]
async fn an_operation_runs_once() {
    let mut pair = Pair::start().await;
    let entry = pair.entry();
    let extra = ["bw-operation-key: charge-1", "bw-operation-minted-ms: 1"];
    let first = tokio::spawn(async move { call(entry, "/pay", &extra, "7 kroner").await });
    pair.endpoint.next().await.answer("charged").await;
    assert_eq!(first.await.expect("the caller ends").text(), "charged");
    pair.control.next_operation().await;
    pair.control.next_operation().await;
    let again = call(entry, "/pay", &extra, "7 kroner").await;
    assert_eq!(again.header("bw-outcome"), Some("completed"));
    assert_eq!(again.text(), "charged");
    assert!(!pair.endpoint.has_request(), "the operation ran twice");
    let admin_address = pair.sidecar.addresses().admin;
    let state = admin(admin_address, "/operations/charge-1").await;
    assert!(state.text().contains("\"state\":\"completed\""));
}

#[tokio::test]
async fn result_of_an_operation_is_recorded_after_its_caller_disconnects() {
    let mut pair = Pair::start().await;
    let extra = ["bw-operation-key: charge-2", "bw-operation-minted-ms: 1"];
    let caller = send(pair.entry(), "/pay", &extra, "").await;
    let request = pair.endpoint.next().await;
    pair.control.next_operation().await;
    drop(caller);
    request.answer("charged").await;
    let recorded = pair.control.next_operation().await;
    let recorded = format!("{:?}", recorded.action);
    assert!(recorded.starts_with("Complete("), "{recorded}");
}

#[tokio::test]
async fn planned_stop_interrupts_no_request_in_progress() {
    let mut pair = Pair::start().await;
    let mut caller = send(pair.entry(), "/", &[], "").await;
    let request = pair.endpoint.next().await;
    pair.sidecar.drain();
    pair.gateway.drain();
    pair.control
        .until_poll("stock-1", |poll| {
            let endpoint = poll.registration.endpoint.as_ref();
            endpoint.is_some_and(|endpoint| endpoint.draining)
        })
        .await;
    let refused = call(pair.entry(), "/", &[], "").await;
    assert_eq!(refused.header("bw-reason"), Some("draining"));
    request.answer("finished").await;
    let reply = read_all(&mut caller).await;
    assert_eq!(reply.status(), 200);
    assert_eq!(reply.text(), "finished");
    expect_in_time("the stop of the endpoint's daemon", pair.sidecar.stopped()).await;
    expect_in_time("the stop of the gateway", pair.gateway.stopped()).await;
}
