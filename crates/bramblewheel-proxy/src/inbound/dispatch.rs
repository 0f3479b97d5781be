//! Runs one request at the endpoint beside the daemon: waits for a slot, sends it and interprets the answer.
//!
//! [`crate::local`] gives slots and knows the current incarnation of the endpoint; the dialect classifies the
//! endpoint's answer.

use crate::dialect::AnswerKind;
use crate::http::exchange::{self, Answer, NoAnswer, Outgoing, Received};
use crate::in_progress::{Progress, Stage};
use crate::inbound::{late_start, statements};
use crate::local::crash_probe::probe_for_crash;
use crate::local::{AnsweredRequest, Permit, Refusal};
use crate::shared::Shared;
use crate::wire::{AnswerReport, AttemptResult, Handover};
use bramblewheel_decisions::decaying_share::whole_percent;
use bramblewheel_decisions::exemption::is_exempt_from_refusal;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{ServiceName, Timestamp};
use http::{HeaderMap, HeaderValue};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Time for the body of a rejection to arrive; after it the connection is closed. The head alone proves that the request
/// was not run.
const REJECTION_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// How a request ended at the endpoint.
#[derive(Debug)]
pub enum DispatchOutcome {
    /// The endpoint ran it.
    Answered(Box<Answer>),
    /// There is no answer to pass on.
    Unanswered(AttemptResult),
}

impl DispatchOutcome {
    /// Whether the endpoint answered with a server error.
    pub fn has_failed(&self) -> bool {
        match self {
            Self::Answered(answer) => answer.status().is_server_error(),
            Self::Unanswered(_) => false,
        }
    }

    /// Result of the attempt.
    pub fn result(&self) -> AttemptResult {
        match self {
            Self::Answered(_) => AttemptResult::Answered,
            Self::Unanswered(result) => *result,
        }
    }
}

/// How an attempt ended, with the report of the daemon beside the endpoint.
#[derive(Debug)]
pub struct AttemptOutcome {
    /// How it ended.
    pub dispatched: DispatchOutcome,
    /// Report of the daemon beside the endpoint.
    pub report: AnswerReport,
}

/// Waits for a slot at the endpoint, sends it the request and reports on the attempt.
pub async fn dispatch(
    shared: &Arc<Shared>,
    handover: &Handover,
    arrived: Timestamp,
    outgoing: &mut Outgoing,
    progress: &Progress,
) -> AttemptOutcome {
    let id = shared.settings.dialect.id(&outgoing.headers);
    let is_likely_nested = record_caller(shared, handover, id) || handover.is_likely_nested;
    statements::adopt_limit(shared, handover, id);
    let RunOutcome {
        dispatched,
        full_downstream,
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
        full_downstream,
        bound_used_percent: whole_percent(used),
        rate_limit: shared.local.limit_report(now, handover),
        stated_load: shared.local.stated_load(now, &handover.endpoint),
        is_draining: shared.local.has_drain_notice(&handover.endpoint),
        needed_time: if dispatched.result() == AttemptResult::OutOfTime {
            late_start::needed_time(shared, handover)
        } else {
            Duration::ZERO
        },
    };
    AttemptOutcome { dispatched, report }
}

/// How a request ended at the endpoint.
struct RunOutcome {
    dispatched: DispatchOutcome,
    /// Service at which a call of the endpoint found no capacity right before the endpoint failed the request.
    full_downstream: Option<ServiceName>,
}

impl From<DispatchOutcome> for RunOutcome {
    fn from(dispatched: DispatchOutcome) -> Self {
        Self {
            dispatched,
            full_downstream: None,
        }
    }
}

/// Logs and counts a request whose stated caller is a service that the route table in force does not contain.
fn record_unknown_caller(
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
    slog::info!(shared.log, "caller is of no known service"; "id" => id.map_or("", id_text),
        "caller" => %caller, "endpoint" => %handover.endpoint, "table" => router.version().0);
}

/// Records the caller of the request; returns whether its class is likely called by endpoints only.
fn record_caller(shared: &Shared, handover: &Handover, id: Option<&HeaderValue>) -> bool {
    let caller = handover.caller.as_ref().and_then(|name| name.to_str().ok());
    let Some(caller) = caller.and_then(|name| ServiceName::new(name).ok()) else {
        return false;
    };
    record_unknown_caller(shared, handover, id, &caller);
    let mut routing = shared.routing();
    let routing = &mut *routing;
    routing.nested_routes.record(handover.class, &caller);
    routing
        .nested_routes
        .is_likely_nested(handover.class, &routing.directory)
}

