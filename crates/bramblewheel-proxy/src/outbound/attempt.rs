//! One attempt of a caller request: what is handed over with it, and what its end says.
//!
//! Relies on `hand_over` for the way to the daemon beside the endpoint. What that daemon reports goes to the directory,
//! the bound on retries and the likely nested classes, all under one lock.

use crate::http::exchange::Outgoing;
use crate::in_progress::Stage;
use crate::inbound::dispatch::{Attempted, Dispatched, text};
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
    /// Hands the request to the daemon beside the chosen endpoint, by the request's deadline at the latest.
    pub(super) async fn attempt(
        &self,
        choice: &Choice,
        outgoing: &mut Outgoing,
        attempts: &Attempts,
    ) -> Dispatched {
        let route = &self.route.route;
        let begun = self.shared.clock.now();
        let deadline = self.attempt_deadline();
        let handover = self.handover(choice, begun, deadline, attempts);
        let mut open = OpenAttempt {
            shared: self.shared,
            endpoint: &choice.endpoint,
            route: &route.name,
            begun,
            is_over: false,
        };
        let had_may_run = self.may_have_run.swap(true, Ordering::Relaxed);
        let is_repeatable = route.is_repeatable && outgoing.body.is_whole();
        let attempting = hand_over(
            self.shared,
            choice,
            &handover,
            deadline,
            is_repeatable,
            outgoing,
            &self.progress,
        );
        let attempted = attempting.await;
        self.progress.enters(Stage::Waiting);
        let Attempted { dispatched, report } = attempted;
        open.is_over = true;
        let result = dispatched.result();
        if !had_may_run && result.is_proved_not_run() {
            self.may_have_run.store(false, Ordering::Relaxed);
        }
        self.shared.metrics.attempt(result);
        let time = self.shared.clock.since(begun);
        let end = result.attempt_end(dispatched.has_failed(), time);
        self.note_report(choice, end, &report);
        *lock(&self.last_report) = report;
        dispatched
    }

    /// What is handed over with an attempt that begins now.
    fn handover(
        &self,
        choice: &Choice,
        begun: Timestamp,
        deadline: Timestamp,
        attempts: &Attempts,
    ) -> Handover {
        let route = &self.route.route;
        let remaining = deadline.since(begun);
        let longest_wait = self.longest_wait_now(route.objective, remaining);
        Handover {
            endpoint: choice.endpoint.clone(),
            rank: self.rank,
            root_rank: self.root_rank,
            class: self.class,
            objective: route.objective.min(route.timeout),
            remaining,
            wait: longest_wait.saturating_sub(attempts.waited),
            caller: self.caller(),
            is_likely_nested: self.is_likely_nested,
            tenant: self.from.as_ref().map(|from| from.tenant.header.clone()),
            content: Some(self.content),
            retried_share: attempts.counts.retried_share(self.retried_share),
        }
    }

    /// Notes how an attempt ended and what the daemon beside the endpoint reported.
    fn note_report(&self, choice: &Choice, end: AttemptEnd, report: &AnswerReport) {
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
        let is_new = routing.note_nested(self.class, report);
        drop(routing);
        if is_new {
            slog::info!(self.shared.log, "callers of route"; "route" => route,
                "is_nested" => report.is_likely_nested, "told_by" => %choice.daemon, "last" => text(&self.id));
        }
    }

    /// Name of the service on this machine, which the request comes from: the settings say it. A heartbeat may be delayed
    /// or sent by another program, so that it never names the caller.
    pub(super) fn caller(&self) -> Option<HeaderValue> {
        let identity = self.shared.local.identity();
        let service = identity.service.as_ref()?;
        let name = HeaderValue::try_from(service.as_str());
        Some(name.expect("names consist of visible ASCII"))
    }
}
