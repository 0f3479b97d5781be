//! One attempt of a caller request: builds the handover, sends it and records the result.
//!
//! `hand_over` sends the request to the daemon beside the endpoint. That daemon's report updates the directory, the
//! bound on retries and the likely nested classes under one lock.

use crate::http::exchange::Outgoing;
use crate::in_progress::Stage;
use crate::inbound::dispatch::{AttemptOutcome, DispatchOutcome, id_text};
use crate::outbound::attempts::Attempts;
use crate::outbound::caller_request::CallerRequest;
use crate::outbound::hand_over::{HandedOver, HandoverRequest, PendingAnswer, hand_over};
use crate::outbound::open_attempt::OpenAttempt;
use crate::outbound::statements::record_statements;
use crate::wire::{AnswerReport, Handover};
use bramblewheel_decisions::attempt_result::AttemptResult;
use bramblewheel_decisions::directory::{AttemptEnd, Choice};
use bramblewheel_process::invariants::lock;
use bramblewheel_types::Timestamp;
use http::HeaderValue;
use std::sync::atomic::Ordering;

/// How an attempt ended for its request.
pub(super) enum AttemptedResult {
    /// It ended.
    Ended(DispatchOutcome),
    /// The daemon beside the endpoint counts as silent; the attempt stays open.
    Silent(PendingAnswer),
}

impl CallerRequest<'_> {
    /// Hands the request over to the daemon beside the chosen endpoint, bounded by the attempt's deadline.
    pub(super) async fn attempt(
        &self,
        choice: &Choice,
        handover: Handover,
        outgoing: Outgoing,
    ) -> AttemptedResult {
        let route = &self.route.route;
        let started_at = self.shared.clock.now();
        let mut open = OpenAttempt {
            shared: self.shared,
            endpoint: &choice.endpoint,
            route: &route.name,
            started_at,
            has_ended: false,
        };
        let earlier_runs = self.possible_runs.fetch_add(1, Ordering::Relaxed);
        let further_charge = (earlier_runs > 0)
            .then(|| self.charge_further_run())
            .flatten();
        let request = HandoverRequest {
            choice,
            deadline: self.attempt_deadline(),
            handover,
            is_repeatable: route.is_repeatable && outgoing.body.is_whole(),
            outgoing,
        };
        let handed_over = hand_over(self.shared, request, &self.progress).await;
        self.progress.set_stage(Stage::Waiting);
        open.has_ended = true;
        match handed_over {
            HandedOver::Ended(AttemptOutcome { dispatched, report }) => {
                if dispatched.result().is_proved_not_run() {
                    self.possible_runs.fetch_sub(1, Ordering::Relaxed);
                    self.refund(further_charge);
                }
                let (result, has_failed) = (dispatched.result(), dispatched.has_failed());
                self.record_result(choice, started_at, result, has_failed, report);
                AttemptedResult::Ended(dispatched)
            }
            HandedOver::Silent(answer) => {
                let (result, report) = (AttemptResult::Silent, AnswerReport::default());
                self.record_result(choice, started_at, result, false, report);
                AttemptedResult::Silent(answer)
            }
        }
    }

    fn record_result(
        &self,
        choice: &Choice,
        started_at: Timestamp,
        result: AttemptResult,
        has_failed: bool,
        report: AnswerReport,
    ) {
        self.shared.metrics.attempt(result);
        let time = self.shared.clock.since(started_at);
        let end = result.attempt_end(has_failed, time);
        self.record_report(choice, started_at, end, &report);
        *lock(&self.last_report) = report;
    }

    /// Builds the handover of an attempt that starts now.
    pub(super) fn handover(&self, choice: &Choice, attempts: &Attempts) -> Handover {
        let route = &self.route.route;
        let remaining = self.shared.clock.remaining_until(self.attempt_deadline());
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
            tree_tenant: self.tree_tenant.clone(),
            content: Some(self.content),
            retried_share: attempts.counts.retried_share(self.retried_share),
            known_limit: choice.known_limit,
        }
    }

    /// Records how an attempt ended and what the daemon beside the endpoint reported.
    fn record_report(
        &self,
        choice: &Choice,
        started_at: Timestamp,
        end: AttemptEnd,
        report: &AnswerReport,
    ) {
        let route = &self.route.route.name;
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let directory = &mut routing.directory;
        // Before the time of the attempt, which is compared to the stated work time.
        if let Some(stated) = report.stated_load {
            directory.record_stated_load(now, &choice.endpoint, stated);
        }
        directory.record_end(now, &choice.endpoint, route, end, report.load);
        if report.load.is_some() {
            let used = f64::from(report.bound_used_percent) / 100.0;
            let bound = &mut routing.retry_bound;
            bound.record_used_downstream(now, self.class, self.is_likely_nested, used);
        }
        let is_new = routing.record_nested(self.class, report);
        let change = record_statements(
            &mut routing.directory,
            now,
            &choice.endpoint,
            started_at,
            report,
        );
        drop(routing);
        self.log_statements(&choice.endpoint, &choice.daemon, change);
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
