//! One request at the endpoint beside the daemon: the wait for a slot, the send, and what the answer proves.
//!
//! Relies on [`crate::local`] for slots and for which start of the endpoint is there, and on the dialect for what the
//! endpoint's answer says. Owns nothing.

use crate::dialect::AnswerKind;
use crate::http::exchange::{self, Answer, NoAnswer, Outgoing, Received};
use crate::in_progress::{Progress, Stage};
use crate::local::crash_probe::probe_for_crash;
use crate::local::{Permit, Refusal};
use crate::shared::Shared;
use crate::wire::{AnswerReport, AttemptResult, Handover};
use bramblewheel_decisions::decaying_share::whole_percent;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{ServiceName, Timestamp};
use http::{HeaderMap, HeaderValue};
use std::sync::Arc;
use std::time::Duration;

/// Least time with which a request is sent to the endpoint: less would be stated to it as none. One millisecond is
/// the unit of the header that states it.
const LEAST_TIME_TO_SEND: Duration = Duration::from_millis(1);

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

/// How an attempt ended, with what the daemon beside the endpoint reports besides.
#[derive(Debug)]
pub struct Attempted {
    /// How it ended.
    pub dispatched: Dispatched,
    /// What is reported besides.
    pub report: AnswerReport,
}

/// Waits for a slot at the endpoint and sends it a request.
pub async fn dispatch(
    shared: &Arc<Shared>,
    handover: &Handover,
    arrived: Timestamp,
    outgoing: &mut Outgoing,
    progress: &Progress,
) -> Attempted {
    let id = shared.settings.dialect.id(&outgoing.headers);
    let is_likely_nested = note_caller(shared, handover, id) || handover.is_likely_nested;
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
    let report = AnswerReport {
        load: Some(load),
        is_likely_nested,
        short_downstream,
        bound_used_percent: whole_percent(used),
    };
    Attempted { dispatched, report }
}

/// How a request ended at the endpoint.
struct Ran {
    dispatched: Dispatched,
    /// Where a call of the endpoint had found no capacity right before it failed the request.
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

/// Logs and counts a request that is said to come from a service which the table in force does not name.
fn note_unknown_caller(
    shared: &Shared,
    handover: &Handover,
    id: Option<&HeaderValue>,
    caller: &ServiceName,
) {
    let router = shared.router.load();
    let Some(router) = router.as_ref().filter(|router| !router.has_service(caller)) else {
        return;
    };
    shared.metrics.unknown_callers.inc();
    slog::info!(shared.log, "caller is of no known service"; "id" => id.map_or("", text),
        "caller" => %caller, "endpoint" => %handover.endpoint, "table" => router.version().0);
}

/// Counts where the request came from; returns whether its class is likely called by endpoints only.
fn note_caller(shared: &Shared, handover: &Handover, id: Option<&HeaderValue>) -> bool {
    let caller = handover.caller.as_ref().and_then(|name| name.to_str().ok());
    let Some(caller) = caller.and_then(|name| ServiceName::new(name).ok()) else {
        return false;
    };
    note_unknown_caller(shared, handover, id, &caller);
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
    let admitted = shared
        .local
        .admit(shared.clock, handover, is_likely_nested, until)
        .await;
    let mut permit = match admitted {
        Ok(permit) => permit,
        Err(refusal) => return refused(shared, handover, outgoing, refusal).into(),
    };
    let Some(id) = shared.settings.dialect.id(&outgoing.headers).cloned() else {
        return Dispatched::Without(AttemptResult::Leaving).into();
    };
    // After the wait for a slot, in which the content may have been quarantined.
    if is_quarantined(shared, &id, handover.content) {
        return Dispatched::Without(AttemptResult::Quarantined).into();
    }
    if shared.clock.remaining_until(deadline) < LEAST_TIME_TO_SEND {
        return Dispatched::Without(AttemptResult::Full).into();
    }
    let run = AdmittedRun {
        shared,
        handover,
        id,
        deadline,
    };
    match run.send(&mut permit, outgoing, progress).await {
        Ok(received) => run.read(permit, received).await,
        Err(result) => Dispatched::Without(result).into(),
    }
}

/// A request that has a slot at the endpoint.
struct AdmittedRun<'a> {
    shared: &'a Arc<Shared>,
    handover: &'a Handover,
    id: HeaderValue,
    deadline: Timestamp,
}

