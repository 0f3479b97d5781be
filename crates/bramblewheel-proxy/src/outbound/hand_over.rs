//! Sends an attempt to the daemon beside the endpoint.
//!
//! [`liveness`](crate::outbound::liveness) tells whether that daemon answers; [`crate::wire`] defines the headers
//! between daemons.

use crate::http::exchange::{self, NoAnswer, Outgoing, Received};
use crate::http::pool::Pool;
use crate::in_progress::{Progress, Stage};
use crate::inbound::dispatch::{AttemptOutcome, DispatchOutcome, dispatch, id_text};
use crate::outbound::liveness::{Silence, max_silence};
use crate::shared::Shared;
use crate::wire::{AnswerReport, Handover};
use bramblewheel_decisions::attempt_result::AttemptResult;
use bramblewheel_decisions::directory::Choice;
use bramblewheel_types::{Millis, Timestamp};
use http::HeaderMap;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

/// Answer of a daemon that counts as silent, which may still come.
pub(super) type PendingAnswer = Pin<Box<dyn Future<Output = AttemptOutcome> + Send>>;

/// How a handover ended.
pub(super) enum HandedOver {
    /// The attempt ended.
    Ended(AttemptOutcome),
    /// The daemon beside the endpoint counts as silent. Dropping the pending answer cancels the attempt.
    Silent(PendingAnswer),
}

/// A request to be handed over.
pub(super) struct HandoverRequest<'a> {
    /// The endpoint and the daemon beside it.
    pub(super) choice: &'a Choice,
    /// What the daemon is told of the request.
    pub(super) handover: Handover,
    /// End of the attempt's time.
    pub(super) deadline: Timestamp,
    /// Whether the request may be sent elsewhere too.
    pub(super) is_repeatable: bool,
    /// The request.
    pub(super) outgoing: Outgoing,
}

/// Hands a request over to the daemon beside the chosen endpoint; if that is this daemon, without a network hop. For a
/// repeatable request, returns also when that daemon falls silent.
pub(super) async fn hand_over(
    shared: &Arc<Shared>,
    request: HandoverRequest<'_>,
    progress: &Progress,
) -> HandedOver {
    let HandoverRequest {
        choice,
        handover,
        deadline,
        is_repeatable,
        mut outgoing,
    } = request;
    let (daemon, clock) = (choice.address, shared.clock);
    if choice.daemon == shared.settings.name {
        let dispatched = dispatch(shared, &handover, clock.now(), &mut outgoing, progress).await;
        return HandedOver::Ended(dispatched);
    }
    let pool = shared.daemon_pools.get(daemon);
    let probing = shared
        .liveness
        .is_responsive(clock, daemon, &pool, is_repeatable);
    if !probing.await {
        return HandedOver::Ended(without_report(AttemptResult::Unreachable));
    }
    progress.set_stage(Stage::Sent);
    let max_silence = max_silence(handover.objective);
    let id = shared.settings.dialect.id(&outgoing.headers).cloned();
    let sending = send(
        Arc::clone(shared),
        daemon,
        Arc::clone(&pool),
        handover,
        deadline,
        outgoing,
    );
    if !is_repeatable {
        return HandedOver::Ended(sending.await);
    }
    let mut sending: PendingAnswer = Box::pin(sending);
    tokio::select! {
        biased;
        ended = &mut sending => HandedOver::Ended(ended),
        silence = shared.liveness.until_silent(clock, daemon, &pool, max_silence) => {
            log_silence(shared, choice, id.as_ref().map_or("", id_text), &silence);
            HandedOver::Silent(sending)
        }
    }
}

/// Sends a request to another daemon and reads the result of the attempt from its answer.
async fn send(
    shared: Arc<Shared>,
    daemon: SocketAddr,
    pool: Arc<Pool>,
    handover: Handover,
    deadline: Timestamp,
    mut outgoing: Outgoing,
) -> AttemptOutcome {
    let clock = shared.clock;
    // The remaining time is computed when the request is sent.
    let before_send = |headers: &mut HeaderMap| {
        let handover = Handover {
            remaining: clock.remaining_until(deadline),
            ..handover.clone()
        };
        handover.write(headers);
        Ok::<(), Infallible>(())
    };
    let received = match exchange::send(&pool, &mut outgoing, None, before_send).await {
        Ok(received) => received,
        Err(NoAnswer::NotSent) => {
            return without_report(AttemptResult::Unreachable);
        }
        Err(NoAnswer::Lost) => return without_report(AttemptResult::Lost),
    };
    shared.liveness.record_answer(daemon, clock.now());
    read_attempt(received).await
}

/// Logs why the daemon beside an endpoint counts as silent, and how late this process was itself.
fn log_silence(shared: &Shared, choice: &Choice, id: &str, silence: &Silence) {
    let now = shared.clock.now();
    let probe = silence.probe;
    let ago = |at: Timestamp| Millis::of(now.since(at)).0;
    slog::info!(shared.log, "daemon fell silent"; "id" => id,
        "daemon" => %choice.daemon, "endpoint" => %choice.endpoint,
        "answer_age_ms" => silence.answer_age.map(|age| Millis::of(age).0),
        "probe" => probe.map(|probe| probe.failure.as_str()),
        "probe_begun_ms_ago" => probe.map(|probe| ago(probe.begun_at)),
        "probe_failed_ms_ago" => probe.map(|probe| ago(probe.failed_at)),
        "probe_on_idle_connection" => probe.map(|probe| probe.is_on_idle_connection),
        "own_late_ms" => Millis::of(silence.own_lateness).0);
}

/// Reads the result of an attempt from the answer of the daemon beside the endpoint.
async fn read_attempt(mut received: Received) -> AttemptOutcome {
    // An answer without a result header does not come from a daemon.
    let Some((result, report)) = AnswerReport::take(&mut received.head.headers) else {
        return without_report(AttemptResult::Lost);
    };
    match (received.read(None).await, result) {
        (Ok(answer), AttemptResult::Answered) => AttemptOutcome {
            dispatched: DispatchOutcome::Answered(Box::new(answer)),
            report,
        },
        (Err(_), AttemptResult::Answered) => without_answer(AttemptResult::Lost, report),
        (_, result) => without_answer(result, report),
    }
}

fn without_report(result: AttemptResult) -> AttemptOutcome {
    without_answer(result, AnswerReport::default())
}

fn without_answer(result: AttemptResult, report: AnswerReport) -> AttemptOutcome {
    AttemptOutcome {
        dispatched: DispatchOutcome::Unanswered(result),
        report,
    }
}
