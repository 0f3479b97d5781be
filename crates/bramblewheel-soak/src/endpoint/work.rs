//! How an endpoint runs a request of a workload: work, calls, and an answer that is written piece by piece.

use super::serving::Serving;
use crate::history::{Run, RunEnd};
use crate::workload::RequestKind;
use crate::workload_traffic::{CallOfEndpoint, call_for};
use axum::body::Body;
use bramblewheel_platform_client as wire;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use std::io;
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Length of one piece of an answer.
const PIECE_BYTES: usize = 32 * 1024;

/// Notes the end of a run: as dropped, unless it was told otherwise before.
pub(super) struct OpenRun {
    serving: Serving,
    number: usize,
}

impl OpenRun {
    pub(super) fn begin(serving: &Serving, id: &str, caller_service: Option<String>) -> Self {
        let number = serving.history.run_begins(Run {
            id: id.to_owned(),
            endpoint: serving.id.to_string(),
            started: serving.started_unix_millis,
            daemon: serving.daemon,
            caller_service,
            at: serving.history.now(),
            ended: None,
        });
        Self {
            serving: serving.clone(),
            number,
        }
    }

    /// Number of the run among all runs.
    pub(super) fn number(&self) -> usize {
        self.number
    }

    pub(super) fn ends(&self, end: RunEnd) {
        self.serving.history.run_ends(self.number, end);
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let has_endpoint_ended = self.serving.ending.has_ended.load(Ordering::Relaxed);
        self.ends(if has_endpoint_ended {
            RunEnd::BrokenOff
        } else {
            RunEnd::Dropped
        });
    }
}

/// Time that the request says is left.
pub(super) fn time_left(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(wire::DEADLINE)?.to_str().ok()?;
    let millis: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}

/// Works on a request of a workload, with all its calls, until its time is over.
pub(super) async fn work(
    serving: &Serving,
    kind: &RequestKind,
    id: &str,
    run: usize,
    left: Duration,
) -> StatusCode {
    let deadline = Instant::now() + left;
    let working = async {
        let time = serving.draw_work(kind);
        // Half before the calls and half after them.
        tokio::time::sleep(time / 2).await;
        let have_succeeded = make_calls(serving, kind, id, run, deadline).await;
        tokio::time::sleep(time / 2).await;
        if have_succeeded {
            StatusCode::OK
        } else {
            StatusCode::INTERNAL_SERVER_ERROR
        }
    };
    let worked = tokio::time::timeout_at(deadline, working).await;
    worked.unwrap_or(StatusCode::GATEWAY_TIMEOUT)
}

/// Returns whether all calls had success.
async fn make_calls(
    serving: &Serving,
    kind: &RequestKind,
    id: &str,
    run: usize,
    deadline: Instant,
) -> bool {
    let mut number = 0;
    for calls in &kind.calls {
        let Some(called) = serving.workload.kind(&calls.kind) else {
            return false;
        };
        let mut together = JoinSet::new();
        for _ in 0..calls.times {
            number += 1;
            let call = CallOfEndpoint {
                history: serving.history.clone(),
                outbound: serving.outbound,
                daemon: serving.daemon,
                kind: called.clone(),
                // A run that is repeated makes its calls anew, under new ids.
                id: format!("{id}.{run}.{number}"),
                parent: id.to_owned(),
                left: deadline.saturating_duration_since(Instant::now()),
            };
            if calls.together {
                together.spawn(call_for(call));
            } else if !call_for(call).await {
                return false;
            }
        }
        if together.join_all().await.contains(&false) {
            return false;
        }
    }
    true
}

/// The answer of a run: a body of this length that belongs to the request, written piece by piece.
pub(super) fn answer(serving: &Serving, id: &str, bytes: u64, run: OpenRun, breaks: bool) -> Body {
    let mut text = wire::body_head(&serving.id, id).into_bytes();
    let filler = usize::try_from(bytes).unwrap_or(usize::MAX);
    let whole = text.len() + filler;
    text.resize(whole, wire::FILLER);
    Body::new(Answer {
        rest: Bytes::from(text),
        breaks_at: breaks.then_some(whole / 2),
        run: Some(run),
    })
}

struct Answer {
    rest: Bytes,
    /// Length left at which the endpoint breaks it off.
    breaks_at: Option<usize>,
    run: Option<OpenRun>,
}

impl http_body::Body for Answer {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, io::Error>>> {
        if self.breaks_at.is_some_and(|left| self.rest.len() <= left) {
            if let Some(run) = self.run.take() {
                run.ends(RunEnd::BrokenOff);
            }
            return Poll::Ready(Some(Err(io::Error::other("broken off"))));
        }
        let piece = self.rest.len().min(PIECE_BYTES);
        let piece = self.rest.split_to(piece);
        if self.rest.is_empty()
            && let Some(run) = self.run.take()
        {
            run.ends(RunEnd::Answered);
        }
        if piece.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(http_body::Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::SizeHint::with_exact(self.rest.len() as u64)
    }
}
