//! One attempt of a call at the daemon beside an endpoint.

use crate::decide::directory::{Choice, LoadReport};
use crate::http::body::AnswerBody;
use crate::http::exchange::{self, Answer, NoAnswer, Outgoing};
use crate::inbound::dispatch::{Dispatched, dispatch};
use crate::shared::Shared;
use crate::wire::{AttemptResult, Handover};
use http::{HeaderMap, Response};
use std::sync::Arc;
use tokio::time::Instant;

/// How an attempt ended, with what the other daemon says of its load.
pub(super) struct Attempted {
    pub(super) dispatched: Dispatched,
    pub(super) load: Option<LoadReport>,
}

/// Hands a request to the daemon beside the chosen endpoint: to this one without a hop.
pub(super) async fn attempt(
    shared: &Arc<Shared>,
    choice: &Choice,
    handover: &Handover,
    deadline: Instant,
    outgoing: &mut Outgoing,
) -> Attempted {
    if choice.daemon == shared.settings.name {
        let dispatched = dispatch(shared, handover, Instant::now(), outgoing).await;
        let load = Some(shared.local.load());
        return Attempted { dispatched, load };
    }
    let pool = shared.daemon_pools.get(choice.address);
    let write = |headers: &mut HeaderMap| {
        let handover = Handover {
            remaining: deadline.saturating_duration_since(Instant::now()),
            ..handover.clone()
        };
        handover.write(headers);
    };
    let mut received = match exchange::send(&pool, outgoing, write).await {
        Ok(received) => received,
        Err(NoAnswer::NotSent) => return without(AttemptResult::Unreachable, None),
        Err(NoAnswer::Lost) => return without(AttemptResult::Lost, None),
    };
    // An answer that does not say how the attempt ended is not one of a daemon.
    let Some((result, load)) = AttemptResult::take(&mut received.head.headers) else {
        return without(AttemptResult::Lost, None);
    };
    match (received.read(None).await, result) {
        (Ok(answer), AttemptResult::Answered) => Attempted {
            dispatched: Dispatched::Answered(Box::new(answer)),
            load,
        },
        (Err(_), AttemptResult::Answered) => without(AttemptResult::Lost, load),
        (_, result) => without(result, load),
    }
}

fn without(result: AttemptResult, load: Option<LoadReport>) -> Attempted {
    Attempted {
        dispatched: Dispatched::Without(result),
        load,
    }
}

/// An endpoint's answer as it goes to the caller.
pub(super) fn render(answer: Answer) -> Response<AnswerBody> {
    let (head, body) = match answer {
        Answer::Whole(head, bytes) => (head, AnswerBody::whole(bytes)),
        Answer::Begun(head, first, rest, held) => (*head, AnswerBody::begun(first, rest, held)),
    };
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}
