//! One request of a caller: its attempts, until one answers or no other is allowed.

use crate::http::exchange::{Answer, Outgoing, OutgoingBody};
use crate::http::fields;
use crate::in_progress::Progress;
use crate::inbound::dispatch::{Dispatched, is_quarantined, text};
use crate::outbound::access::TenantRequest;
use crate::outbound::ending::Final;
use crate::outbound::retry::Counts;
use crate::shared::Shared;
use crate::wire::{AnswerReport, AttemptResult, Handover};
use bramblewheel_decisions::directory::Choice;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::retry_budget::FirstSend;
use bramblewheel_decisions::table::{ActiveRoute, Route};
use bramblewheel_process::invariants::lock;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::{EndpointId, Millis, ServiceName, Timestamp};
use http::HeaderValue;
use http::request::Parts;
use rand::RngExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A request of a caller that is let in.
pub(super) struct CallerRequest {
    pub(super) id: HeaderValue,
    /// What it has in common with its other tries.
    pub(super) content: ContentDigest,
    pub(super) route: Arc<ActiveRoute>,
    /// Version of the table that the route stands in.
    pub(super) table: TableVersion,
    /// Whom it comes from; none without a key.
    pub(super) from: Option<TenantRequest>,
    /// Whether the table shows that an endpoint makes it.
    pub(super) is_call_by_table: bool,
    pub(super) arrived: Timestamp,
    /// Time that its caller waits, if it says.
    pub(super) remaining: Option<Duration>,
    /// How far it is.
    pub(super) progress: Arc<Progress>,
}

/// One request of a caller.
pub(super) struct Call<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) id: HeaderValue,
    pub(super) content: ContentDigest,
    pub(super) route: Arc<ActiveRoute>,
    table: TableVersion,
    pub(super) from: Option<TenantRequest>,
    /// Rank of the request: that of its tenant first, then that of its route.
    pub(super) rank: u32,
    /// Number that stands for the requests of its route and its tenant's rank.
    pub(super) class: RequestClass,
    arrived: Timestamp,
    /// Whether the local endpoint makes it for a request that it runs.
    pub(super) is_likely_nested: bool,
    /// Rank of the request at the root of its tree, as far as that is known.
    pub(super) root_rank: u32,
    /// Part to which the run that makes it is repeated, as far as that is known.
    pub(super) retried_share: f64,
    /// What the daemon beside the last endpoint told.
    pub(super) last_report: Mutex<AnswerReport>,
    /// Whether the request may have run; outlives the attempts, which the time may cut off.
    pub(super) may_have_run: AtomicBool,
    /// Its service, if an endpoint's daemon had no room for it.
    pub(super) full_service: Mutex<Option<ServiceName>>,
    is_over: AtomicBool,
    pub(super) progress: Arc<Progress>,
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if !self.is_over.load(Ordering::Relaxed) {
            self.shared.metrics.cancelled.inc();
            slog::info!(self.shared.log, "caller went away"; "id" => text(&self.id),
                "route" => &self.route.route.name,
                "after_ms" => Millis::of(self.shared.clock.since(self.arrived)).0);
        }
    }
}

