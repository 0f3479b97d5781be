//! An endpoint beside a daemon: runs requests, says that it is there, leaves or dies.

use crate::history::{History, Run};
use crate::traffic::{Call, FATAL_BODY, send};
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::Response;
use bramblewheel_platform_client as wire;
use bramblewheel_platform_client::Heartbeat;
use bytes::Bytes;
use http::Method;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time for the answer to a call of an endpoint.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// Time that an endpoint serves on after its leaving was acknowledged.
const SERVES_ON: Duration = Duration::from_millis(2_500);
/// Requests that an endpoint runs side by side.
const SLOTS: u32 = 16;

/// What an endpoint does with a request.
enum Act {
    Answer,
    Refuse,
    Fail,
    CutShort,
}

/// The end of an endpoint under a request.
#[derive(Debug, Default)]
struct Ending {
    has_ended: AtomicBool,
    told: Notify,
}

#[derive(Clone)]
struct Serving {
    ending: Arc<Ending>,
    id: Arc<str>,
    history: History,
    random: Arc<Mutex<Pcg64Mcg>>,
}

/// A running endpoint; dropping it is its death.
#[derive(Debug)]
pub struct Endpoint {
    id: String,
    service: &'static str,
    address: SocketAddr,
    admin: SocketAddr,
    sequence: Arc<AtomicU64>,
    history: History,
    beating: JoinSet<()>,
    ending: Arc<Ending>,
    _serving: JoinSet<()>,
}

