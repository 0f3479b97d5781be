//! One caller request, from its admission to its outcome.
//!
//! Holds the state of the request: its tenant, its ranks, whether it may have run. Its attempts are in `attempts`,
//! the effect of its outcome on the capacity estimate in `capacity`, the effect of a planned stop in `stopping`.

use crate::http::exchange::Outgoing;
use crate::in_progress::Progress;
use crate::inbound::dispatch::id_text;
use crate::outbound::access::TenantRequest;
use crate::outbound::outcome::{EndReason, RequestOutcome};
use crate::shared::Shared;
use crate::wire::AnswerReport;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::table::{ActiveRoute, Route};
use bramblewheel_decisions::tenant_quota::QuotaCharge;
use bramblewheel_process::invariants::lock;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::{Millis, ServiceName, Timestamp};
use http::HeaderValue;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that was read from its caller and admitted.
pub(super) struct NewCallerRequest {
    /// Id as sent by the caller.
    pub(super) id: HeaderValue,
    /// Digest of the content; a resent request has the same.
    pub(super) content: ContentDigest,
    pub(super) route: Arc<ActiveRoute>,
    /// Version of the route table that holds the route.
    pub(super) table: TableVersion,
    /// Its tenant and quota charge; `None` without a key.
    pub(super) tenant_request: Option<TenantRequest>,
    /// Whether the route table implies that an endpoint makes the request.
    pub(super) is_nested_by_table: bool,
    /// When its head was read.
    pub(super) arrived: Timestamp,
    /// How long the caller waits, if stated.
    pub(super) remaining: Option<Duration>,
    /// Longest time for which it may have waited unread, during which its caller waited already.
    pub(super) unread: Duration,
    /// Progress shared with the list of requests in progress.
    pub(super) progress: Arc<Progress>,
}

/// A request of a caller on the daemon's machine, from admission to answer.
pub(super) struct CallerRequest<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) id: HeaderValue,
    /// Digest of the content; a resent request has the same.
    pub(super) content: ContentDigest,
    pub(super) route: Arc<ActiveRoute>,
    /// Version of the route table that holds the route.
    pub(super) table: TableVersion,
    pub(super) tenant_request: Option<TenantRequest>,
    /// Rank of the request, ordered by its tenant's rank, then by its route's; 0 is the most important.
    pub(super) rank: u32,
    /// Class of the request: its route and its tenant's rank.
    pub(super) class: RequestClass,
    arrived: Timestamp,
    /// The caller's deadline, or the end of the route's time-out if it is earlier. Until then the caller is answered.
    pub(super) deadline: Timestamp,
    /// The earliest time that this deadline may be, as the request may have waited unread. By then it must have run.
    pub(super) run_deadline: Timestamp,
    /// Whether the request is likely a call that the local endpoint makes for a request it is running.
    pub(super) is_likely_nested: bool,
    /// Rank of the request at the root of the call tree, as far as known.
    pub(super) root_rank: u32,
    /// Tenant of the request at the root of the call tree, if the request has none of its own and it is known.
    pub(super) tree_tenant: Option<HeaderValue>,
    /// Share of the request, 0 to 1, that counts as a retry because the run that makes it was itself retried.
    pub(super) retried_share: f64,
    /// Last report of a daemon beside an endpoint.
    pub(super) last_report: Mutex<AnswerReport>,
    /// Number of attempts in which the request may have run. Kept here because the deadline may cancel the attempts.
    pub(super) possible_runs: AtomicU32,
    /// The request's service, once a daemon beside one of its endpoints had no free slot.
    pub(super) full_service: Mutex<Option<ServiceName>>,
    has_ended: AtomicBool,
    pub(super) progress: Arc<Progress>,
}

impl Drop for CallerRequest<'_> {
    fn drop(&mut self) {
        if !self.has_ended.load(Ordering::Relaxed) {
            self.shared.metrics.cancelled.inc();
            slog::info!(self.shared.log, "caller went away"; "id" => id_text(&self.id),
                "route" => &self.route.route.name,
                "after_ms" => Millis::of(self.shared.clock.since(self.arrived)).0);
        }
    }
}