/// Waits for a slot and runs a request at the endpoint.
async fn run(
    shared: &Arc<Shared>,
    handover: &Handover,
    is_likely_nested: bool,
    arrived: Timestamp,
    outgoing: &mut Outgoing,
    progress: &Progress,
) -> RunOutcome {
    let deadline = arrived + handover.remaining;
    let until = deadline.min(arrived + handover.wait);
    let admitted = shared
        .local
        .admit(shared.clock, handover, is_likely_nested, until)
        .await;
    let mut permit = match admitted {
        Ok(permit) => permit,
        Err(refusal) => {
            let id = shared.settings.dialect.id(&outgoing.headers);
            let result = refused(shared, handover, id, refusal);
            return DispatchOutcome::Unanswered(result).into();
        }
    };
    let Some(id) = shared.settings.dialect.id(&outgoing.headers).cloned() else {
        return DispatchOutcome::Unanswered(AttemptResult::Leaving).into();
    };
    // Checked after the wait for a slot, during which the content may have been quarantined.
    if is_quarantined(shared, &id, handover.content) {
        return DispatchOutcome::Unanswered(AttemptResult::Quarantined).into();
    }
    late_start::read_closed_connections(shared).await;
    if late_start::is_too_late(shared, handover, deadline, &id) {
        return DispatchOutcome::Unanswered(AttemptResult::OutOfTime).into();
    }
    let run = AdmittedRun {
        shared,
        handover,
        id,
        deadline,
        is_exempt: is_exempt_from_refusal(handover.rank, is_likely_nested),
    };
    match run.send(&mut permit, outgoing, progress).await {
        Ok(received) => run.read(permit, received).await,
        Err(result) => DispatchOutcome::Unanswered(result).into(),
    }
}

/// A request that has a slot at the endpoint.
struct AdmittedRun<'a> {
    shared: &'a Arc<Shared>,
    handover: &'a Handover,
    id: HeaderValue,
    deadline: Timestamp,
    /// Whether it may take the last token of the endpoint's rate limit.
    is_exempt: bool,
}

impl AdmittedRun<'_> {
    /// Sends the request to the endpoint.
    ///
    /// # Errors
    /// The result of the attempt if no answer comes.
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
        permit.mark_sent();
        progress.set_stage(Stage::Sent);
        if handover.retried_share > 0.0 {
            shared.metrics.retried_runs.inc();
        }
        let sent = tokio::select! {
            biased;
            sent = exchange::send(&pool, outgoing, Some(&self.id), |headers| self.before_send(headers)) => sent,
            // Connections to an earlier incarnation that fell silent may stay open without ever carrying an answer.
            () = shared.local.until_later_start(&handover.endpoint) => Err(NoAnswer::Lost),
        };
        sent.map_err(|error| match error {
            NoAnswer::NotSent => self.endpoint_unreachable(permit),
            NoAnswer::Refused(refusal) => {
                permit.mark_not_sent();
                refused(shared, handover, Some(&self.id), refusal)
            }
            NoAnswer::Lost => {
                probe_for_crash(shared, &handover.endpoint, permit.address);
                self.answer_lost("connection")
            }
        })
    }

    /// Takes a token of the endpoint's rate limit and sets the headers that the endpoint expects.
    ///
    /// # Errors
    /// [`Refusal`] if the request must not be sent.
    fn before_send(&self, headers: &mut HeaderMap) -> Result<(), Refusal> {
        let shared = self.shared;
        if late_start::is_too_late(shared, self.handover, self.deadline, &self.id) {
            return Err(Refusal::OutOfTime);
        }
        let now = shared.clock.now();
        let local = &shared.local;
        let is_limited = local.begin_send(now, &self.handover.endpoint, self.is_exempt)?;
        if is_limited {
            shared.metrics.sent_under_rate_limit.inc();
        }
        self.set_headers(headers);
        Ok(())
    }

    /// Sets the headers that the endpoint expects, with the remaining time as of now.
    fn set_headers(&self, headers: &mut HeaderMap) {
        let handover = self.handover;
        let left = self.shared.clock.remaining_until(self.deadline);
        let caller = handover.caller.as_ref();
        let dialect = &self.shared.settings.dialect;
        let tenant = handover.tenant.as_ref();
        dialect.set_headers(headers, &handover.endpoint, left, caller, tenant);
    }

    /// Records that the endpoint could not be reached and got nothing.
    fn endpoint_unreachable(&self, permit: &mut Permit) -> AttemptResult {
        permit.mark_not_sent();
        let shared = self.shared;
        shared.local.record_unreachable(shared.clock.now());
        slog::info!(shared.log, "endpoint not reached"; "id" => id_text(&self.id),
            "endpoint" => %self.handover.endpoint, "address" => %permit.address);
        AttemptResult::Unreachable
    }

    /// Reads the endpoint's answer, which tells whether it ran the request.
    async fn read(&self, mut permit: Permit, mut received: Received) -> RunOutcome {
        let head = &received.head;
        let dialect = &self.shared.settings.dialect;
        let kind = dialect.kind(head.status, &head.headers, &self.id);
        let is_own = matches!(kind, AnswerKind::Ran | AnswerKind::NotRun);
        let statement = is_own.then(|| dialect.statement(&head.headers));
        let answered = permit.mark_answered(head.status.is_server_error(), statement);
        let AnsweredRequest {
            full_downstream,
            change,
        } = answered;
        if let Some(statement) = statement {
            statements::record(
                self.shared,
                self.handover,
                &self.id,
                head,
                statement,
                change,
            );
        }
        let dispatched = match kind {
            AnswerKind::Ran => {
                if head.status.is_success() {
                    permit.record_success();
                }
                match received.read(Some(permit)).await {
                    Ok(answer) => {
                        self.record_success(&answer);
                        DispatchOutcome::Answered(Box::new(answer))
                    }
                    Err(_) => DispatchOutcome::Unanswered(self.answer_lost("body")),
                }
            }
            AnswerKind::NotRun => {
                let usage = received.connection_use();
                slog::info!(self.shared.log, "endpoint refused"; "id" => id_text(&self.id),
                    "endpoint" => %self.handover.endpoint, "status" => head.status.as_u16(),
                    "connection" => usage.number, "requests" => usage.requests);
                received.record_rejection(&self.id);
                // Read to its end, so that the connection can be reused.
                let _ = timeout(REJECTION_BODY_TIMEOUT, received.read(None)).await;
                DispatchOutcome::Unanswered(AttemptResult::Rejected)
            }
            AnswerKind::OtherEndpoint => {
                DispatchOutcome::Unanswered(self.endpoint_replaced(&permit))
            }
            AnswerKind::Foreign => DispatchOutcome::Unanswered(self.answer_lost("foreign")),
        };
        RunOutcome {
            dispatched,
            full_downstream,
        }
    }

    /// Records that another endpoint answers at the address.
    fn endpoint_replaced(&self, permit: &Permit) -> AttemptResult {
        slog::info!(self.shared.log, "endpoint was replaced"; "id" => id_text(&self.id),
            "endpoint" => %self.handover.endpoint, "address" => %permit.address);
        self.shared.local.record_replaced(&self.handover.endpoint);
        AttemptResult::OtherEndpoint
    }

    /// Records an answer that is lost because of `broken`; the endpoint may have run the request.
    fn answer_lost(&self, broken: &'static str) -> AttemptResult {
        let (shared, handover) = (self.shared, self.handover);
        shared.local.record_failure(shared.clock.now());
        slog::info!(shared.log, "answer lost"; "id" => id_text(&self.id),
            "endpoint" => %handover.endpoint, "broken" => broken,
            "content" => handover.content.map(|content| content.to_string()));
        AttemptResult::Lost
    }

    /// Records that the endpoint answered with success, so that it did not crash on this content.
    fn record_success(&self, answer: &Answer) {
        let content = self.handover.content;
        let Some(content) = content.filter(|_| answer.status().is_success()) else {
            return;
        };
        let now = self.shared.clock.now();
        let must_report = self.shared.quarantine().record_completion(now, content);
        if must_report {
            self.shared.reporter.succeeded(vec![content]);
        }
    }
}