impl AdmittedRun<'_> {
    /// Sends the request to the endpoint; the result of the attempt if no answer comes.
    async fn send(
        &self,
        permit: &mut Permit,
        outgoing: &mut Outgoing,
        progress: &Progress,
    ) -> Result<Received, AttemptResult> {
        let Self {
            shared, handover, ..
        } = self;
        let pool = shared.endpoint_pools.get(permit.address);
        permit.sent();
        progress.enters(Stage::Sent);
        if handover.retried_share > 0.0 {
            shared.metrics.retried_runs.inc();
        }
        let sent = tokio::select! {
            biased;
            sent = exchange::send(&pool, outgoing, |headers| self.address(headers)) => sent,
            // Where the earlier start fell silent, its connections stay open and nothing will come on them.
            () = shared.local.until_started_again(&handover.endpoint) => Err(NoAnswer::Lost),
        };
        sent.map_err(|error| match error {
            NoAnswer::NotSent => self.not_reached(permit),
            NoAnswer::Lost => {
                probe_for_crash(shared, &handover.endpoint, permit.address);
                self.lost("connection")
            }
        })
    }

    /// Addresses the request to the endpoint, with the time that is left at the moment of sending.
    fn address(&self, headers: &mut HeaderMap) {
        let handover = self.handover;
        let left = self.shared.clock.remaining_until(self.deadline);
        let caller = handover.caller.as_ref();
        let dialect = &self.shared.settings.dialect;
        let tenant = handover.tenant.as_ref();
        dialect.address(headers, &handover.endpoint, left, caller, tenant);
    }

    /// The endpoint got nothing.
    fn not_reached(&self, permit: &mut Permit) -> AttemptResult {
        permit.not_sent();
        let shared = self.shared;
        shared.local.was_unreachable(shared.clock.now());
        slog::info!(shared.log, "endpoint not reached"; "id" => text(&self.id),
            "endpoint" => %self.handover.endpoint, "address" => %permit.address);
        AttemptResult::Unreachable
    }

    /// Reads the endpoint's answer, which says whether it ran the request.
    async fn read(&self, mut permit: Permit, received: Received) -> Ran {
        let short_downstream = permit.answered(received.head.status.is_server_error());
        let head = &received.head;
        let dialect = &self.shared.settings.dialect;
        let dispatched = match dialect.kind(head.status, &head.headers, &self.id) {
            AnswerKind::Ran => match received.read(Some(permit)).await {
                Ok(answer) => {
                    self.note_ended_well(&answer);
                    Dispatched::Answered(Box::new(answer))
                }
                Err(_) => Dispatched::Without(self.lost("body")),
            },
            AnswerKind::NotRun => {
                slog::info!(self.shared.log, "endpoint refused"; "id" => text(&self.id),
                    "endpoint" => %self.handover.endpoint, "status" => head.status.as_u16());
                // Read to its end, so that the connection can be kept.
                let _ = received.read(None).await;
                Dispatched::Without(AttemptResult::Rejected)
            }
            AnswerKind::OtherEndpoint => Dispatched::Without(self.replaced(&permit)),
            AnswerKind::Foreign => Dispatched::Without(self.lost("foreign")),
        };
        Ran {
            dispatched,
            short_downstream,
        }
    }

    /// Another endpoint has the address.
    fn replaced(&self, permit: &Permit) -> AttemptResult {
        slog::info!(self.shared.log, "endpoint was replaced"; "id" => text(&self.id),
            "endpoint" => %self.handover.endpoint, "address" => %permit.address);
        self.shared.local.was_replaced(&self.handover.endpoint);
        AttemptResult::OtherEndpoint
    }

    /// The endpoint may have run the request; `what` broke.
    fn lost(&self, what: &'static str) -> AttemptResult {
        let (shared, handover) = (self.shared, self.handover);
        shared.local.note_failure(shared.clock.now());
        slog::info!(shared.log, "answer lost"; "id" => text(&self.id),
            "endpoint" => %handover.endpoint, "broken" => what,
            "content" => handover.content.map(|content| content.to_string()));
        AttemptResult::Lost
    }

    /// An endpoint that has answered with success did not crash under the request.
    fn note_ended_well(&self, answer: &Answer) {
        let content = self.handover.content;
        let Some(content) = content.filter(|_| answer.status().is_success()) else {
            return;
        };
        let now = self.shared.clock.now();
        let is_to_be_reported = self.shared.quarantine().record_completion(now, content);
        if is_to_be_reported {
            self.shared.reporter.succeeded(vec![content]);
        }
    }
}

/// Whether a request is refused since endpoints crash under its content; logs and counts it then.
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

/// An id for the log.
pub fn text(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or("?")
}