impl Endpoint {
    /// Starts an endpoint at `address`, beside the daemon whose interface for it is `admin`.
    ///
    /// # Errors
    /// When it can't listen.
    pub async fn start(
        id: String,
        service: &'static str,
        address: IpAddr,
        admin: SocketAddr,
        history: History,
        seed: u64,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((address, 0)).await?;
        let address = listener.local_addr()?;
        let ending = Arc::new(Ending::default());
        let serving = Serving {
            ending: Arc::clone(&ending),
            id: id.as_str().into(),
            history: history.clone(),
            random: Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed))),
        };
        let router = Router::new().fallback(run).with_state(serving);
        let mut tasks = JoinSet::new();
        let until = Arc::clone(&ending);
        tasks.spawn(async move {
            tokio::select! {
                () = serve(listener, router) => {}
                () = until.told.notified() => {}
            }
        });
        let mut endpoint = Self {
            id,
            service,
            address,
            admin,
            sequence: Arc::new(AtomicU64::new(0)),
            history,
            beating: JoinSet::new(),
            ending,
            _serving: tasks,
        };
        let beat = endpoint.word("ready");
        let ending = Arc::clone(&endpoint.ending);
        endpoint.beating.spawn(async move {
            while !ending.has_ended.load(Ordering::Relaxed) {
                // One that is lost is made up for by the next.
                beat.say().await;
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        Ok(endpoint)
    }

    /// Whether a request has ended it.
    pub fn has_ended(&self) -> bool {
        self.ending.has_ended.load(Ordering::Relaxed)
    }

    fn word(&self, state: &'static str) -> Word {
        Word {
            id: self.id.clone(),
            service: self.service,
            address: self.address,
            admin: self.admin,
            state,
            sequence: Arc::clone(&self.sequence),
        }
    }

    /// Leaves as planned: says so until it is acknowledged, serves on, and ends.
    pub async fn leave(mut self) {
        const TRIES: u32 = 10;
        self.beating.shutdown().await;
        let word = self.word("draining");
        for _ in 0..TRIES {
            if word.say().await {
                let at = self.history.now();
                self.history.events().leaving.push((self.id.clone(), at));
                break;
            }
        }
        tokio::time::sleep(SERVES_ON).await;
        let path = wire::deregister_path(&self.id);
        let call = Call {
            method: Method::POST,
            path: &path,
            headers: &[],
            body: Bytes::new(),
        };
        let _ = send(self.admin, call, ANSWER_TIME).await;
    }
}

/// Serves connections; when it is dropped, all of them end at once.
async fn serve(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    continue;
                };
                let service = TowerToHyperService::new(router.clone());
                let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                // A connection's end is no matter of the endpoint.
                connections.spawn(async move { drop(serving.await) });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// What an endpoint says of itself.
struct Word {
    id: String,
    service: &'static str,
    address: SocketAddr,
    admin: SocketAddr,
    state: &'static str,
    sequence: Arc<AtomicU64>,
}

impl Word {
    /// Returns whether it was acknowledged.
    async fn say(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let heartbeat = Heartbeat {
            service: self.service,
            address: self.address,
            zone: "north",
            slots: SLOTS,
            state: self.state,
            sequence,
        };
        let call = Call {
            method: Method::POST,
            path: &wire::heartbeat_path(&self.id),
            headers: &[("content-type", "application/json")],
            body: Bytes::from(heartbeat.body()),
        };
        let answer = send(self.admin, call, ANSWER_TIME).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }
}

async fn run(State(serving): State<Serving>, headers: HeaderMap, body: Bytes) -> Response {
    let text = |name: &str| {
        let value = headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let id = text(wire::REQUEST_ID).unwrap_or_default();
    let answer = Response::builder().header(wire::REQUEST_ID, &id);
    let with = |status: StatusCode, body: Body| {
        let answer = answer.status(status);
        answer.body(body).expect("a valid answer")
    };
    if text(wire::EXPECTED).is_some_and(|expected| *expected != *serving.id) {
        return with(StatusCode::MISDIRECTED_REQUEST, Body::empty());
    }
    let (act, work) = serving.draw();
    if matches!(act, Act::Refuse) {
        let mut refusal = with(StatusCode::SERVICE_UNAVAILABLE, Body::empty());
        let proof = http::HeaderValue::from_static("1");
        refusal.headers_mut().insert(wire::NOT_RUN, proof);
        return refusal;
    }
    let at = serving.history.now();
    serving.history.events().runs.push(Run {
        id: id.clone(),
        endpoint: serving.id.to_string(),
        caller_service: text(wire::CALLER_SERVICE),
        at,
    });
    tokio::time::sleep(work).await;
    if body == FATAL_BODY {
        // Listener and connections end with the task that serves them, and this one with them.
        serving.ending.has_ended.store(true, Ordering::Relaxed);
        serving.ending.told.notify_one();
        std::future::pending::<()>().await;
    }
    let body = wire::body(&serving.id, &id);
    let (status, body) = match act {
        Act::Fail => (StatusCode::INTERNAL_SERVER_ERROR, Body::from("failed")),
        Act::CutShort => (StatusCode::OK, cut_short(&body)),
        Act::Answer | Act::Refuse => (StatusCode::OK, Body::from(body)),
    };
    let mut answer = with(status, body);
    let proof = http::HeaderValue::from_str(&serving.id).expect("ids are visible ASCII");
    answer.headers_mut().insert(wire::PROOF, proof);
    answer
}

/// A body that breaks after its first half.
fn cut_short(body: &str) -> Body {
    let half = Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]);
    Body::new(Broken(Some(half)))
}

struct Broken(Option<Bytes>);

impl http_body::Body for Broken {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<http_body::Frame<Bytes>, io::Error>>> {
        std::task::Poll::Ready(Some(match self.0.take() {
            Some(half) => Ok(http_body::Frame::data(half)),
            None => Err(io::Error::other("cut short")),
        }))
    }
}

impl Serving {
    /// What is done with the next request, and how long it takes.
    fn draw(&self) -> (Act, Duration) {
        let mut random = self.random.lock().expect("no panic under the lock");
        let act = match random.random_range(0..100) {
            0 => Act::Refuse,
            1 => Act::Fail,
            2 => Act::CutShort,
            _ => Act::Answer,
        };
        (act, Duration::from_millis(random.random_range(2..40)))
    }
}
