//! What an endpoint does with the requests that reach it.

use super::Ending;
use super::broken_body::cut_short;
use super::work::{self, OpenRun};
use crate::history::{History, RunEnd};
use crate::traffic::FATAL_BODY;
use crate::workload::{RequestKind, Workload};
use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::Response;
use bramblewheel_platform_client as wire;
use http::Uri;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Time that a request has which says nothing of it.
const USUAL_TIME: Duration = Duration::from_secs(3);
/// Longest body of a request that is read, in bytes.
const LONGEST_BODY: usize = 16 << 20;
/// Factor by which an endpoint works longer while it is cold.
const COLD_FACTOR: u32 = 2;

/// What an endpoint does with a request.
enum Act {
    Answer,
    Refuse,
    Fail,
    CutShort,
}

/// What the handler of requests knows of its endpoint.
#[derive(Clone)]
pub(super) struct Serving {
    pub(super) ending: Arc<Ending>,
    pub(super) id: Arc<str>,
    pub(super) started_unix_millis: u64,
    pub(super) daemon: usize,
    /// Where it sends its calls.
    pub(super) outbound: SocketAddr,
    pub(super) history: History,
    pub(super) workload: Arc<Workload>,
    pub(super) started: Instant,
    pub(super) random: Arc<Mutex<Pcg64Mcg>>,
}

pub(super) async fn run(
    State(serving): State<Serving>,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let text = |name: &str| {
        let value = headers.get(name)?.to_str().ok()?;
        Some(value.to_owned())
    };
    let id = text(wire::REQUEST_ID).unwrap_or_default();
    let empty = |status: StatusCode| answered(status, &id, Body::empty());
    if text(wire::EXPECTED_ENDPOINT).is_some_and(|expected| *expected != *serving.id) {
        return empty(StatusCode::MISDIRECTED_REQUEST);
    }
    let act = serving.draw_act();
    if matches!(act, Act::Refuse) {
        let mut refusal = empty(StatusCode::SERVICE_UNAVAILABLE);
        let proof = http::HeaderValue::from_static("1");
        refusal.headers_mut().insert(wire::NOT_RUN, proof);
        return refusal;
    }
    let open = OpenRun::begin(&serving, &id, text(wire::CALLER_SERVICE));
    let Ok(body) = axum::body::to_bytes(body, LONGEST_BODY).await else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let kind = wire::kind_of_path(uri.path()).and_then(|name| serving.workload.kind(name));
    let mut answer = match kind {
        Some(kind) => {
            let left = work::time_left(&headers).unwrap_or(USUAL_TIME);
            serving.run_of_workload(kind, &id, act, open, left).await
        }
        None => serving.run_plain(&id, act, open, &body).await,
    };
    let proof = http::HeaderValue::from_str(&serving.id).expect("ids are visible ASCII");
    answer.headers_mut().insert(wire::PROOF, proof);
    answer
}

fn answered(status: StatusCode, id: &str, body: Body) -> Response {
    let answer = Response::builder().header(wire::REQUEST_ID, id);
    let answer = answer.status(status).body(body);
    answer.expect("a valid answer")
}

impl Serving {
    /// A request of plain callers: short work, and a body that is short but for some.
    async fn run_plain(&self, id: &str, act: Act, open: OpenRun, body: &[u8]) -> Response {
        let millis = self.random().random_range(2..40);
        tokio::time::sleep(Duration::from_millis(millis)).await;
        if body == FATAL_BODY.as_bytes() {
            // Listener and connections end with the task that serves them, and this one with them.
            self.ending.has_ended.store(true, Ordering::Relaxed);
            self.ending.told.notify_one();
            std::future::pending::<()>().await;
        }
        let body = wire::body(&self.id, id);
        match act {
            Act::Fail => {
                open.ends(RunEnd::Answered);
                answered(StatusCode::INTERNAL_SERVER_ERROR, id, Body::from("failed"))
            }
            Act::CutShort => {
                open.ends(RunEnd::BrokenOff);
                answered(StatusCode::OK, id, cut_short(&body))
            }
            Act::Answer | Act::Refuse => {
                open.ends(RunEnd::Answered);
                answered(StatusCode::OK, id, Body::from(body))
            }
        }
    }

    async fn run_of_workload(
        &self,
        kind: &RequestKind,
        id: &str,
        act: Act,
        open: OpenRun,
        left: Duration,
    ) -> Response {
        let status = work::work(self, kind, id, open.number(), left).await;
        if status != StatusCode::OK || matches!(act, Act::Fail) {
            open.ends(RunEnd::Answered);
            let status = if status == StatusCode::OK {
                StatusCode::INTERNAL_SERVER_ERROR
            } else {
                status
            };
            return answered(status, id, Body::from("failed"));
        }
        let bytes = kind.answer_bytes.draw(&mut *self.random());
        let breaks = matches!(act, Act::CutShort);
        let body = work::answer(self, id, bytes, open, breaks);
        answered(StatusCode::OK, id, body)
    }

    pub(super) fn random(&self) -> MutexGuard<'_, Pcg64Mcg> {
        self.random.lock().expect("no panic under the lock")
    }

    fn draw_act(&self) -> Act {
        let part = self.workload.harm_part();
        let mut random = self.random();
        if !random.random_bool(3.0 * part) {
            return Act::Answer;
        }
        match random.random_range(0..3) {
            0 => Act::Refuse,
            1 => Act::Fail,
            _ => Act::CutShort,
        }
    }

    /// How long the next request of a kind takes.
    pub(super) fn draw_work(&self, kind: &RequestKind) -> Duration {
        let time = Duration::from_millis(kind.work_ms.draw(&mut *self.random()));
        let is_cold = self.started.elapsed() < Duration::from_millis(self.workload.cold_ms);
        if is_cold { time * COLD_FACTOR } else { time }
    }
}
