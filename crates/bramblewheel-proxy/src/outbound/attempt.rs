//! One attempt of a caller request: builds the handover, sends it and records the result.
//!
//! `hand_over` sends the request to the daemon beside the endpoint. That daemon's report updates the directory, the
//! bound on retries and the likely nested classes under one lock.

use crate::http::exchange::Outgoing;
use crate::in_progress::Stage;
use crate::inbound::dispatch::{AttemptOutcome, DispatchOutcome, id_text};
use crate::outbound::attempts::Attempts;
use crate::outbound::caller_request::CallerRequest;
use crate::outbound::hand_over::hand_over;
use crate::outbound::open_attempt::OpenAttempt;
use crate::wire::{AnswerReport, Handover};
use bramblewheel_decisions::directory::{AttemptEnd, Choice};
use bramblewheel_process::invariants::lock;
use bramblewheel_types::Timestamp;
use http::HeaderValue;
use std::sync::atomic::Ordering;

impl CallerRequest<'_> {
    /// Hands the request over to the daemon beside the chosen endpoint, bounded by the attempt's deadline.
    pub(super) async fn attempt(
        &self,
        choice: &Choice,
        outgoing: &mut Outgoing,
        attempts: &Attempts,
    ) -> DispatchOutcome {
        let route = &self.route.route;
        let started_at = self.shared.clock.now();
        let deadline = self.attempt_deadline();
        let handover = self.handover(choice, started_at, deadline, attempts);
        let mut open = OpenAttempt {
            shared: self.shared,
            endpoint: &choice.endpoint,
            route: &route.name,
            started_at,
            has_ended: false,
        };
        let may_have_run_before = self.may_have_run.swap(true, Ordering::Relaxed);
        let is_repeatable = route.is_repeatable && outgoing.body.is_whole();
        let sending = hand_over(
            self.shared,
            choice,
            &handover,
            deadline,
            is_repeatable,
            outgoing,
            &self.progress,
        );
        let attempted = sending.await;
        self.progress.set_stage(Stage::Waiting);
        let AttemptOutcome { dispatched, report } = attempted;
        open.has_ended = true;
        let result = dispatched.result();
        if !may_have_run_before && result.is_proved_not_run() {
            self.may_have_run.store(false, Ordering::Relaxed);
        }
        self.shared.metrics.attempt(result);
        let time = self.shared.clock.since(started_at);
        let end = result.attempt_end(dispatched.has_failed(), time);
        self.record_report(choice, end, &report);
        *lock(&self.last_report) = report;
        dispatched
    }

    /// Builds the handover of an attempt that starts now.
    fn handover(
        &self,
        choice: &Choice,
        started_at: Timestamp,
        deadline: Timestamp,
        attempts: &Attempts,
    ) -> Handover {
        let route = &self.route.route;
        let remaining = deadline.since(started_at);
        let longest_wait = self.longest_wait_now(route.objective, remaining);
        Handover {
            endpoint: choice.endpoint.clone(),
            rank: self.rank,
            root_rank: self.root_rank,
            class: self.class,
            objective: route.objective.min(route.timeout),
            remaining,
            wait: longest_wait.saturating_sub(attempts.waited),
            caller: self.caller_service(),
            is_likely_nested: self.is_likely_nested,
            tenant: self
                .tenant_request
                .as_ref()
                .map(|tenant_request| tenant_request.tenant.header.clone()),
            content: Some(self.content),
            retried_share: attempts.counts.retried_share(self.retried_share),
        }
    }

    /// Records how an attempt ended and what the daemon beside the endpoint reported.
    fn record_report(&self, choice: &Choice, end: AttemptEnd, report: &AnswerReport) {
        let route = &self.route.route.name;
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let directory = &mut routing.directory;
        directory.record_end(now, &choice.endpoint, route, end, report.load);
        if report.load.is_some() {
            let used = f64::from(report.bound_used_percent) / 100.0;
            let bound = &mut routing.retry_bound;
            bound.record_used_downstream(now, self.class, self.is_likely_nested, used);
        }
        let is_new = routing.record_nested(self.class, report);
        drop(routing);
        if is_new {
            slog::info!(self.shared.log, "callers of route"; "route" => route,
                "is_nested" => report.is_likely_nested, "told_by" => %choice.daemon, "last" => id_text(&self.id));
        }
    }

    /// Name of the service on this machine, which is the caller of the request. It is taken from the settings and
    /// never from a heartbeat, which may be delayed or sent by another program.
    pub(super) fn caller_service(&self) -> Option<HeaderValue> {
        let identity = self.shared.local.identity();
        let service = identity.service.as_ref()?;
        let name = HeaderValue::try_from(service.as_str());
        Some(name.expect("names consist of visible ASCII"))
    }
}
