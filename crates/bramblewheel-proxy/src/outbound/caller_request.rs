//! One caller request, from its admission to its outcome.
//!
//! Owns what is known of the request: whom it comes from, its ranks, whether it may have run. Its attempts stand in
//! `attempts`, what its outcome says of capacity in `capacity`, what a planned stop means for it in `stopping`.

use crate::http::exchange::Outgoing;
use crate::in_progress::Progress;
use crate::inbound::dispatch::text;
use crate::outbound::access::TenantRequest;
use crate::outbound::outcome::{EndReason, RequestOutcome};
use crate::shared::Shared;
use crate::wire::AnswerReport;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::table::{ActiveRoute, Route};
use bramblewheel_process::invariants::lock;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::{Millis, ServiceName, Timestamp};
use http::HeaderValue;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request that was read from its caller and admitted.
pub(super) struct NewCallerRequest {
    /// Its id, as its caller sent it.
    pub(super) id: HeaderValue,
    /// What it has in common with its resends.
    pub(super) content: ContentDigest,
    /// Its route.
    pub(super) route: Arc<ActiveRoute>,
    /// Version of the table that the route stands in.
    pub(super) table: TableVersion,
    /// Whom it comes from; none without a key.
    pub(super) from: Option<TenantRequest>,
    /// Whether the table shows that an endpoint makes it.
    pub(super) is_nested_by_table: bool,
    /// When its head was read.
    pub(super) arrived: Timestamp,
    /// Time that its caller waits, if it says.
    pub(super) remaining: Option<Duration>,
    /// How far it is.
    pub(super) progress: Arc<Progress>,
}

/// A request of a caller on the daemon's machine, from arrival to answer.
pub(super) struct CallerRequest<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) id: HeaderValue,
    /// What it has in common with its resends.
    pub(super) content: ContentDigest,
    pub(super) route: Arc<ActiveRoute>,
    /// Version of the table that the route stands in.
    pub(super) table: TableVersion,
    pub(super) from: Option<TenantRequest>,
    /// Rank of the request: that of its tenant first, then that of its route; 0 is the most important.
    pub(super) rank: u32,
    /// Its route and its tenant's rank.
    pub(super) class: RequestClass,
    arrived: Timestamp,
    /// End of its time: that of its caller, or of its route if it comes first.
    pub(super) deadline: Timestamp,
    /// Whether the local endpoint makes it for a request that it runs, as far as is known.
    pub(super) is_likely_nested: bool,
    /// Rank of the request at the root of its tree, as far as that is known.
    pub(super) root_rank: u32,
    /// Part of it, 0 to 1, that counts as a retry because the run that makes it was itself retried.
    pub(super) retried_share: f64,
    /// What the daemon beside the last endpoint reported.
    pub(super) last_report: Mutex<AnswerReport>,
    /// Whether the request may have run; outlives the attempts, which the time may cut off.
    pub(super) may_have_run: AtomicBool,
    /// Its service, if an endpoint's daemon had no capacity for it.
    pub(super) full_service: Mutex<Option<ServiceName>>,
    is_over: AtomicBool,
    pub(super) progress: Arc<Progress>,
}

