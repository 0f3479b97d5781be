//! When a request counts as sent.

use bramblewheel_soak::sent_body::SentBody;
use bytes::Bytes;
use http::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// Sends a request with this body; returns whether it counted as sent before its connection was driven, and after the
/// peer read its head.
async fn is_sent(bytes: &'static [u8], is_slow: bool) -> (bool, bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let stream = TcpStream::connect(address).await.expect("it listens");
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("HTTP");
    let sent = Arc::new(AtomicBool::new(false));
    let notified = Arc::clone(&sent);
    let on_sent = Box::new(move || notified.store(true, Ordering::Relaxed));
    let body = SentBody::new(Bytes::from_static(bytes), is_slow, on_sent);
    let request = Request::post("/").body(body).expect("a valid request");
    let answer = sender.send_request(request);
    let before = sent.load(Ordering::Relaxed);
    tokio::spawn(connection);
    let (mut accepted, _) = listener.accept().await.expect("a connection");
    let read = async {
        accepted.read_exact(&mut [0; 16]).await.expect("a head");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    tokio::select! {
        _ = answer => {}
        () = read => {}
    }
    (before, sent.load(Ordering::Relaxed))
}

#[tokio::test]
async fn request_counts_as_sent_once_its_last_byte_is_passed_to_the_connection() {
    assert_eq!(is_sent(b"work", false).await, (false, true));
    assert_eq!(is_sent(b"work", true).await, (false, true));
}

#[tokio::test]
async fn request_without_a_body_counts_as_sent_with_its_head() {
    assert_eq!(is_sent(b"", false).await, (false, true));
}
