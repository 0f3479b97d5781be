//! Runs the attempts of a caller request in sequence until one succeeds or no further attempt is allowed.
//!
//! The directory chooses the endpoint, [`attempt`](CallerRequest::attempt) runs each attempt, and
//! [`after_failure`](CallerRequest::after_failure) decides what follows an unsuccessful one.

use crate::http::exchange::{Answer, Outgoing};
use crate::inbound::dispatch::{DispatchOutcome, id_text, is_quarantined};
use crate::outbound::attempt::AttemptedResult;
use crate::outbound::caller_request::CallerRequest;
use crate::outbound::outcome::{EndReason, RequestOutcome};
use crate::outbound::silent_attempts::{First, SilentAttempts};
use bramblewheel_decisions::attempt_result::AttemptResult;
use bramblewheel_decisions::directory::Choice;
use bramblewheel_decisions::exemption::is_exempt_from_refusal;
use bramblewheel_decisions::retry::{AfterFailure, AttemptCounts};
use bramblewheel_decisions::retry_budget::FirstSend;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::{EndpointId, Millis, ServiceName, Timestamp};
use rand::RngExt;
use std::time::Duration;

/// State of the attempts of one caller request.
#[derive(Default)]
pub(super) struct Attempts {
    /// Endpoints chosen so far, without duplicates.
    tried: Vec<EndpointId>,
    /// Endpoints that have rejected the request, without duplicates.
    rejected_by: Vec<EndpointId>,
    /// Unsuccessful attempts.
    pub(super) counts: AttemptCounts,
    /// Time spent waiting at daemons that had no free slot in the end.
    pub(super) waited: Duration,
    /// Last error answer of an endpoint.
    error: Option<Box<Answer>>,
    /// Attempts at daemons that count as silent.
    silent: SilentAttempts,
}

impl Attempts {
    fn record_chosen(&mut self, endpoint: &EndpointId) {
        if !self.tried.contains(endpoint) {
            self.tried.push(endpoint.clone());
        }
    }

    fn record_rejected(&mut self, endpoint: &EndpointId) {
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
        if !self.admit_first_send(&service) {
            return self.not_run();
        }
        let mut attempts = Attempts::default();
        loop {
            let Some(choice) = self.choose(&service, &attempts) else {
                self.log_no_endpoint(&service, &attempts);
                return self.without_further_attempt(attempts).await;
            };
            attempts.record_chosen(&choice.endpoint);
            let started_at = self.shared.clock.now();
            let handover = self.handover(&choice, &attempts);
            let attempt = self.attempt(&choice, handover, outgoing.for_attempt());
            let first = self.first_of(attempt, &mut attempts.silent, &mut attempts.error);
            let attempted = match first.await {
                First::SilentDaemon(answer) => return RequestOutcome::Answered(answer),
                First::Attempt(attempted) => attempted,
            };
            let (result, has_failed) = match attempted {
                AttemptedResult::Ended(dispatched) => {
                    let (result, has_failed) = (dispatched.result(), dispatched.has_failed());
                    if let DispatchOutcome::Answered(answer) = dispatched {
                        if !has_failed {
                            return RequestOutcome::Answered(answer);
                        }
                        attempts.error = Some(answer);
                    }
                    (result, has_failed)
                }
                AttemptedResult::Silent(answer) => {
                    attempts
                        .silent
                        .add(&choice, started_at, self.shared.clock.now(), answer);
                    (AttemptResult::Silent, false)
                }
            };
            self.record_refusal(result, &choice, &service, started_at, &mut attempts);
            if result == AttemptResult::Quarantined && !self.may_have_run() {
                return RequestOutcome::Quarantined;
            }
            attempts.counts.record(result);
            let decision = self.after_failure(&service, result, attempts.counts, outgoing);
            let result_label = if has_failed {
                "failed"
            } else {
                result.as_str()
            };
            self.log_failure(&service, &choice, result_label, &attempts, decision);
            if !decision.is_attempted_again() {
                return self.without_further_attempt(attempts).await;
            }
        }
    }

    /// Outcome once no further attempt is made: the last error answer, or what the daemons that count as silent still
    /// answer.
    async fn without_further_attempt(&self, attempts: Attempts) -> RequestOutcome {
        if attempts.error.is_some() {
            return self.without_success(EndReason::GaveUp(attempts.error));
        }
        match self.wait_for_silent(attempts.silent).await {
            Some(answer) => RequestOutcome::Answered(answer),
            None => self.without_success(EndReason::GaveUp(None)),
        }
    }

