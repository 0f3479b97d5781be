//! One attempt of a call at another endpoint's daemon.

use crate::http::context;
use crate::http::exchange::{ExchangeLimits, Exchanged, LongAnswer, WholeAnswer, exchange};
use crate::http::fields::{end_to_end, optional};
use crate::http::pool::Lease;
use crate::outbound::AppRequest;
use crate::shared::Shared;
use bramblewheel_core::context::CallContext;
use bramblewheel_core::event::{AttemptResult, Feedback};
use bramblewheel_protocol::headers;
use bramblewheel_types::{AttemptId, Outcome};
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use hyper::body::Incoming;
use std::net::SocketAddr;
use std::sync::Arc;

/// How an attempt ended.
pub(super) enum Ended {
    /// With a result, and the answer if a whole one came.
    Result(AttemptResult, Option<WholeAnswer>),
    /// Its answer is long and has begun.
    Streamed(Box<StreamedAttempt>),
}

/// A long answer that has begun.
pub(super) struct StreamedAttempt {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) outcome: Outcome,
    /// What the engine is told once the last byte is through.
    pub(super) result: AttemptResult,
    pub(super) begun: Bytes,
    pub(super) source: Incoming,
    pub(super) lease: Lease,
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
        (now < context.deadline).then(|| request_head(&request, &context, address, now))
    };
    let is_echoed = |map: &HeaderMap| echoes(map, context.attempt);
    match exchange(&pool, limits, request.body.clone(), head, is_echoed).await {
        Exchanged::NotSent => Ended::Result(AttemptResult::NotSent, None),
        Exchanged::Lost => lost(),
        Exchanged::Whole(whole) => match stated(&whole.headers) {
            Some((outcome, feedback)) => {
                let result = AttemptResult::Answered { outcome, feedback };
                Ended::Result(result, Some(whole))
            }
            None => lost(),
        },
        Exchanged::Long(long) => match stated(&long.headers) {
            Some((outcome, feedback)) => streamed(long, outcome, feedback),
            None => lost(),
        },
    }
}

fn request_head(
    request: &AppRequest,
    context: &CallContext,
    address: SocketAddr,
    now: bramblewheel_types::Timestamp,
) -> http::request::Builder {
    let head = &request.head;
    let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut builder = Request::builder().method(head.method.clone()).uri(target);
    if let Some(fields) = builder.headers_mut() {
        *fields = end_to_end(&head.headers);
        if !fields.contains_key(HOST) {
            let host = HeaderValue::try_from(address.to_string())
                .expect("an address consists of visible ASCII");
            fields.insert(HOST, host);
        }
        context::write(fields, context, now);
    }
    builder
}

/// An answer without the id of this very attempt belongs to some other one.
fn echoes(map: &HeaderMap, attempt: AttemptId) -> bool {
    matches!(optional::<AttemptId>(map, headers::ATTEMPT), Ok(Some(echoed)) if echoed == attempt)
}

fn stated(map: &HeaderMap) -> Option<(Outcome, Feedback)> {
    let outcome = context::read_outcome(map).ok()?;
    let feedback = context::read_feedback(map).ok()?;
    Some((outcome, feedback))
}

fn lost() -> Ended {
    Ended::Result(AttemptResult::Lost, None)
}

fn streamed(long: LongAnswer, outcome: Outcome, feedback: Feedback) -> Ended {
    Ended::Streamed(Box::new(StreamedAttempt {
        status: long.status,
        headers: end_to_end(&long.headers),
        outcome,
        result: AttemptResult::Answered { outcome, feedback },
        begun: long.begun,
        source: long.source,
        lease: long.lease,
    }))
}