impl<'a> CallerRequest<'a> {
    pub(super) fn new(shared: &'a Arc<Shared>, request: NewCallerRequest) -> Self {
        let NewCallerRequest {
            id,
            content,
            route,
            table,
            tenant_request,
            is_nested_by_table,
            arrived,
            remaining,
            unread,
            progress,
        } = request;
        let (rank, class) = rank_and_class(&route, tenant_request.as_ref());
        let is_likely_nested =
            is_nested_by_table || shared.routing().reported_nested.contains(&class);
        if is_likely_nested {
            progress.mark_likely_nested();
        }
        let timeout = route.route.timeout;
        let longest = remaining.map_or(timeout, |remaining| remaining.min(timeout));
        let deadline = arrived + longest;
        let least = remaining.map_or(timeout, |remaining| remaining.saturating_sub(unread));
        let run_deadline = arrived + least.min(timeout);
        let root_rank = root_rank(shared, &route.route, rank, is_likely_nested, remaining);
        let is_call_without_tenant = is_likely_nested && tenant_request.is_none();
        let tree_tenant = tree_tenant(shared, &route.route, is_call_without_tenant, remaining);
        let retried_share = retried_share(shared, &route.route, is_likely_nested, remaining);
        Self {
            shared,
            id,
            content,
            route,
            table,
            tenant_request,
            rank,
            class,
            arrived,
            deadline,
            run_deadline,
            is_likely_nested,
            root_rank,
            tree_tenant,
            retried_share,
            last_report: Mutex::default(),
            possible_runs: AtomicU32::new(0),
            full_service: Mutex::default(),
            has_ended: AtomicBool::new(false),
            progress,
        }
    }

    /// Runs the request; returns its outcome by the deadline.
    pub(super) async fn run(self, mut outgoing: Outgoing) -> RequestOutcome {
        let attempts = self.run_attempts(&mut outgoing);
        let (clock, stop) = (self.shared.clock, &self.shared.stop);
        let outcome = tokio::select! {
            biased;
            ended = clock.timeout_at(self.deadline, attempts) => match ended {
                Ok(outcome) => outcome,
                Err(_) => self.without_success(EndReason::DeadlinePassed),
            },
            // Even an answer that leaves open whether the request ran serves a caller better than a closed
            // connection.
            () = stop.answer_due(clock, || self.may_have_run()) => self.without_success(EndReason::StopDue),
        };
        self.record_capacity(&outcome);
        self.settle_quota(&outcome);
        self.finish(&outcome);
        outcome
    }

    /// Refunds the quota charge if the request has not run.
    fn settle_quota(&self, outcome: &RequestOutcome) {
        if outcome.has_not_run() {
            self.refund(self.charge());
        }
    }

    fn charge(&self) -> Option<QuotaCharge> {
        let tenant_request = self.tenant_request.as_ref();
        tenant_request.and_then(|tenant_request| tenant_request.charge)
    }

    /// Charges the quota for another attempt, after one that may have run.
    pub(super) fn charge_further_run(&self) -> Option<QuotaCharge> {
        let charge = self.charge()?;
        let now = self.shared.clock.now();
        let quotas = &mut self.shared.tenant_access().quotas;
        quotas.charge_further_run(now, charge)
    }

    /// Refunds a charge for a run that did not happen.
    pub(super) fn refund(&self, charge: Option<QuotaCharge>) {
        if let Some(charge) = charge {
            self.shared.tenant_access().quotas.refund(charge);
        }
    }

    fn tenant_name(&self) -> &str {
        let tenant_request = self.tenant_request.as_ref();
        tenant_request.map_or("", |tenant_request| tenant_request.tenant.name.as_str())
    }

