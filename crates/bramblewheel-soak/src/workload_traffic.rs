//! Sends the requests of a workload, for callers and for endpoints, and reads the answers.

use crate::history::{End, History, NewRequest};
use crate::run::Soak;
use crate::sent_body::{SLOW_PAUSE, SentBody};
use crate::traffic::{CONNECT_TIMEOUT, MARGIN, NoAnswer};
use crate::workload::{Connections, RequestKind};
use bramblewheel_platform_client as wire;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest time for reading the body of an answer; a slow reader takes some seconds for the longest one.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

type Connection = http1::SendRequest<SentBody>;

async fn open(address: SocketAddr) -> Option<Connection> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting.ok()?.ok()?;
    // With Nagle's algorithm, a short request may wait for the peer's delayed acknowledgement.
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // The task ends when the peer closes the connection or the sender is dropped.
    tokio::spawn(connection);
    Some(sender)
}

/// One request of a workload.
struct WorkRequest {
    history: History,
    daemon: usize,
    kind: RequestKind,
    id: String,
    parent: Option<String>,
    /// Time for which its caller waits.
    deadline: Duration,
    body: Bytes,
    reads_slowly: bool,
    sends_slowly: bool,
}

impl WorkRequest {
    /// Sends the request and records how it ended. Returns the status of the answer, and the connection if it can be
    /// used again.
    async fn send(self, mut connection: Connection) -> (Option<StatusCode>, Option<Connection>) {
        if connection.ready().await.is_err() {
            return (None, None);
        }
        let time_limit = self
            .deadline
            .min(Duration::from_millis(self.kind.timeout_ms));
        let number = self.history.record_request(NewRequest {
            id: self.id.clone(),
            kind: self.kind.repeatability(),
            daemon: self.daemon,
            time_limit,
            parent_id: self.parent.clone(),
        });
        let on_sent = self.history.on_body_sent(number);
        let body = SentBody::new(self.body, self.sends_slowly, on_sent);
        let request = Request::post(self.kind.path())
            .header("host", wire::HOST)
            .header(wire::REQUEST_ID, &self.id)
            .header(wire::DEADLINE, self.deadline.as_millis().to_string())
            .body(body)
            .expect("paths and header values are constants, ids and numbers, all of them valid");
        let exchange = timeout(self.deadline + MARGIN, connection.try_send_request(request));
        let end = match exchange.await {
            Err(_) => End::Unanswered,
            Ok(Err(error)) if error.message().is_some() => End::NotSent,
            Ok(Err(_)) => End::Broken,
            Ok(Ok(answer)) => read(answer, self.reads_slowly, &self.id).await,
        };
        let status = match &end {
            End::Answer { status, .. } => StatusCode::from_u16(*status).ok(),
            _ => None,
        };
        self.history.record_end(number, end);
        (status, status.is_some().then_some(connection))
    }
}

async fn read(answer: Response<Incoming>, reads_slowly: bool, id: &str) -> End {
    let (head, body) = answer.into_parts();
    let reading = timeout(READ_TIMEOUT, read_body(body, reads_slowly));
    match reading.await {
        Err(_) => End::Abandoned,
        Ok(Err(_)) => End::Broken,
        Ok(Ok(body)) => end_of(head.status, &head.headers, id, &body),
    }
}

async fn read_body(mut body: Incoming, is_slow: bool) -> Result<Vec<u8>, NoAnswer> {
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| NoAnswer::Broken)?;
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
        if is_slow {
            tokio::time::sleep(SLOW_PAUSE).await;
        }
    }
    Ok(whole)
}

fn end_of(status: StatusCode, headers: &HeaderMap, id: &str, body: &[u8]) -> End {
    let proof = headers.get(wire::PROOF);
    let proof = proof.and_then(|value| value.to_str().ok());
    End::Answer {
        status: status.as_u16(),
        proof: proof.map(str::to_owned),
        is_own_body: proof.is_some_and(|endpoint| wire::is_body_of(endpoint, id, body)),
    }
}

