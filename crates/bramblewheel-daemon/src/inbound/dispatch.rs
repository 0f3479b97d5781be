//! Sends an admitted attempt to the local endpoint.

use crate::http::exchange::{ExchangeLimits, Exchanged, LongAnswer, WholeAnswer, exchange};
use crate::http::fields::{MapSink, fields};
use crate::http::forward::{StreamedAnswer, request_head};
use crate::inbound::InboundRequest;
use crate::shared::Shared;
use bramblewheel_core::event::{DispatchResult, StoredAnswer};
use bramblewheel_core::headers::answer::parse_refusal;
use bramblewheel_core::headers::context::write_for_endpoint;
use bramblewheel_types::{Millis, NotRunReason, Outcome};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of connections to the local endpoint. Endpoints accept about 120, of which some
/// are left for load and health requests. Normally the engine's concurrency limit is lower.
const ENDPOINT_CONNECTIONS: usize = 100;
/// Longest body stored in the ledger for resends of a run-once operation, in bytes.
const MAX_STORED_BODY: usize = 4096;
/// Retry-after time for refusals in which the endpoint states none.
const DEFAULT_RETRY_AFTER: Millis = Millis(100);

/// Result of a dispatch.
pub(super) enum Dispatched {
    /// The dispatch ended; contains the answer if a complete one arrived.
    Result(DispatchResult, Option<WholeAnswer>),
    /// A long answer has begun.
    Streamed(Box<StreamedAnswer<DispatchResult>>),
}

impl StreamedAnswer<DispatchResult> {
    /// Reads and discards the rest of the answer and returns its result.
    pub(super) async fn drain(mut self) -> DispatchResult {
        while let Some(frame) = self.source.frame().await {
            if frame.is_err() {
                return DispatchResult::Lost;
            }
        }
        self.result
    }
}

/// Sends an attempt to the endpoint and reads its answer.
///
/// The deadline is checked again just before the request is written: a daemon that was paused after
/// the engine's decision must not start work for a caller that no longer waits.
pub(super) async fn send(
    shared: Arc<Shared>,
    request: Arc<InboundRequest>,
    endpoint: SocketAddr,
) -> Dispatched {
    let pool = shared.pools.get(endpoint);
    let limits = ExchangeLimits {
        connections: ENDPOINT_CONNECTIONS,
        body_bytes: shared.limits.body_bytes,
    };
    let clock = shared.driver.clock();
    let head = || {
        let now = clock.now();
        let write = |sink: &mut MapSink<'_>| write_for_endpoint(now, &request.context, sink);
        (now < request.context.deadline).then(|| request_head(&request.head, endpoint, write))
    };
    let exchanged = exchange(&pool, limits, request.body.clone(), head, |_| Some(())).await;
    let is_operation = request.context.operation.is_some();
    match exchanged {
        Exchanged::NotSent => Dispatched::Result(DispatchResult::NotSent, None),
        Exchanged::Lost => Dispatched::Result(DispatchResult::Lost, None),
        Exchanged::Whole(whole, ()) => ended(whole, is_operation),
        Exchanged::Long(long, ()) => streamed(long),
    }
}

fn ended(whole: WholeAnswer, is_operation: bool) -> Dispatched {
    if let Some(refusal) = refusal(whole.status, &whole.headers) {
        return Dispatched::Result(refusal, Some(whole));
    }
    let keeps_body = is_operation && whole.body.len() <= MAX_STORED_BODY;
    let result = DispatchResult::Answered {
        failed: is_failed(whole.status),
        stored: StoredAnswer {
            status: whole.status.as_u16(),
            body: keeps_body.then(|| whole.body.to_vec()),
        },
    };
    Dispatched::Result(result, Some(whole))
}

fn streamed(long: LongAnswer) -> Dispatched {
    if let Some(refusal) = refusal(long.status, &long.headers) {
        return Dispatched::Result(refusal, None);
    }
    let failed = is_failed(long.status);
    let stored = StoredAnswer {
        status: long.status.as_u16(),
        body: None,
    };
    Dispatched::Streamed(Box::new(StreamedAnswer {
        status: long.status,
        headers: long.headers,
        outcome: if failed {
            Outcome::Failed
        } else {
            Outcome::Completed
        },
        result: DispatchResult::Answered { failed, stored },
        received: long.received,
        source: long.source,
        lease: long.lease,
    }))
}

fn is_failed(status: StatusCode) -> bool {
    status.is_server_error()
}

/// The endpoint's proof that it did not run the request: status 503 and the outcome `not-run`. A
/// plain 503 proves nothing.
fn refusal(status: StatusCode, map: &HeaderMap) -> Option<DispatchResult> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let refusal = fields(map).ok().as_ref().and_then(parse_refusal)?;
    Some(DispatchResult::Refused {
        reason: refusal.reason.unwrap_or(NotRunReason::Overloaded),
        retry_after: refusal.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
    })
}
