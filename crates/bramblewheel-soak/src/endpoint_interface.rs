//! Sends heartbeats and deregistrations to a daemon's endpoint interface.

use crate::traffic::{Call, send};
use bytes::Bytes;
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for the answer to a message.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sends a message to a daemon; returns whether it was acknowledged.
pub async fn post(admin: SocketAddr, path: &str, body: impl Into<Bytes>) -> bool {
    let call = Call {
        method: Method::POST,
        path,
        headers: &[("content-type", "application/json")],
        body: body.into(),
    };
    let answer = send(admin, call, ANSWER_TIMEOUT).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}
