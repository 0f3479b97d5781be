//! HTTP client for a daemon's outbound listener, used by endpoints and by callers.

use crate::answer;
use crate::journal::{CallerOutcome, Failure, ReplyFromDaemon};
use bramblewheel_protocol::headers;
use bramblewheel_types::{NotRunReason, RequestId};
use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after the deadline at which a caller stops waiting for the daemon's answer.
pub const ANSWER_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Connections that have been idle for longer are closed. Well below the daemons' own idle limit, so that no
/// request is sent on a connection that the daemon is just closing.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// A client that reuses connections, as applications do.
#[derive(Clone, Debug)]
pub struct CallClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A call to make.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// Outbound listener of a daemon.
    pub daemon: SocketAddr,
    /// Path of the request.
    pub path: String,
    /// Header fields to send.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Original request; the answer is checked against it.
    pub request: RequestId,
    /// Time until the deadline.
    pub timeout: Duration,
}

/// Result of a call.
#[derive(Clone, Debug)]
pub struct CallReply {
    /// How the request ended for the caller.
    pub reply: ReplyFromDaemon,
    /// Time after which the request may be sent again.
    pub retry_after: Option<Duration>,
    /// Token of a session that was opened.
    pub session: Option<String>,
}

impl Default for CallClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(MAX_IDLE_TIME)
            .build(connector);
        Self { client }
    }
}

impl CallClient {
    /// Makes a call and checks every byte of a completed answer.
    pub async fn call(&self, call: &OutgoingCall) -> CallReply {
        let timeout = call.timeout + ANSWER_TIMEOUT_MARGIN;
        match tokio::time::timeout(timeout, self.exchange(call)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(failure)) => no_answer(failure),
            Err(_) => no_answer(Failure::Silent),
        }
    }

    async fn exchange(&self, call: &OutgoingCall) -> Result<CallReply, Failure> {
        let uri = format!("http://{}{}", call.daemon, call.path);
        let mut request = Request::post(uri)
            .body(Full::new(call.body.clone()))
            .expect("an address and a path make a valid URI");
        *request.headers_mut() = call.headers.clone();
        let response = self
            .client
            .request(request)
            .await
            .map_err(|e| failure(&e))?;
        read_reply(call, response).await
    }
}

fn failure(error: &Error) -> Failure {
    if error.is_connect() {
        Failure::NotConnected
    } else {
        Failure::Broken
    }
}

fn no_answer(failure: Failure) -> CallReply {
    CallReply {
        reply: ReplyFromDaemon {
            outcome: CallerOutcome::Nothing { failure },
            status: None,
            own_whole: None,
        },
        retry_after: None,
        session: None,
    }
}

async fn read_reply(
    call: &OutgoingCall,
    response: Response<Incoming>,
) -> Result<CallReply, Failure> {
    let (head, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| Failure::Broken)?
        .to_bytes();
    let outcome = outcome(&head.headers).unwrap_or(CallerOutcome::Nothing {
        failure: Failure::NoOutcome,
    });
    let expected = || answer::body(call.request, &call.path, &call.body);
    let own_whole = (outcome == CallerOutcome::Completed).then(|| body == expected());
    let retry_after = text(&head.headers, headers::RETRY_AFTER_MS);
    Ok(CallReply {
        reply: ReplyFromDaemon {
            outcome,
            status: Some(head.status.as_u16()),
            own_whole,
        },
        retry_after: retry_after
            .and_then(|ms| ms.parse().ok())
            .map(Duration::from_millis),
        session: text(&head.headers, headers::SESSION).map(str::to_owned),
    })
}

fn outcome(map: &HeaderMap) -> Option<CallerOutcome> {
    match text(map, headers::OUTCOME)? {
        "completed" => Some(CallerOutcome::Completed),
        "failed" => Some(CallerOutcome::Failed),
        "unknown" => Some(CallerOutcome::Unknown),
        "not-run" => {
            let reason: NotRunReason = text(map, headers::REASON)?.parse().ok()?;
            Some(CallerOutcome::NotRun { reason })
        }
        _ => None,
    }
}

/// The text of a header field; none if it is missing or not visible ASCII.
pub fn text<'a>(map: &'a HeaderMap, name: &str) -> Option<&'a str> {
    map.get(name)?.to_str().ok()
}

/// Sets a header field to a value of visible ASCII characters.
///
/// # Panics
/// Panics when the value has other characters.
pub fn set(map: &mut HeaderMap, name: &'static str, value: impl ToString) {
    let value = HeaderValue::try_from(value.to_string())
        .expect("ids, numbers and names consist of visible ASCII");
    map.insert(HeaderName::from_static(name), value);
}
