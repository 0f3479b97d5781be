//! One request at the endpoint beside the daemon.

use crate::dialect::AnswerKind;
use crate::http::exchange::{self, Answer, NoAnswer, Outgoing};
use crate::in_progress::{Progress, Stage};
use crate::local::Refusal;
use crate::local::crash_probe::probe_for_crash;
use crate::shared::Shared;
use crate::wire::{AnswerReport, AttemptResult, Handover};
use bramblewheel_decisions::fading_share::whole_percent;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{ServiceName, Timestamp};
use http::{HeaderMap, HeaderValue};
use std::sync::Arc;
use std::time::Duration;

/// How a request ended at the endpoint.
#[derive(Debug)]
pub enum Dispatched {
    /// The endpoint ran it.
    Answered(Box<Answer>),
    /// There is no answer to pass on.
    Without(AttemptResult),
}

impl Dispatched {
    /// Whether the endpoint answered with an error of its own.
    pub fn has_failed(&self) -> bool {
        match self {
            Self::Answered(answer) => answer.status().is_server_error(),
            Self::Without(_) => false,
        }
    }

    /// The result without the answer.
    pub fn result(&self) -> AttemptResult {
        match self {
            Self::Answered(_) => AttemptResult::Answered,
            Self::Without(result) => *result,
        }
    }
}

/// How an attempt ended, with what the daemon beside the endpoint tells besides.
#[derive(Debug)]
pub struct Attempted {
    /// How it ended.
    pub dispatched: Dispatched,
    /// What is told besides.
    pub told: AnswerReport,
}

/// Waits for a place at the endpoint and sends it a request.
pub async fn dispatch(
    shared: &Arc<Shared>,
    handover: &Handover,
    arrived: Timestamp,
    outgoing: &mut Outgoing,
    progress: &Progress,
) -> Attempted {
    let is_likely_nested = note_caller(shared, handover) || handover.is_likely_nested;
    let Ran {
        dispatched,
        short_downstream,
    } = run(
        shared,
        handover,
        is_likely_nested,
        arrived,
        outgoing,
        progress,
    )
    .await;
    let now = shared.clock.now();
    let load = shared.local.load(now);
    let used = shared.routing().retry_bound.used_by_calls(now);
    let told = AnswerReport {
        load: Some(load),
        is_likely_nested,
        short_downstream,
        bound_used_percent: whole_percent(used),
    };
    Attempted { dispatched, told }
}

/// How a request ended at the endpoint.
struct Ran {
    dispatched: Dispatched,
    /// Where a call of the endpoint had found no room right before it failed the request.
    short_downstream: Option<ServiceName>,
}

impl From<Dispatched> for Ran {
    fn from(dispatched: Dispatched) -> Self {
        Self {
            dispatched,
            short_downstream: None,
        }
    }
}

/// Counts where the request came from; returns whether its route is called by endpoints only.
fn note_caller(shared: &Shared, handover: &Handover) -> bool {
    let caller = handover.caller.as_ref().and_then(|name| name.to_str().ok());
    let Some(caller) = caller.and_then(|name| ServiceName::new(name).ok()) else {
        return false;
    };
    let mut routing = shared.routing();
    let routing = &mut *routing;
    routing.nested_routes.record(handover.class, &caller);
    routing
        .nested_routes
        .is_likely_nested(handover.class, &routing.directory)
}

