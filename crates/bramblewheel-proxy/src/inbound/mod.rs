//! Serves requests that other daemons hand over for the endpoint beside this one.
//!
//! Reads the handover and the body, lets [`dispatch`](dispatch::dispatch) run the request, and reports the result of
//! the attempt in the answer. Results appear in the metric `bramblewheel_inbound_total`.

pub mod dispatch;
mod late_start;
mod statements;

use crate::http::body::{self, AnswerBody, ReceivedBody};
use crate::http::exchange::{Answer, Outgoing, OutgoingBody};
use crate::http::fields;
use crate::http::server::Handler;
use crate::in_progress::{Progress, Sender, Stage};
use crate::outbound::liveness::PROBE_PATH;
use crate::overdue::{answer_deadline, record_overdue};
use crate::shared::Shared;
use crate::wire::{AnswerReport, AttemptResult, Handover};
use bramblewheel_types::Timestamp;
use bytes::Bytes;
use dispatch::{DispatchOutcome, dispatch};
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use std::sync::Arc;

/// Serves the listener for other daemons.
#[derive(Debug)]
pub struct Inbound {
    shared: Arc<Shared>,
}

impl Inbound {
    /// Creates a handler on the daemon's shared state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn answer(
        &self,
        request: Request<ReceivedBody>,
        arrived: Timestamp,
        progress: &Arc<Progress>,
    ) -> Response<AnswerBody> {
        let (mut head, incoming) = request.into_parts();
        if is_probe(&head) {
            return Response::new(AnswerBody::whole(Bytes::new()));
        }
        let mut handover = match Handover::take(&mut head.headers) {
            Ok(handover) => handover,
            Err(error) => {
                slog::warn!(self.shared.log, "handover refused"; "error" => %error);
                return self.without_attempt(AttemptResult::Leaving);
            }
        };
        let shared = &self.shared;
        // The daemon that sent the request closes its connection when it no longer waits, unless it is cut off. It may wait
        // for longer than the endpoint may work: while it stops, until the end of its grace time.
        let latest_end = arrived + handover.remaining + shared.settings.stop_grace;
        let read = tokio::select! {
            read = body::read_received(incoming) => read.ok(),
            () = shared.clock.sleep_until(latest_end) => None,
        };
        // The sending daemon or its caller closed the connection, or was cut off.
        let Some(read) = read else {
            return self.without_attempt(AttemptResult::Unreachable);
        };
        // The caller's daemon has already bounded the length of the body.
        let body = OutgoingBody::new(read, usize::MAX);
        let mut outgoing = outgoing(head, body);
        if let Some(id) = shared.settings.dialect.id(&outgoing.headers) {
            progress.set_id(id);
        }
        late_start::subtract_unread_time(shared, &mut handover, arrived, progress);
        progress.set_stage(Stage::Waiting);
        let attempted = tokio::select! {
            biased;
            attempted = dispatch(shared, &handover, arrived, &mut outgoing, progress) => attempted,
            () = shared.stop.answer_due(shared.clock, || may_have_run(progress)) => {
                return self.without_attempt(result_without_answer(progress));
            }
            () = shared.clock.sleep_until(latest_end) => {
                record_overdue(shared, progress);
                return self.without_attempt(result_without_answer(progress));
            }
        };
        shared.metrics.inbound(attempted.dispatched.result());
        match attempted.dispatched {
            DispatchOutcome::Answered(answer) => {
                let mut response = answered(*answer, &attempted.report);
                let deadline = answer_deadline(shared, progress, latest_end);
                response.body_mut().set_deadline(deadline);
                response
            }
            DispatchOutcome::Unanswered(result) => without_answer(result, &attempted.report),
        }
    }

    /// Answers a request that is not passed on to the endpoint.
    fn without_attempt(&self, result: AttemptResult) -> Response<AnswerBody> {
        let load = self.shared.local.load(self.shared.clock.now());
        let report = AnswerReport {
            load: Some(load),
            ..AnswerReport::default()
        };
        without_answer(result, &report)
    }
}

/// Whether a request is a liveness probe of another daemon.
fn is_probe(head: &Parts) -> bool {
    let is_handed_over = Handover::is_present(&head.headers);
    head.uri.path() == PROBE_PATH && head.method == Method::GET && !is_handed_over
}

/// Builds the request to be sent on, without hop-by-hop headers.
fn outgoing(mut head: Parts, body: OutgoingBody) -> Outgoing {
    fields::remove_hop_by_hop(&mut head.headers);
    Outgoing {
        method: head.method,
        target: head.uri,
        headers: head.headers,
        body,
    }
}

/// Whether the endpoint may have run the request.
fn may_have_run(progress: &Progress) -> bool {
    match progress.stage() {
        Stage::Reading | Stage::Waiting => false,
        Stage::Sent | Stage::Answering => true,
    }
}

/// Result of an attempt that the daemon no longer waits for.
fn result_without_answer(progress: &Progress) -> AttemptResult {
    if may_have_run(progress) {
        AttemptResult::Lost
    } else {
        AttemptResult::Leaving
    }
}

fn answered(answer: Answer, report: &AnswerReport) -> Response<AnswerBody> {
    let mut response = answer.into_response();
    report.write(AttemptResult::Answered, response.headers_mut());
    response
}

fn without_answer(result: AttemptResult, report: &AnswerReport) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = match result {
        AttemptResult::Lost => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    report.write(result, response.headers_mut());
    response
}

impl Handler for Inbound {
    async fn handle(self: Arc<Self>, request: Request<ReceivedBody>) -> Response<AnswerBody> {
        let arrived = self.shared.clock.now();
        let guard = self.shared.in_progress.begin(Sender::Daemon, arrived);
        let mut response = self.answer(request, arrived, guard.progress()).await;
        guard.progress().set_stage(Stage::Answering);
        response.body_mut().set_guard(guard);
        response
    }
}