impl<'a> Call<'a> {
    pub(super) fn new(shared: &'a Arc<Shared>, request: CallerRequest) -> Self {
        let CallerRequest {
            id,
            content,
            route,
            table,
            from,
            is_call_by_table,
            arrived,
            remaining,
            progress,
        } = request;
        let tenant = from.as_ref().map(|from| &from.tenant);
        let (rank, class) = match tenant {
            Some(tenant) => (
                tenant.rank_on(route.route.rank),
                tenant.class_on(route.number),
            ),
            None => (route.route.rank, RequestClass(route.number)),
        };
        let is_likely_nested =
            is_call_by_table || shared.routing().reported_nested.contains(&class);
        if is_likely_nested {
            progress.note_call();
        }
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

    /// Runs the call; its answer comes at the end of its time at the latest.
    pub(super) async fn run(
        self,
        head: Parts,
        body: OutgoingBody,
        remaining: Option<Duration>,
    ) -> Final {
        let route = &self.route.route;
        let allowed = remaining.unwrap_or(route.timeout).min(route.timeout);
        let deadline = self.arrived + allowed;
        let mut outgoing = self.outgoing(head, body);
        let attempts = self.attempts(&mut outgoing, deadline);
        let (clock, stop) = (self.shared.clock, &self.shared.stop);
        let ended = tokio::select! {
            biased;
            ended = clock.timeout_at(deadline, attempts) => match ended {
                Ok(ended) => ended,
                Err(_) if self.may_have_run.load(Ordering::Relaxed) => Final::TimedOut,
                Err(_) => self.not_run(),
            },
            // An answer that promises nothing is worth more to a caller than a closed connection.
            () = stop.answers_due(clock) => match self.may_have_run.load(Ordering::Relaxed) {
                true => Final::OutlastsStop,
                false => Final::Stopping,
            },
        };
        self.note_capacity(&ended);
        self.settle_quota(&ended);
        self.finish(&ended);
        ended
    }

    /// Only what may have run uses up the quota.
    fn settle_quota(&self, ended: &Final) {
        let charge = self.from.as_ref().and_then(|from| from.charge);
        if let (true, Some(charge)) = (ended.has_not_run(), charge) {
            self.shared.tenant_access().quotas.refund(charge);
        }
    }

    fn tenant_name(&self) -> &str {
        let from = self.from.as_ref();
        from.map_or("", |from| from.tenant.name.as_str())
    }

    fn outgoing(&self, head: Parts, body: OutgoingBody) -> Outgoing {
        let mut headers = head.headers;
        fields::keep_end_to_end(&mut headers);
        Handover::strip(&mut headers);
        self.shared.settings.dialect.strip(&mut headers);
        Outgoing {
            method: head.method,
            target: head.uri,
            headers,
            body,
        }
    }

    fn finish(&self, ended: &Final) {
        self.is_over.store(true, Ordering::Relaxed);
        let route = &self.route.route;
        let time = self.shared.clock.since(self.arrived);
        let outcome = ended.as_str();
        self.shared.metrics.request(&route.name, outcome, time);
        if outcome != "completed" {
            let told = lock(&self.last_report);
            let short = told
                .short_downstream
                .as_ref()
                .map_or("", ServiceName::as_str);
            slog::info!(self.shared.log, "request ended"; "id" => text(&self.id),
                "route" => &route.name, "table" => self.table.0, "outcome" => outcome,
                "content" => %self.content,
                "after_ms" => Millis::of(time).0, "rank" => self.rank, "root_rank" => self.root_rank,
                "tenant" => self.tenant_name(), "short" => short);
        }
    }

    async fn attempts(&self, outgoing: &mut Outgoing, deadline: Timestamp) -> Final {
        if is_quarantined(self.shared, &self.id, Some(self.content)) {
            return Final::Quarantined;
        }
        if self.is_refused_by_stop(deadline) {
            return Final::Stopping;
        }
        if self.is_refused_early() {
            return self.not_run();
        }
        let service = self.route.next_target().clone();
        if !self.may_begin(&service) {
            return self.not_run();
        }
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut rejected_by: Vec<EndpointId> = Vec::new();
        let mut counts = Counts::default();
        let mut failed = None;
        loop {
            let chosen =
                if counts.arrivals >= self.route.route.max_attempts && !rejected_by.is_empty() {
                    self.choose_again(&rejected_by)
                } else {
                    self.choose(&service, &tried)
                };
            let Some(choice) = chosen else {
                slog::info!(self.shared.log, "no endpoint"; "id" => text(&self.id),
                    "service" => %service, "tried" => tried.len(), "table" => self.table.0);
                return self.without_success(failed);
            };
            if !tried.contains(&choice.endpoint) {
                tried.push(choice.endpoint.clone());
            }
            let begun = self.shared.clock.now();
            let sent = self.send(&choice, outgoing, deadline, &counts);
            let dispatched = sent.await;
            let result = dispatched.result();
            if result == AttemptResult::Rejected && !rejected_by.contains(&choice.endpoint) {
                rejected_by.push(choice.endpoint.clone());
            }
            if result == AttemptResult::Full {
                *lock(&self.full_service) = Some(service.clone());
                counts.waited += self.shared.clock.since(begun);
            }
            if result == AttemptResult::Quarantined && !self.may_have_run.load(Ordering::Relaxed) {
                return Final::Quarantined;
            }
            let has_failed = dispatched.has_failed();
            if let Dispatched::Answered(answer) = dispatched {
                if !has_failed {
                    return Final::Answered(answer);
                }
                failed = Some(answer);
            }
            let may_go_on = !self.is_too_late_to_send()
                && self.may_try_again(&service, result, outgoing, &mut counts, deadline);
            slog::info!(self.shared.log, "attempt failed"; "id" => text(&self.id),
                "service" => %service, "endpoint" => %choice.endpoint,
                "result" => if has_failed { "failed" } else { result.as_str() },
                "attempt" => tried.len(), "again" => may_go_on, "content" => %self.content,
                "left_ms" => Millis::of(self.shared.clock.left_until(deadline)).0);
            if !may_go_on {
                return self.without_success(failed);
            }
        }
    }

    /// The end of a call without a success: the endpoint's error, if one came.
    fn without_success(&self, failed: Option<Box<Answer>>) -> Final {
        if let Some(answer) = failed {
            return Final::Answered(answer);
        }
        if self.may_have_run.load(Ordering::Relaxed) {
            Final::Unknown
        } else {
            self.not_run()
        }
    }

    fn not_run(&self) -> Final {
        let now = self.shared.clock.now();
        let routing = self.shared.routing();
        let refused_part = routing.early_refusal.refused_part(now, self.class);
        Final::NotRun { refused_part }
    }

    /// Whether the bound on repeats lets the request be sent at all: not always where a run makes it that is
    /// itself repeated.
    fn may_begin(&self, service: &ServiceName) -> bool {
        let now = self.shared.clock.now();
        let send = FirstSend {
            is_likely_nested: self.is_likely_nested,
            retried_share: self.retried_share,
        };
        let mut routing = self.shared.routing();
        let drawn = routing.random.random_range(0.0..1.0);
        if routing.retry_bound.may_begin(now, service, send, drawn) {
            return true;
        }
        drop(routing);
        self.shared.metrics.refused_call(service);
        slog::info!(self.shared.log, "call of a repeated run refused"; "id" => text(&self.id),
            "service" => %service, "repeated" => format_args!("{:.2}", self.retried_share));
        false
    }

    fn choose(&self, service: &ServiceName, tried: &[EndpointId]) -> Option<Choice> {
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let routing = &mut *routing;
        let random = &mut routing.random;
        let route = &self.route.route.name;
        routing.directory.choose(now, service, route, tried, random)
    }

    /// One of the endpoints that have rejected the request.
    fn choose_again(&self, rejected_by: &[EndpointId]) -> Option<Choice> {
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let routing = &mut *routing;
        let number = routing.random.random_range(0..rejected_by.len());
        let route = &self.route.route.name;
        routing
            .directory
            .choose_this(now, &rejected_by[number], route)
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

/// Part to which the run that makes a request is repeated; nothing of one that no endpoint makes.
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