    fn finish(&self, outcome: &RequestOutcome) {
        self.has_ended.store(true, Ordering::Relaxed);
        let route = &self.route.route;
        let time = self.shared.clock.since(self.arrived);
        let outcome = outcome.as_str();
        self.shared.metrics.request(&route.name, outcome, time);
        if outcome != "completed" {
            let report = lock(&self.last_report);
            let full_downstream = report
                .full_downstream
                .as_ref()
                .map_or("", ServiceName::as_str);
            slog::info!(self.shared.log, "request ended"; "id" => id_text(&self.id),
                "route" => &route.name, "table" => self.table.0, "outcome" => outcome,
                "content" => %self.content, "caller" => self.caller_service().as_ref().map_or("", id_text),
                "after_ms" => Millis::of(time).0, "rank" => self.rank, "root_rank" => self.root_rank,
                "tenant" => self.tenant_name(),
                "tree_tenant" => self.tree_tenant.as_ref().map_or("", id_text), "short" => full_downstream);
        }
    }

    /// Outcome of the request if it ends without success.
    pub(super) fn without_success(&self, reason: EndReason) -> RequestOutcome {
        RequestOutcome::without_success(reason, self.may_have_run(), || self.refused_part())
    }

    /// Whether the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.possible_runs.load(Ordering::Relaxed) > 0
    }

    /// Outcome of a request that has not run for lack of capacity.
    pub(super) fn not_run(&self) -> RequestOutcome {
        RequestOutcome::NotRun {
            refused_part: self.refused_part(),
        }
    }

    fn refused_part(&self) -> f64 {
        let now = self.shared.clock.now();
        let routing = self.shared.routing();
        let refused_early = routing.early_refusal.refused_part(now, self.class);
        let targets = self.route.route.targets.iter();
        let over_limits =
            targets.map(|target| routing.directory.part_over_limits(now, &target.service));
        over_limits.fold(refused_early, f64::max)
    }
}

/// Rank and class of a request, from its route and its tenant's rank.
fn rank_and_class(
    route: &ActiveRoute,
    tenant_request: Option<&TenantRequest>,
) -> (u32, RequestClass) {
    match tenant_request.map(|tenant_request| &tenant_request.tenant) {
        Some(tenant) => (
            tenant.rank_on(route.route.rank),
            tenant.class_on(route.number),
        ),
        None => (route.route.rank, RequestClass(route.number)),
    }
}

/// Rank at the root of the request's call tree: that of the running request for which the local endpoint most likely
/// makes it; the request's own rank if it is not nested or no such request is found.
fn root_rank(
    shared: &Shared,
    route: &Route,
    own_rank: u32,
    is_likely_nested: bool,
    remaining: Option<Duration>,
) -> u32 {
    if !is_likely_nested {
        return own_rank;
    }
    let remaining = remaining.unwrap_or(route.timeout);
    let parent = shared
        .local
        .root_rank_of_call(shared.clock.now(), remaining);
    parent.unwrap_or(own_rank)
}

/// Tenant of the running request for which the local endpoint most likely makes a nested call without a tenant of its
/// own; `None` if it is not known or the request is no such call.
fn tree_tenant(
    shared: &Shared,
    route: &Route,
    is_call_without_tenant: bool,
    remaining: Option<Duration>,
) -> Option<HeaderValue> {
    if !is_call_without_tenant {
        return None;
    }
    let remaining = remaining.unwrap_or(route.timeout);
    shared.local.tenant_of_call(shared.clock.now(), remaining)
}

/// Share of a request, 0 to 1, that counts as a retry because the run that makes it was itself retried; 0 for a
/// request that no endpoint makes.
fn retried_share(
    shared: &Shared,
    route: &Route,
    is_likely_nested: bool,
    remaining: Option<Duration>,
) -> f64 {
    if !is_likely_nested {
        return 0.0;
    }
    let remaining = remaining.unwrap_or(route.timeout);
    let now = shared.clock.now();
    shared.local.retried_share_of_call(now, remaining)
}
