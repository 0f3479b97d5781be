//! One attempt of a call at the daemon beside an endpoint.

use crate::http::exchange::{self, NoAnswer, Outgoing};
use crate::in_progress::{Progress, Stage};
use crate::inbound::dispatch::{Attempted, Dispatched, dispatch};
use crate::outbound::liveness::patience;
use crate::shared::Shared;
use crate::wire::{AnswerReport, AttemptResult, Handover};
use bramblewheel_decisions::directory::Choice;
use bramblewheel_types::Timestamp;
use http::HeaderMap;
use std::sync::Arc;

/// Hands a request to the daemon beside the chosen endpoint: to this one without a hop. A daemon that
/// falls silent meanwhile is not waited for, if the request may be repeated.
pub(super) async fn attempt(
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
    let asked = shared.liveness.answers(clock, daemon, &pool, is_repeatable);
    if !asked.await {
        return without(AttemptResult::Unreachable, AnswerReport::default());
    }
    let write = |headers: &mut HeaderMap| {
        let handover = Handover {
            remaining: clock.left_until(deadline),
            ..handover.clone()
        };
        handover.write(headers);
    };
    progress.enters(Stage::Sent);
    let patience = patience(handover.objective);
    let sent = tokio::select! {
        sent = exchange::send(&pool, outgoing, write) => sent,
        () = shared.liveness.until_silent(clock, daemon, &pool, patience), if is_repeatable => {
            slog::info!(shared.log, "daemon fell silent"; "daemon" => %choice.daemon,
                "endpoint" => %choice.endpoint);
            return without(AttemptResult::Silent, AnswerReport::default());
        }
    };
    let mut received = match sent {
        Ok(received) => received,
        Err(NoAnswer::NotSent) => {
            return without(AttemptResult::Unreachable, AnswerReport::default());
        }
        Err(NoAnswer::Lost) => return without(AttemptResult::Lost, AnswerReport::default()),
    };
    shared.liveness.heard(daemon, clock.now());
    // An answer that does not say how the attempt ended is not one of a daemon.
    let Some((result, told)) = AttemptResult::take(&mut received.head.headers) else {
        return without(AttemptResult::Lost, AnswerReport::default());
    };
    match (received.read(None).await, result) {
        (Ok(answer), AttemptResult::Answered) => Attempted {
            dispatched: Dispatched::Answered(Box::new(answer)),
            told,
        },
        (Err(_), AttemptResult::Answered) => without(AttemptResult::Lost, told),
        (_, result) => without(result, told),
    }
}

fn without(result: AttemptResult, told: AnswerReport) -> Attempted {
    Attempted {
        dispatched: Dispatched::Without(result),
        told,
    }
}