/// A call made by an endpoint.
pub(crate) struct EndpointCall {
    pub(crate) history: History,
    /// Address of the daemon beside the endpoint.
    pub(crate) outbound: SocketAddr,
    pub(crate) daemon: usize,
    pub(crate) kind: RequestKind,
    pub(crate) id: String,
    /// Request that the endpoint runs.
    pub(crate) parent: String,
    /// Time that the parent request has left.
    pub(crate) time_left: Duration,
}

/// Makes a call; returns whether it succeeded.
pub(crate) async fn make_call(call: EndpointCall) -> bool {
    let Some(connection) = open(call.outbound).await else {
        return false;
    };
    let deadline = call
        .time_left
        .min(Duration::from_millis(call.kind.deadline_ms));
    let request = WorkRequest {
        history: call.history,
        daemon: call.daemon,
        kind: call.kind,
        id: call.id,
        parent: Some(call.parent),
        deadline,
        body: Bytes::new(),
        reads_slowly: false,
        sends_slowly: false,
    };
    let (status, _) = request.send(connection).await;
    status.is_some_and(|status| status.is_success())
}

/// Sends the requests of one kind to one daemon until the soak is over.
pub(crate) async fn callers(soak: Arc<Soak>, daemon: usize, kind: RequestKind) {
    let name_hash = kind.name.bytes().fold(0_u64, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    let mut random = Pcg64Mcg::seed_from_u64(soak.seed ^ (daemon as u64) << 32 ^ name_hash);
    let pool: Arc<Mutex<Vec<Connection>>> = Arc::default();
    let mut sent = JoinSet::new();
    let mut number = 0_u64;
    while !soak.is_over() {
        let per_second = kind.per_second * soak.load_factor();
        let pause = Duration::from_secs_f64(random.random_range(0.2..1.8) / per_second);
        tokio::time::sleep(pause).await;
        number += 1;
        let id = format!("w-{}-{daemon}-{number}", kind.name);
        let request = draw_request(&soak, daemon, &kind, id, &mut random);
        let address = soak.addresses.outbound(daemon);
        let pool = Arc::clone(&pool);
        let connections = kind.connections;
        let sending = async move { send_with_pool(connections, &pool, address, request).await };
        if connections == Connections::Kept {
            // Sequentially, on a single connection.
            sending.await;
        } else {
            sent.spawn(sending);
        }
        while sent.try_join_next().is_some() {}
    }
    while sent.join_next().await.is_some() {}
}

async fn send_with_pool(
    connections: Connections,
    pool: &Mutex<Vec<Connection>>,
    address: SocketAddr,
    request: WorkRequest,
) {
    let take = || {
        pool.lock()
            .expect("no code panics while it holds the pool")
            .pop()
    };
    let kept = take().filter(|kept| !kept.is_closed());
    let connection = match kept {
        Some(kept) => Some(kept),
        None => open(address).await,
    };
    let Some(connection) = connection else {
        return;
    };
    let (_, reusable) = request.send(connection).await;
    if let (Some(reusable), true) = (reusable, connections != Connections::Fresh) {
        pool.lock()
            .expect("no code panics while it holds the pool")
            .push(reusable);
    }
}

fn draw_request(
    soak: &Soak,
    daemon: usize,
    kind: &RequestKind,
    id: String,
    random: &mut Pcg64Mcg,
) -> WorkRequest {
    let length = usize::try_from(kind.body_bytes.draw(random)).unwrap_or(usize::MAX);
    WorkRequest {
        history: soak.history.clone(),
        daemon,
        kind: kind.clone(),
        id,
        parent: None,
        deadline: Duration::from_millis(kind.deadline_ms),
        body: Bytes::from(vec![wire::FILLER; length]),
        reads_slowly: random.random_bool(kind.slow_readers),
        sends_slowly: random.random_bool(kind.slow_senders),
    }
}