/// Runs a request at the endpoint once it has a slot.
async fn run(
    shared: &Arc<Shared>,
    handover: &Handover,
    is_likely_nested: bool,
    arrived: Timestamp,
    outgoing: &mut Outgoing,
    progress: &Progress,
) -> Ran {
    let deadline = arrived + handover.remaining;
    let until = deadline.min(arrived + handover.wait);
    let local = &shared.local;
    let admitted = local
        .admit(shared.clock, handover, is_likely_nested, until)
        .await;
    let mut permit = match admitted {
        Ok(permit) => permit,
        Err(refusal) => return refused(shared, handover, outgoing, refusal).into(),
    };
    let Some(id) = shared.settings.dialect.id(&outgoing.headers).cloned() else {
        return Dispatched::Without(AttemptResult::Leaving).into();
    };
    // After the wait for a slot, in which the content may have been found out.
    if is_quarantined(shared, &id, handover.content) {
        return Dispatched::Without(AttemptResult::Quarantined).into();
    }
    let pool = shared.endpoint_pools.get(permit.address);
    // The time that is left is that of the moment of sending.
    let address = |headers: &mut HeaderMap| {
        let left = shared.clock.left_until(deadline);
        let caller = handover.caller.as_ref();
        let dialect = &shared.settings.dialect;
        let tenant = handover.tenant.as_ref();
        dialect.address(headers, &handover.endpoint, left, caller, tenant);
    };
    if shared.clock.left_until(deadline) < Duration::from_millis(1) {
        return Dispatched::Without(AttemptResult::Full).into();
    }
    permit.sent();
    progress.enters(Stage::Sent);
    if handover.retried_share > 0.0 {
        shared.metrics.retried_runs.inc();
    }
    let sent = tokio::select! {
        biased;
        sent = exchange::send(&pool, outgoing, address) => sent,
        // Where the earlier start fell silent, its connections stay open and nothing will come on them.
        () = shared.local.until_started_again(&handover.endpoint) => Err(NoAnswer::Lost),
    };
    let received = match sent {
        Ok(received) => received,
        Err(NoAnswer::NotSent) => {
            permit.not_sent();
            shared.local.was_unreachable(shared.clock.now());
            slog::info!(shared.log, "endpoint not reached"; "id" => text(&id),
                "endpoint" => %handover.endpoint, "address" => %permit.address);
            return Dispatched::Without(AttemptResult::Unreachable).into();
        }
        Err(NoAnswer::Lost) => {
            probe_for_crash(shared, &handover.endpoint, permit.address);
            return lost(shared, handover, &id, "connection").into();
        }
    };
    let short_downstream = permit.answered(received.head.status.is_server_error());
    let head = &received.head;
    let dialect = &shared.settings.dialect;
    let dispatched = match dialect.kind(head.status, &head.headers, &id) {
        AnswerKind::Ran => match received.read(Some(permit)).await {
            Ok(answer) => {
                note_good_end(shared, handover, &answer);
                Dispatched::Answered(Box::new(answer))
            }
            Err(_) => lost(shared, handover, &id, "body"),
        },
        AnswerKind::NotRun => {
            slog::info!(shared.log, "endpoint refused"; "id" => text(&id),
                "endpoint" => %handover.endpoint, "status" => head.status.as_u16());
            // Read to its end, so that the connection can be kept.
            let _ = received.read(None).await;
            Dispatched::Without(AttemptResult::Rejected)
        }
        AnswerKind::OtherEndpoint => {
            slog::info!(shared.log, "endpoint was replaced"; "id" => text(&id),
                "endpoint" => %handover.endpoint, "address" => %permit.address);
            shared.local.was_replaced(&handover.endpoint);
            Dispatched::Without(AttemptResult::OtherEndpoint)
        }
        AnswerKind::Foreign => lost(shared, handover, &id, "foreign"),
    };
    Ran {
        dispatched,
        short_downstream,
    }
}

/// An endpoint that has answered with success did not end under the request.
fn note_good_end(shared: &Shared, handover: &Handover, answer: &Answer) {
    let Some(content) = handover.content.filter(|_| answer.status().is_success()) else {
        return;
    };
    let now = shared.clock.now();
    let is_to_be_told = shared.quarantine().ended_well(now, content);
    if is_to_be_told {
        shared.reporter.succeeded(vec![content]);
    }
}

/// Whether a request is refused since endpoints end under its content; logs and counts it then.
pub fn is_quarantined(shared: &Shared, id: &HeaderValue, content: Option<ContentDigest>) -> bool {
    let quarantine = shared.quarantine();
    let known = content.and_then(|content| quarantine.quarantine_of(content));
    let revision = quarantine.revision();
    drop(quarantine);
    let Some(known) = known else {
        return false;
    };
    shared.metrics.quarantined.inc();
    slog::info!(shared.log, "quarantined"; "id" => text(id), "content" => %known.content,
        "ends" => known.crashes, "revision" => revision);
    true
}

fn refused(
    shared: &Shared,
    handover: &Handover,
    outgoing: &Outgoing,
    refusal: Refusal,
) -> Dispatched {
    let result = match refusal {
        Refusal::Full => AttemptResult::Full,
        Refusal::Leaving => AttemptResult::Leaving,
        Refusal::Unreachable => AttemptResult::Unreachable,
    };
    let id = shared.settings.dialect.id(&outgoing.headers);
    let load = shared.local.load(shared.clock.now());
    slog::info!(shared.log, "not admitted"; "id" => id.map_or("", text),
        "endpoint" => %handover.endpoint, "reason" => result.as_str(), "rank" => handover.rank,
        "busy" => load.busy, "limit" => load.limit,
        "route_limit" => shared.local.class_limit(handover.class));
    Dispatched::Without(result)
}

fn lost(shared: &Shared, handover: &Handover, id: &HeaderValue, what: &'static str) -> Dispatched {
    shared.local.has_failed(shared.clock.now());
    slog::info!(shared.log, "answer lost"; "id" => text(id),
        "endpoint" => %handover.endpoint, "broken" => what,
        "content" => handover.content.map(|content| content.to_string()));
    Dispatched::Without(AttemptResult::Lost)
}

/// An id for the log.
pub fn text(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or("?")
}
