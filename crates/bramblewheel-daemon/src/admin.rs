//! The admin listener: health, readiness, metrics and the state of run-once operations.

mod exposition;

use crate::control::ledger::LedgerJob;
use crate::http::answer::HttpAnswer;
use crate::http::body::AnswerBody;
use crate::http::server::Handler;
use crate::shared::Shared;
use axum::extract::{Path, State};
use axum::response::IntoResponse;
use axum::routing::get;
use axum::{Json, Router};
use bramblewheel_protocol::control::OperationReply;
use bramblewheel_types::OperationKey;
use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, watch};
use tower::ServiceExt;

/// State shown by the admin listener.
pub(crate) struct AdminState {
    pub(crate) shared: Arc<Shared>,
    pub(crate) draining: watch::Receiver<bool>,
    pub(crate) ledger: mpsc::UnboundedSender<LedgerJob>,
}

/// Serves the admin listener.
pub(crate) struct Admin {
    router: Router,
}

impl Admin {
    pub(crate) fn new(state: AdminState) -> Self {
        let router = Router::new()
            .route("/healthz", get(async || "live\n"))
            .route("/readyz", get(ready))
            .route("/metrics", get(metrics))
            .route("/operations/{key}", get(operation))
            .with_state(Arc::new(state));
        Self { router }
    }
}

impl Handler for Admin {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _peer: SocketAddr) -> HttpAnswer {
        let response = match self.router.clone().oneshot(request).await {
            Ok(response) => response,
            Err(never) => match never {},
        };
        let (head, body) = response.into_parts();
        // All bodies are built in memory, so reading one can't fail.
        let body = body.collect().await.map_or(Bytes::new(), |b| b.to_bytes());
        Response::from_parts(head, AnswerBody::whole(body))
    }
}

async fn ready(State(state): State<Arc<AdminState>>) -> (StatusCode, &'static str) {
    if *state.draining.borrow() {
        return (StatusCode::SERVICE_UNAVAILABLE, "draining\n");
    }
    if state.shared.bundle.load().is_none() {
        let reason = "no confirmed bundle is in force\n";
        return (StatusCode::SERVICE_UNAVAILABLE, reason);
    }
    (StatusCode::OK, "ready\n")
}

async fn metrics(State(state): State<Arc<AdminState>>) -> impl IntoResponse {
    const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let engine = state.shared.driver.inspect(|engine| engine.metrics());
    let bundle = state.shared.bundle.load();
    let version = bundle.as_ref().map_or(0, |bundle| bundle.version.0);
    let text = exposition::write(&engine, &state.shared.metrics, version);
    ([(CONTENT_TYPE, OPEN_METRICS)], text)
}

async fn operation(
    State(state): State<Arc<AdminState>>,
    Path(key): Path<String>,
) -> (StatusCode, Json<Value>) {
    let Ok(key) = OperationKey::new(&key) else {
        return (
            StatusCode::BAD_REQUEST,
            Json(json!({"state": "invalid-key"})),
        );
    };
    let (answer, answered) = oneshot::channel();
    // If the ledger task has ended, the sender of the answer is dropped and `answered` fails below.
    let _ = state.ledger.send(LedgerJob::Status { key, answer });
    match answered.await {
        Ok(reply) => (StatusCode::OK, Json(describe(reply))),
        Err(_) => {
            let unknown = json!({"state": "ledger-unavailable"});
            (StatusCode::SERVICE_UNAVAILABLE, Json(unknown))
        }
    }
}

fn describe(reply: OperationReply) -> Value {
    match reply {
        OperationReply::Completed(answer) => json!({
            "state": "completed",
            "failed": answer.failed,
            "status": answer.status,
        }),
        OperationReply::Granted | OperationReply::Held => json!({"state": "claimed"}),
        OperationReply::Expired => json!({"state": "expired"}),
        OperationReply::Absent => json!({"state": "absent"}),
        OperationReply::Recorded | OperationReply::Undecided => json!({"state": "undecided"}),
    }
}