impl Drop for CallerRequest<'_> {
    fn drop(&mut self) {
        if !self.is_over.load(Ordering::Relaxed) {
            self.shared.metrics.cancelled.inc();
            slog::info!(self.shared.log, "caller went away"; "id" => text(&self.id),
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
            from,
            is_nested_by_table,
            arrived,
            remaining,
            progress,
        } = request;
        let (rank, class) = rank_and_class(&route, from.as_ref());
        let is_likely_nested =
            is_nested_by_table || shared.routing().reported_nested.contains(&class);
        if is_likely_nested {
            progress.note_likely_nested();
        }
        let allowed = remaining.unwrap_or(route.route.timeout);
        let deadline = arrived + allowed.min(route.route.timeout);
        let root_rank = root_rank(shared, &route.route, rank, is_likely_nested, remaining);
        let retried_share = retried_share(shared, &route.route, is_likely_nested, remaining);
        Self {
            shared,
            id,
            content,
            route,
            table,
            from,
            rank,
            class,
            arrived,
            deadline,
            is_likely_nested,
            root_rank,
            retried_share,
            last_report: Mutex::default(),
            may_have_run: AtomicBool::new(false),
            full_service: Mutex::default(),
            is_over: AtomicBool::new(false),
            progress,
        }
    }

    /// Runs the request; its outcome comes at the end of its time at the latest.
    pub(super) async fn run(self, mut outgoing: Outgoing) -> RequestOutcome {
        let attempts = self.run_attempts(&mut outgoing);
        let (clock, stop) = (self.shared.clock, &self.shared.stop);
        let outcome = tokio::select! {
            biased;
            ended = clock.timeout_at(self.deadline, attempts) => match ended {
                Ok(outcome) => outcome,
                Err(_) => self.without_success(EndReason::TimeOver),
            },
            // An answer that promises nothing is worth more to a caller than a closed connection.
            () = stop.answers_due(clock) => self.without_success(EndReason::StopDue),
        };
        self.note_capacity(&outcome);
        self.settle_quota(&outcome);
        self.finish(&outcome);
        outcome
    }

    /// Only what may have run uses up the quota.
    fn settle_quota(&self, outcome: &RequestOutcome) {
        let charge = self.from.as_ref().and_then(|from| from.charge);
        if let (true, Some(charge)) = (outcome.has_not_run(), charge) {
            self.shared.tenant_access().quotas.refund(charge);
        }
    }

    fn tenant_name(&self) -> &str {
        let from = self.from.as_ref();
        from.map_or("", |from| from.tenant.name.as_str())
    }

    fn finish(&self, outcome: &RequestOutcome) {
        self.is_over.store(true, Ordering::Relaxed);
        let route = &self.route.route;
        let time = self.shared.clock.since(self.arrived);
        let outcome = outcome.as_str();
        self.shared.metrics.request(&route.name, outcome, time);
        if outcome != "completed" {
            let report = lock(&self.last_report);
            let short = report
                .short_downstream
                .as_ref()
                .map_or("", ServiceName::as_str);
            slog::info!(self.shared.log, "request ended"; "id" => text(&self.id),
                "route" => &route.name, "table" => self.table.0, "outcome" => outcome,
                "content" => %self.content, "caller" => self.caller().as_ref().map_or("", text),
                "after_ms" => Millis::of(time).0, "rank" => self.rank, "root_rank" => self.root_rank,
                "tenant" => self.tenant_name(), "short" => short);
        }
    }

    /// The outcome of the request without a success.
    pub(super) fn without_success(&self, reason: EndReason) -> RequestOutcome {
        let may_have_run = self.may_have_run.load(Ordering::Relaxed);
        RequestOutcome::without_success(reason, may_have_run, || self.refused_part())
    }

    /// The outcome of a request that has not run for want of capacity.
    pub(super) fn not_run(&self) -> RequestOutcome {
        RequestOutcome::NotRun {
            refused_part: self.refused_part(),
        }
    }

    fn refused_part(&self) -> f64 {
        let now = self.shared.clock.now();
        let routing = self.shared.routing();
        routing.early_refusal.refused_part(now, self.class)
    }
}

/// Rank and class of a request on a route, which its tenant's rank has a part in.
fn rank_and_class(route: &ActiveRoute, from: Option<&TenantRequest>) -> (u32, RequestClass) {
    match from.map(|from| &from.tenant) {
        Some(tenant) => (
            tenant.rank_on(route.route.rank),
            tenant.class_on(route.number),
        ),
        None => (route.route.rank, RequestClass(route.number)),
    }
}

/// Rank of the tree that a request belongs to: its own at the root, that of the request which the
/// local endpoint most likely made it for otherwise.
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

/// Part of a request, 0 to 1, that counts as a retry because the run that makes it was itself retried; nothing of one
/// that no endpoint makes.
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
