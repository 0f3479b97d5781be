//! The attempts of a caller request, one after the other, until one succeeds or no other is allowed.
//!
//! Owns what is known of the attempts of one request. Relies on the directory for the choice of an endpoint, on
//! [`attempt`](CallerRequest::attempt) for each attempt and on [`after_failure`](CallerRequest::after_failure) for what
//! becomes of the request after one without a success.

use crate::http::exchange::{Answer, Outgoing};
use crate::inbound::dispatch::{Dispatched, is_quarantined, text};
use crate::outbound::caller_request::CallerRequest;
use crate::outbound::outcome::{EndReason, RequestOutcome};
use bramblewheel_decisions::attempt_result::AttemptResult;
use bramblewheel_decisions::directory::Choice;
use bramblewheel_decisions::retry::{AfterFailure, AttemptCounts};
use bramblewheel_decisions::retry_budget::FirstSend;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::{EndpointId, Millis, ServiceName, Timestamp};
use rand::RngExt;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Attempts of one caller request so far.
#[derive(Default)]
pub(super) struct Attempts {
    /// Endpoints that were chosen, each once.
    tried: Vec<EndpointId>,
    /// Those that have rejected the request, each once.
    rejected_by: Vec<EndpointId>,
    /// Attempts without a success.
    pub(super) counts: AttemptCounts,
    /// Time that it has waited at endpoints' daemons that had no slot in the end.
    pub(super) waited: Duration,
    /// The last error with which an endpoint answered.
    error: Option<Box<Answer>>,
}

impl Attempts {
    fn note_chosen(&mut self, endpoint: &EndpointId) {
        if !self.tried.contains(endpoint) {
            self.tried.push(endpoint.clone());
        }
    }

    fn note_rejected(&mut self, endpoint: &EndpointId) {
        if !self.rejected_by.contains(endpoint) {
            self.rejected_by.push(endpoint.clone());
        }
    }
}

impl CallerRequest<'_> {
    /// Attempts the request until one attempt succeeds or no other is allowed.
    pub(super) async fn run_attempts(&self, outgoing: &mut Outgoing) -> RequestOutcome {
        if let Some(refused) = self.refused_before_attempts() {
            return refused;
        }
        let service = self.route.next_target().clone();
        if !self.may_begin(&service) {
            return self.not_run();
        }
        let mut attempts = Attempts::default();
        loop {
            let Some(choice) = self.choose(&service, &attempts) else {
                slog::info!(self.shared.log, "no endpoint"; "id" => text(&self.id),
                    "service" => %service, "tried" => attempts.tried.len(), "table" => self.table.0);
                return self.without_success(EndReason::GaveUp(attempts.error));
            };
            attempts.note_chosen(&choice.endpoint);
            let begun = self.shared.clock.now();
            let attempting = self.attempt(&choice, outgoing, &attempts);
            let dispatched = attempting.await;
            let result = dispatched.result();
            self.note_refusal(result, &choice, &service, begun, &mut attempts);
            if result == AttemptResult::Quarantined && !self.may_have_run.load(Ordering::Relaxed) {
                return RequestOutcome::Quarantined;
            }
            let has_failed = dispatched.has_failed();
            if let Dispatched::Answered(answer) = dispatched {
                if !has_failed {
                    return RequestOutcome::Answered(answer);
                }
                attempts.error = Some(answer);
            }
            attempts.counts.record(result);
            let decision = self.after_failure(&service, result, attempts.counts, outgoing);
            let named_result = if has_failed {
                "failed"
            } else {
                result.as_str()
            };
            self.log_failure(&service, &choice, named_result, &attempts, decision);
            if !decision.is_attempted_again() {
                return self.without_success(EndReason::GaveUp(attempts.error));
            }
        }
    }

    /// The outcome of a request that is refused before anything is sent, if it is.
    fn refused_before_attempts(&self) -> Option<RequestOutcome> {
        if is_quarantined(self.shared, &self.id, Some(self.content)) {
            return Some(RequestOutcome::Quarantined);
        }
        if self.is_refused_by_stop() {
            return Some(RequestOutcome::Stopping);
        }
        self.is_refused_early().then(|| self.not_run())
    }

    /// Notes a refusal by the endpoint or by the daemon beside it.
    fn note_refusal(
        &self,
        result: AttemptResult,
        choice: &Choice,
        service: &ServiceName,
        begun: Timestamp,
        attempts: &mut Attempts,
    ) {
        if result == AttemptResult::Rejected {
            attempts.note_rejected(&choice.endpoint);
        }
        if result == AttemptResult::Full {
            *lock(&self.full_service) = Some(service.clone());
            attempts.waited += self.shared.clock.since(begun);
        }
    }

    fn log_failure(
        &self,
        service: &ServiceName,
        choice: &Choice,
        result: &'static str,
        attempts: &Attempts,
        decision: AfterFailure,
    ) {
        slog::info!(self.shared.log, "attempt failed"; "id" => text(&self.id),
            "service" => %service, "endpoint" => %choice.endpoint, "result" => result,
            "attempt" => attempts.tried.len(), "again" => decision.is_attempted_again(),
            "reason" => decision.as_str(), "content" => %self.content,
            "caller" => self.caller().as_ref().map_or("", text),
            "left_ms" => Millis::of(self.shared.clock.remaining_until(self.deadline)).0);
    }

    /// Whether the bound on retries lets the request be sent at all: not always where a run makes it that was itself
    /// retried.
    fn may_begin(&self, service: &ServiceName) -> bool {
        let now = self.shared.clock.now();
        let send = FirstSend {
            is_likely_nested: self.is_likely_nested,
            retried_share: self.retried_share,
        };
        let mut routing = self.shared.routing();
        let drawn = routing.random.random_range(0.0..1.0);
        if routing
            .retry_bound
            .admit_first_send(now, service, send, drawn)
        {
            return true;
        }
        drop(routing);
        self.shared.metrics.refused_call(service);
        slog::info!(self.shared.log, "call of a repeated run refused"; "id" => text(&self.id),
            "service" => %service, "repeated" => format_args!("{:.2}", self.retried_share));
        false
    }

    /// The endpoint of the next attempt: a further one while the route allows one, else one that has rejected the
    /// request; none if there is none.
    fn choose(&self, service: &ServiceName, attempts: &Attempts) -> Option<Choice> {
        let max_attempts = self.route.route.max_attempts;
        let may_use_further = attempts.counts.may_use_further_endpoint(max_attempts);
        if may_use_further || attempts.rejected_by.is_empty() {
            self.choose_further(service, &attempts.tried)
        } else {
            self.choose_again(&attempts.rejected_by)
        }
    }

    fn choose_further(&self, service: &ServiceName, tried: &[EndpointId]) -> Option<Choice> {
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let routing = &mut *routing;
        let random = &mut routing.random;
        let route = &self.route.route.name;
        routing.directory.choose(now, service, route, tried, random)
    }

    fn choose_again(&self, rejected_by: &[EndpointId]) -> Option<Choice> {
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let routing = &mut *routing;
        let number = routing.random.random_range(0..rejected_by.len());
        let route = &self.route.route.name;
        let directory = &mut routing.directory;
        directory.choose_endpoint(now, &rejected_by[number], route)
    }
}
