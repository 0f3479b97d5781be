//! HTTP client of the soak's callers, endpoints and operators.

use crate::history::{End, History, Kind, NewRequest};
use crate::sent_body::{OnSent, SentBody};
use bramblewheel_platform_client as wire;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Deadline that callers give their requests.
pub const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time after the deadline within which an answer must arrive.
pub const MARGIN: Duration = Duration::from_millis(2_000);
/// Body of the fatal request, which crashes every endpoint that runs it.
pub const FATAL_BODY: &str = "fatal";
/// Prefix of the ids of the fatal request.
pub const FATAL_ID: &str = "f-";
/// Longest wait for a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAnswer {
    /// No connection was established.
    NotSent,
    /// The connection ended before the answer did.
    Broken,
    /// The answer did not arrive in time.
    Late,
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Contents of an HTTP request.
#[derive(Debug)]
pub struct Call<'a> {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'a str,
    /// Header fields.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: Bytes,
}

/// Sends a request on a connection of its own.
///
/// # Errors
/// [`NoAnswer`].
pub async fn send(
    address: SocketAddr,
    call: Call<'_>,
    time_limit: Duration,
) -> Result<Answer, NoAnswer> {
    send_recorded(address, call, time_limit, Box::new(|| ())).await
}

/// Sends a request on a connection of its own; calls `on_sent` when its last byte is passed to the connection.
///
/// # Errors
/// [`NoAnswer`].
pub(crate) async fn send_recorded(
    address: SocketAddr,
    call: Call<'_>,
    time_limit: Duration,
    on_sent: OnSent,
) -> Result<Answer, NoAnswer> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connecting else {
        return Err(NoAnswer::NotSent);
    };
    let _ = stream.set_nodelay(true);
    let exchange = async {
        let handshake = http1::handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await.map_err(|_| NoAnswer::Broken)?;
        let connection_task = tokio::spawn(connection);
        let mut request = Request::builder().method(call.method).uri(call.path);
        request = request.header("host", wire::HOST);
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(SentBody::new(call.body, false, on_sent))
            .expect("paths and header values are constants, ids and numbers, all of them valid");
        let answer = sender.send_request(request).await;
        let answer = read_whole(answer.map_err(|_| NoAnswer::Broken)?).await?;
        connection_task.abort();
        Ok(answer)
    };
    timeout(time_limit, exchange)
        .await
        .unwrap_or(Err(NoAnswer::Late))
}

/// Reads the whole body of an answer.
async fn read_whole(answer: Response<Incoming>) -> Result<Answer, NoAnswer> {
    let (head, body) = answer.into_parts();
    let body = body.collect().await.map_err(|_| NoAnswer::Broken)?;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

/// A connection that a caller uses for one request after the other until it breaks.
pub type KeptConnection = http1::SendRequest<SentBody>;

/// Opens a connection to keep; returns none if that fails.
pub async fn open(address: SocketAddr) -> Option<KeptConnection> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // The task ends when the peer closes the connection or the sender is dropped.
    tokio::spawn(connection);
    Some(sender)
}

/// Sends one request on a kept connection and records how it ended. Returns the connection if the answer was
/// complete, so that it is used until the peer closes it.
pub async fn call_on(
    mut kept: KeptConnection,
    history: &History,
    daemon: usize,
    id: String,
) -> Option<KeptConnection> {
    if kept.ready().await.is_err() {
        return None;
    }
    let new_request = NewRequest::short(id.clone(), Kind::Repeatable, daemon, DEADLINE);
    let number = history.record_request(new_request);
    let on_sent = history.on_body_sent(number);
    let deadline = DEADLINE.as_millis().to_string();
    let request = Request::post(wire::path(Kind::Repeatable, daemon % 2))
        .header("host", wire::HOST)
        .header(wire::REQUEST_ID, &id)
        .header(wire::DEADLINE, deadline)
        .body(SentBody::new(Bytes::from(id.clone()), false, on_sent))
        .expect("paths and header values are constants, ids and numbers, all of them valid");
    let exchange = async {
        let sent = kept.try_send_request(request).await;
        let answer = sent.map_err(|error| match error.message() {
            Some(_) => NoAnswer::NotSent,
            None => NoAnswer::Broken,
        })?;
        read_whole(answer).await
    };
    let answer = timeout(DEADLINE + MARGIN, exchange)
        .await
        .unwrap_or(Err(NoAnswer::Late));
    let has_answer = answer.is_ok();
    history.record_end(number, end_of(&answer, &id));
    has_answer.then_some(kept)
}

/// Sends one request of a caller and records how it ended.
pub async fn call(history: History, address: SocketAddr, daemon: usize, kind: Kind, id: String) {
    let is_fatal = id.starts_with(FATAL_ID);
    let is_second = !is_fatal && id.ends_with(['1', '3', '5', '7', '9']);
    let service = usize::from(is_second);
    let path = wire::path(kind, service);
    let deadline = DEADLINE.as_millis().to_string();
    let number = history.record_request(NewRequest::short(id.clone(), kind, daemon, DEADLINE));
    let call = Call {
        method: Method::POST,
        path: &path,
        headers: &[(wire::REQUEST_ID, &id), (wire::DEADLINE, &deadline)],
        body: Bytes::from_static(if is_fatal {
            FATAL_BODY.as_bytes()
        } else {
            b"work"
        }),
    };
    let on_sent = history.on_body_sent(number);
    let answer = send_recorded(address, call, DEADLINE + MARGIN, on_sent).await;
    history.record_end(number, end_of(&answer, &id));
}

/// How a request ended for its caller.
pub fn end_of(answer: &Result<Answer, NoAnswer>, id: &str) -> End {
    match answer {
        Ok(answer) => end_of_answer(answer, id),
        Err(NoAnswer::NotSent) => End::NotSent,
        Err(NoAnswer::Broken) => End::Broken,
        Err(NoAnswer::Late) => End::Unanswered,
    }
}

fn end_of_answer(answer: &Answer, id: &str) -> End {
    let proof = answer.headers.get(wire::PROOF);
    let proof = proof.and_then(|value| value.to_str().ok());
    let own = proof.map(|endpoint| wire::body(endpoint, id));
    End::Answer {
        status: answer.status.as_u16(),
        proof: proof.map(str::to_owned),
        is_own_body: own.is_some_and(|own| own.as_bytes() == answer.body),
    }
}
