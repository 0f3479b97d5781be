//! The way of an attempt to the daemon beside the endpoint.
//!
//! Relies on [`liveness`](crate::outbound::liveness) for whether that daemon answers, and on [`crate::wire`] for the
//! headers between daemons. Owns nothing.

use crate::http::exchange::{self, NoAnswer, Outgoing, Received};
use crate::http::pool::Pool;
use crate::in_progress::{Progress, Stage};
use crate::inbound::dispatch::{Attempted, Dispatched, dispatch};
use crate::outbound::liveness::patience;
use crate::shared::Shared;
use crate::wire::{AnswerReport, Handover};
use bramblewheel_decisions::attempt_result::AttemptResult;
use bramblewheel_decisions::directory::Choice;
use bramblewheel_types::Timestamp;
use http::HeaderMap;
use std::sync::Arc;

/// Hands a request to the daemon beside the chosen endpoint: to this one without a hop. A daemon that
/// falls silent meanwhile is not waited for, if the request may run more than once.
pub(super) async fn hand_over(
    shared: &Arc<Shared>,
    choice: &Choice,
    handover: &Handover,
    deadline: Timestamp,
    is_repeatable: bool,
    outgoing: &mut Outgoing,
    progress: &Progress,
) -> Attempted {
    if choice.daemon == shared.settings.name {
        return dispatch(shared, handover, shared.clock.now(), outgoing, progress).await;
    }
    let (daemon, clock) = (choice.address, shared.clock);
    let pool = shared.daemon_pools.get(daemon);
    let probing = shared.liveness.answers(clock, daemon, &pool, is_repeatable);
    if !probing.await {
        return without_answer(AttemptResult::Unreachable, AnswerReport::default());
    }
    progress.enters(Stage::Sent);
    let sent = send(
        shared,
        choice,
        &pool,
        handover,
        deadline,
        is_repeatable,
        outgoing,
    );
    let received = match sent.await {
        Ok(received) => received,
        Err(result) => return without_answer(result, AnswerReport::default()),
    };
    shared.liveness.note_answer(daemon, clock.now());
    read_attempt(received).await
}

/// Sends a request to another daemon; the result of the attempt if no answer comes.
async fn send(
    shared: &Arc<Shared>,
    choice: &Choice,
    pool: &Arc<Pool>,
    handover: &Handover,
    deadline: Timestamp,
    is_repeatable: bool,
    outgoing: &mut Outgoing,
) -> Result<Received, AttemptResult> {
    let (daemon, clock) = (choice.address, shared.clock);
    // The time that is left is that of the moment of sending.
    let write = |headers: &mut HeaderMap| {
        let handover = Handover {
            remaining: clock.remaining_until(deadline),
            ..handover.clone()
        };
        handover.write(headers);
    };
    let patience = patience(handover.objective);
    let sent = tokio::select! {
        sent = exchange::send(pool, outgoing, write) => sent,
        () = shared.liveness.until_silent(clock, daemon, pool, patience), if is_repeatable => {
            slog::info!(shared.log, "daemon fell silent"; "daemon" => %choice.daemon,
                "endpoint" => %choice.endpoint);
            return Err(AttemptResult::Silent);
        }
    };
    sent.map_err(|error| match error {
        NoAnswer::NotSent => AttemptResult::Unreachable,
        NoAnswer::Lost => AttemptResult::Lost,
    })
}

/// Reads how an attempt ended from the answer of the daemon beside the endpoint.
async fn read_attempt(mut received: Received) -> Attempted {
    // An answer that does not say how the attempt ended is not one of a daemon.
    let Some((result, report)) = AnswerReport::take(&mut received.head.headers) else {
        return without_answer(AttemptResult::Lost, AnswerReport::default());
    };
    match (received.read(None).await, result) {
        (Ok(answer), AttemptResult::Answered) => Attempted {
            dispatched: Dispatched::Answered(Box::new(answer)),
            report,
        },
        (Err(_), AttemptResult::Answered) => without_answer(AttemptResult::Lost, report),
        (_, result) => without_answer(result, report),
    }
}

fn without_answer(result: AttemptResult, report: AnswerReport) -> Attempted {
    Attempted {
        dispatched: Dispatched::Without(result),
        report,
    }
}
