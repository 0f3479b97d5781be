//! Runs a request of a workload: work, calls, and an answer that is written in chunks.

use super::serving::Serving;
use crate::history::{Run, RunEnd};
use crate::workload::RequestKind;
use crate::workload_traffic::{EndpointCall, make_call};
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

/// Length of one chunk of an answer.
const CHUNK_BYTES: usize = 32 * 1024;

/// Records the end of a run when dropped, unless [`Self::record_end`] has recorded one: as broken off if the endpoint
/// has ended, as dropped otherwise.
pub(super) struct RunGuard {
    serving: Serving,
    number: usize,
}

impl RunGuard {
    pub(super) fn begin(serving: &Serving, id: &str, caller_service: Option<String>) -> Self {
        let number = serving.history.record_run(Run {
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

    /// Number of the run in the history.
    pub(super) fn number(&self) -> usize {
        self.number
    }

    pub(super) fn record_end(&self, end: RunEnd) {
        self.serving.history.record_run_end(self.number, end);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let has_endpoint_ended = self.serving.termination.has_ended.load(Ordering::Relaxed);
        self.record_end(if has_endpoint_ended {
            RunEnd::BrokenOff
        } else {
            RunEnd::Dropped
        });
    }
}

/// Time left of a request, from its deadline header.
pub(super) fn time_left(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(wire::DEADLINE)?.to_str().ok()?;
    let millis: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(millis / 1_000.0).ok()
}

/// Works on a request of a workload and makes all its calls, within the time left.
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
        // Half of the work comes before the calls and half after them.
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

/// Makes all calls of a request; returns whether all succeeded.
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
            let call = EndpointCall {
                history: serving.history.clone(),
                outbound: serving.outbound,
                daemon: serving.daemon,
                kind: called.clone(),
                // A repeated run makes its calls again, under new ids.
                id: format!("{id}.{run}.{number}"),
                parent: id.to_owned(),
                time_left: deadline.saturating_duration_since(Instant::now()),
            };
            if calls.together {
                together.spawn(make_call(call));
            } else if !make_call(call).await {
                return false;
            }
        }
        if together.join_all().await.contains(&false) {
            return false;
        }
    }
    true
}

/// Returns the answer of a run: a body that is bound to the request id, with `bytes` bytes of filler, written in chunks.
pub(super) fn answer(
    serving: &Serving,
    id: &str,
    bytes: u64,
    run: RunGuard,
    is_broken_off: bool,
) -> Body {
    let mut text = wire::body_head(&serving.id, id).into_bytes();
    let filler = usize::try_from(bytes).unwrap_or(usize::MAX);
    let whole = text.len() + filler;
    text.resize(whole, wire::FILLER);
    Body::new(Answer {
        rest: Bytes::from(text),
        breaks_at: is_broken_off.then_some(whole / 2),
        run: Some(run),
    })
}

struct Answer {
    rest: Bytes,
    /// Remaining length at which the endpoint breaks the answer off.
    breaks_at: Option<usize>,
    run: Option<RunGuard>,
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
                run.record_end(RunEnd::BrokenOff);
            }
            return Poll::Ready(Some(Err(io::Error::other("broken off"))));
        }
        let chunk = self.rest.len().min(CHUNK_BYTES);
        let chunk = self.rest.split_to(chunk);
        if self.rest.is_empty()
            && let Some(run) = self.run.take()
        {
            run.record_end(RunEnd::Answered);
        }
        if chunk.is_empty() {
            return Poll::Ready(None);
        }
        Poll::Ready(Some(Ok(http_body::Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::SizeHint::with_exact(self.rest.len() as u64)
    }
}
