//! Sends one attempt of a call to another daemon.

use crate::http::exchange::{ExchangeLimits, Exchanged, LongAnswer, WholeAnswer, exchange};
use crate::http::fields::{end_to_end, fields};
use crate::http::forward::{StreamedAnswer, request_head};
use crate::outbound::AppRequest;
use crate::shared::Shared;
use bramblewheel_core::context::CallContext;
use bramblewheel_core::event::AttemptResult;
use bramblewheel_core::headers::answer::{self, AnswerHeaders};
use bramblewheel_core::headers::context::write;
use bramblewheel_types::AttemptId;
use http::HeaderMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Result of an attempt.
pub(super) enum Ended {
    /// The attempt ended; contains the answer if a complete one arrived.
    Result(AttemptResult, Option<WholeAnswer>),
    /// A long answer has begun.
    Streamed(Box<StreamedAnswer<AttemptResult>>),
}

/// Sends an attempt and reads its answer.
pub(super) async fn send(
    shared: Arc<Shared>,
    request: Arc<AppRequest>,
    address: SocketAddr,
    context: CallContext,
) -> Ended {
    let pool = shared.pools.get(address);
    let limits = ExchangeLimits {
        connections: shared.connections_to(&context.service),
        body_bytes: shared.limits.body_bytes,
    };
    let clock = shared.driver.clock();
    let head = || {
        let now = clock.now();
        let head = || request_head(&request.head, address, |sink| write(now, &context, sink));
        (now < context.deadline).then(head)
    };
    let read = |map: &HeaderMap| answer_to(context.attempt, map);
    match exchange(&pool, limits, request.body.clone(), head, read).await {
        Exchanged::NotSent => Ended::Result(AttemptResult::NotSent, None),
        Exchanged::Lost => Ended::Result(AttemptResult::Lost, None),
        Exchanged::Whole(whole, stated) => Ended::Result(result(stated), Some(whole)),
        Exchanged::Long(long, stated) => streamed(long, stated),
    }
}

/// Parsed headers of an answer; `None` if they are malformed or the answer belongs to another
/// attempt.
fn answer_to(attempt: AttemptId, map: &HeaderMap) -> Option<AnswerHeaders> {
    let stated = answer::parse(&fields(map).ok()?).ok()?;
    (stated.attempt == attempt).then_some(stated)
}

fn result(stated: AnswerHeaders) -> AttemptResult {
    AttemptResult::Answered {
        outcome: stated.outcome,
        feedback: stated.feedback,
    }
}

fn streamed(long: LongAnswer, stated: AnswerHeaders) -> Ended {
    Ended::Streamed(Box::new(StreamedAnswer {
        status: long.status,
        headers: end_to_end(&long.headers),
        outcome: stated.outcome,
        result: result(stated),
        received: long.received,
        source: long.source,
        lease: long.lease,
    }))
}
