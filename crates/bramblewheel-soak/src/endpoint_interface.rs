//! Messages to the interface that daemons have for endpoints: heartbeats and deregistrations, whoever sends them.

use crate::traffic::{Call, send};
use bytes::Bytes;
use http::Method;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for the answer to a message.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);

/// Sends a message to a daemon; returns whether it was acknowledged.
pub async fn post(admin: SocketAddr, path: &str, body: impl Into<Bytes>) -> bool {
    let call = Call {
        method: Method::POST,
        path,
        headers: &[("content-type", "application/json")],
        body: body.into(),
    };
    let answer = send(admin, call, ANSWER_TIME).await;
    answer.is_ok_and(|answer| answer.status.is_success())
}
