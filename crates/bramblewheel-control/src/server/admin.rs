//! The admin listener: health, readiness, metrics.

use super::exposition;
use super::input::{Input, Inputs, Inspection};
use axum::Router;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use tokio::sync::oneshot;

const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

pub(super) fn router(inputs: Inputs) -> Router {
    Router::new()
        .route("/healthz", get(async || "live\n"))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .with_state(inputs)
}

async fn inspect(inputs: &Inputs) -> Option<Inspection> {
    let (answer, answered) = oneshot::channel();
    inputs.send(Input::Inspect(answer)).ok()?;
    answered.await.ok()
}

async fn ready(State(inputs): State<Inputs>) -> (StatusCode, &'static str) {
    let reason = match inspect(&inputs).await {
        None => "stopped\n",
        Some(inspection) if inspection.is_stopping => "stopping\n",
        Some(inspection) if !inspection.has_group => "not yet in a group\n",
        Some(inspection) if !inspection.metrics.has_quorum => "no quorum\n",
        Some(_) => return (StatusCode::OK, "ready\n"),
    };
    (StatusCode::SERVICE_UNAVAILABLE, reason)
}

async fn metrics(State(inputs): State<Inputs>) -> Response {
    match inspect(&inputs).await {
        Some(inspection) => {
            let text = exposition::write(&inspection.metrics);
            ([(CONTENT_TYPE, OPEN_METRICS)], text).into_response()
        }
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