/// Whether a request is refused because its content is quarantined; logs and counts a refusal.
pub fn is_quarantined(shared: &Shared, id: &HeaderValue, content: Option<ContentDigest>) -> bool {
    let quarantine = shared.quarantine();
    let entry = content.and_then(|content| quarantine.quarantine_of(content));
    let revision = quarantine.revision();
    drop(quarantine);
    let Some(entry) = entry else {
        return false;
    };
    shared.metrics.quarantined.inc();
    slog::info!(shared.log, "quarantined"; "id" => id_text(id), "content" => %entry.content,
        "ends" => entry.crashes, "revision" => revision);
    true
}

/// Logs a refused request; returns the result of the attempt.
fn refused(
    shared: &Shared,
    handover: &Handover,
    id: Option<&HeaderValue>,
    refusal: Refusal,
) -> AttemptResult {
    let result = match refusal {
        Refusal::Full | Refusal::Displaced(_) => AttemptResult::Full,
        Refusal::RateLimited(refusal) => {
            return statements::rate_limited(shared, handover, id, &refusal);
        }
        Refusal::Leaving => AttemptResult::Leaving,
        Refusal::Unreachable => AttemptResult::Unreachable,
        // Logged where it was decided.
        Refusal::OutOfTime => return AttemptResult::OutOfTime,
    };
    let mut displaced_by = "";
    if let Refusal::Displaced(displacement) = refusal {
        shared.metrics.displaced(displacement);
        displaced_by = displacement.as_str();
    }
    let load = shared.local.load(shared.clock.now());
    slog::info!(shared.log, "not admitted"; "id" => id.map_or("", id_text),
        "endpoint" => %handover.endpoint, "reason" => result.as_str(), "rank" => handover.rank,
        "root_rank" => handover.root_rank, "tenant" => handover.sharing_tenant().map_or("", id_text),
        "displaced_by" => displaced_by, "busy" => load.busy, "limit" => load.limit,
        "route_limit" => shared.local.class_limit(handover.class));
    result
}

/// A request id or the name of a tenant as text for log lines; `?` if it is not visible ASCII.
pub fn id_text(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or("?")
}