    /// Outcome of a request that is refused before anything is sent; `None` if it is not refused.
    fn refused_before_attempts(&self) -> Option<RequestOutcome> {
        if is_quarantined(self.shared, &self.id, Some(self.content)) {
            return Some(RequestOutcome::Quarantined);
        }
        if self.is_out_of_time() {
            return Some(self.not_run());
        }
        if self.is_refused_by_stop() {
            return Some(RequestOutcome::Stopping);
        }
        self.is_refused_early().then(|| self.not_run())
    }

    /// Whether the time of the request passed before anything was sent, for example while this process was suspended.
    fn is_out_of_time(&self) -> bool {
        let left = self.shared.clock.remaining_until(self.run_deadline);
        if !left.is_zero() {
            return false;
        }
        slog::info!(self.shared.log, "request refused"; "id" => id_text(&self.id),
            "reason" => "its time is over");
        true
    }

    /// Records a rejection by the endpoint or a lack of slots at the daemon beside it.
    fn record_refusal(
        &self,
        result: AttemptResult,
        choice: &Choice,
        service: &ServiceName,
        started_at: Timestamp,
        attempts: &mut Attempts,
    ) {
        if result == AttemptResult::Rejected {
            attempts.record_rejected(&choice.endpoint);
        }
        // A call without a token at any endpoint fails the request that made it.
        let is_call_without_token = result == AttemptResult::RateLimited && self.is_likely_nested;
        if result == AttemptResult::Full || is_call_without_token {
            *lock(&self.full_service) = Some(service.clone());
        }
        if result == AttemptResult::Full {
            attempts.waited += self.shared.clock.since(started_at);
        }
    }

    /// Logs that there is no endpoint to send the request to, with the part of the service's requests that is not sent
    /// because of rate limits.
    fn log_no_endpoint(&self, service: &ServiceName, attempts: &Attempts) {
        let now = self.shared.clock.now();
        let over_limits = self
            .shared
            .routing()
            .directory
            .part_over_limits(now, service);
        slog::info!(self.shared.log, "no endpoint"; "id" => id_text(&self.id),
            "service" => %service, "tried" => attempts.tried.len(),
            "over_limits" => format_args!("{over_limits:.2}"), "table" => self.table.0);
    }

    fn log_failure(
        &self,
        service: &ServiceName,
        choice: &Choice,
        result: &'static str,
        attempts: &Attempts,
        decision: AfterFailure,
    ) {
        slog::info!(self.shared.log, "attempt failed"; "id" => id_text(&self.id),
            "service" => %service, "endpoint" => %choice.endpoint, "result" => result,
            "attempt" => attempts.tried.len(), "again" => decision.is_attempted_again(),
            "reason" => decision.as_str(), "content" => %self.content,
            "caller" => self.caller_service().as_ref().map_or("", id_text),
            "left_ms" => Millis::of(self.shared.clock.remaining_until(self.deadline)).0);
    }

    /// Whether the bound on retries allows the first send. It may forbid it for a call made by a run that was itself
    /// retried.
    fn admit_first_send(&self, service: &ServiceName) -> bool {
        let now = self.shared.clock.now();
        let send = FirstSend {
            is_likely_nested: self.is_likely_nested,
            retried_share: self.retried_share,
        };
        let mut routing = self.shared.routing();
        let random_value = routing.random.random_range(0.0..1.0);
        if routing
            .retry_bound
            .admit_first_send(now, service, send, random_value)
        {
            return true;
        }
        drop(routing);
        self.shared.metrics.refused_call(service);
        slog::info!(self.shared.log, "call of a repeated run refused"; "id" => id_text(&self.id),
            "service" => %service, "repeated" => format_args!("{:.2}", self.retried_share));
        false
    }

    /// Chooses the endpoint of the next attempt: a further one while the route allows it, otherwise one that has
    /// rejected the request. `None` if no endpoint is available.
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
        let directory = &mut routing.directory;
        let is_exempt = is_exempt_from_refusal(self.rank, self.is_likely_nested);
        let mut excluded = directory.paused_by_limits(now, service, is_exempt, random);
        if excluded.is_empty() {
            return directory.choose(now, service, route, tried, random);
        }
        excluded.extend_from_slice(tried);
        directory.choose(now, service, route, &excluded, random)
    }

    fn choose_again(&self, rejected_by: &[EndpointId]) -> Option<Choice> {
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let routing = &mut *routing;
        let index = routing.random.random_range(0..rejected_by.len());
        let route = &self.route.route.name;
        let directory = &mut routing.directory;
        directory.choose_endpoint(now, &rejected_by[index], route)
    }
}
