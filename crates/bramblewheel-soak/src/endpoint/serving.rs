//! Request handler of an endpoint.

use super::Termination;
use super::broken_body::truncated_body;
use super::statements::{self, StatementPlan};
use super::work::{self, RunGuard};
use crate::history::{History, RunEnd, StatedAnswer};
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

/// Time left of a request without a deadline.
const DEFAULT_TIME_LEFT: Duration = Duration::from_secs(3);
/// Longest request body that is read, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Factor by which work takes longer during the cold start.
const COLD_FACTOR: u32 = 2;

/// How an endpoint treats a request.
enum Action {
    Answer,
    Refuse,
    Fail,
    CutShort,
}

/// State of the request handler.
#[derive(Clone)]
pub(super) struct Serving {
    pub(super) termination: Arc<Termination>,
    pub(super) id: Arc<str>,
    pub(super) started_unix_millis: u64,
    pub(super) daemon: usize,
    /// Where the endpoint sends its calls.
    pub(super) outbound: SocketAddr,
    pub(super) history: History,
    pub(super) workload: Arc<Workload>,
    pub(super) started: Instant,
    pub(super) random: Arc<Mutex<Pcg64Mcg>>,
    pub(super) statements: Arc<StatementPlan>,
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
    let empty = |status: StatusCode| response(status, &id, Body::empty());
    if text(wire::EXPECTED_ENDPOINT).is_some_and(|expected| *expected != *serving.id) {
        return empty(StatusCode::MISDIRECTED_REQUEST);
    }
    let action = serving.draw_action();
    if matches!(action, Action::Refuse) {
        let mut refusal = empty(StatusCode::SERVICE_UNAVAILABLE);
        let proof = http::HeaderValue::from_static("1");
        refusal.headers_mut().insert(wire::NOT_RUN, proof);
        serving.state(&id, &mut refusal);
        return refusal;
    }
    let run_guard = RunGuard::begin(&serving, &id, text(wire::CALLER_SERVICE));
    let Ok(body) = axum::body::to_bytes(body, MAX_BODY_BYTES).await else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let kind = wire::kind_of_path(uri.path()).and_then(|name| serving.workload.kind(name));
    let mut answer = match kind {
        Some(kind) => {
            let left = work::time_left(&headers).unwrap_or(DEFAULT_TIME_LEFT);
            serving
                .run_of_workload(kind, &id, action, run_guard, left)
                .await
        }
        None => serving.run_plain(&id, action, run_guard, &body).await,
    };
    let proof = http::HeaderValue::from_str(&serving.id).expect("endpoint ids are visible ASCII");
    answer.headers_mut().insert(wire::PROOF, proof);
    serving.state(&id, &mut answer);
    answer
}

fn response(status: StatusCode, id: &str, body: Body) -> Response {
    let answer = Response::builder().header(wire::REQUEST_ID, id);
    let answer = answer.status(status).body(body);
    answer.expect("a request id that was received is a valid header value")
}

impl Serving {
    /// Adds to an answer what the endpoint states now.
    fn state(&self, id: &str, answer: &mut Response) {
        let now = self.history.now();
        let Some(statement) = self.statements.at(now) else {
            return;
        };
        statements::write(statement, answer.headers_mut());
        self.history.events().stated_answers.push(StatedAnswer {
            endpoint: self.id.to_string(),
            started: self.started_unix_millis,
            id: id.to_owned(),
            at: now,
            statement,
        });
    }

    /// Runs a request of a plain caller: short work and a short answer.
    async fn run_plain(
        &self,
        id: &str,
        action: Action,
        run_guard: RunGuard,
        body: &[u8],
    ) -> Response {
        let millis = self.random().random_range(2..40);
        tokio::time::sleep(Duration::from_millis(millis)).await;
        if body == FATAL_BODY.as_bytes() {
            // The crash drops the serving task with its listener and connections, this request's included.
            self.termination.has_ended.store(true, Ordering::Relaxed);
            self.termination.signal.notify_one();
            std::future::pending::<()>().await;
        }
        let body = wire::body(&self.id, id);
        match action {
            Action::Fail => {
                run_guard.record_end(RunEnd::Answered);
                response(StatusCode::INTERNAL_SERVER_ERROR, id, Body::from("failed"))
            }
            Action::CutShort => {
                run_guard.record_end(RunEnd::BrokenOff);
                response(StatusCode::OK, id, truncated_body(&body))
            }
            Action::Answer | Action::Refuse => {
                run_guard.record_end(RunEnd::Answered);
                response(StatusCode::OK, id, Body::from(body))
            }
        }
    }

    async fn run_of_workload(
        &self,
        kind: &RequestKind,
        id: &str,
        action: Action,
        run_guard: RunGuard,
        left: Duration,
    ) -> Response {
        let status = work::work(self, kind, id, run_guard.number(), left).await;
        if status != StatusCode::OK || matches!(action, Action::Fail) {
            run_guard.record_end(RunEnd::Answered);
            let status = if status == StatusCode::OK {
                StatusCode::INTERNAL_SERVER_ERROR
            } else {
                status
            };
            return response(status, id, Body::from("failed"));
        }
        let bytes = kind.answer_bytes.draw(&mut *self.random());
        let is_broken_off = matches!(action, Action::CutShort);
        let body = work::answer(self, id, bytes, run_guard, is_broken_off);
        response(StatusCode::OK, id, body)
    }

    pub(super) fn random(&self) -> MutexGuard<'_, Pcg64Mcg> {
        self.random
            .lock()
            .expect("no code panics while it holds the random generator")
    }

    fn draw_action(&self) -> Action {
        let probability = self.workload.fault_probability();
        let mut random = self.random();
        if !random.random_bool(3.0 * probability) {
            return Action::Answer;
        }
        match random.random_range(0..3) {
            0 => Action::Refuse,
            1 => Action::Fail,
            _ => Action::CutShort,
        }
    }

    /// Draws the working time of the next request of a kind.
    pub(super) fn draw_work(&self, kind: &RequestKind) -> Duration {
        let time = Duration::from_millis(kind.work_ms.draw(&mut *self.random()));
        let is_cold = self.started.elapsed() < Duration::from_millis(self.workload.cold_ms);
        if is_cold { time * COLD_FACTOR } else { time }
    }
}
