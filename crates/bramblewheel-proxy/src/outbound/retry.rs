//! Decides what follows an unsuccessful attempt.
//!
//! The rule is in [`bramblewheel_decisions::retry`]; this module gathers its inputs from the routing state and the
//! quarantine, and charges the bound on retries if the rule asks for a retry.

use crate::http::exchange::Outgoing;
use crate::inbound::dispatch::id_text;
use crate::outbound::caller_request::CallerRequest;
use bramblewheel_decisions::attempt_result::AttemptResult;
use bramblewheel_decisions::retry::{
    AfterFailure, AttemptCounts, FailedAttempt, GiveUp, RetriedRequest, ServiceState, after_failure,
};
use bramblewheel_decisions::retry_bound::{RetryDecision, RetryReason};
use bramblewheel_process::invariants::lock;
use bramblewheel_types::ServiceName;
use std::time::Duration;

impl CallerRequest<'_> {
    /// Decides what follows an unsuccessful attempt, which `counts` already includes; charges a retry to the bound.
    pub(super) fn after_failure(
        &self,
        service: &ServiceName,
        result: AttemptResult,
        counts: AttemptCounts,
        outgoing: &Outgoing,
    ) -> AfterFailure {
        let is_suspect = self.shared.quarantine().is_watched(self.content);
        let attempt = FailedAttempt {
            result,
            request: self.retried_request(),
            counts,
            is_past_latest_send: self.is_past_latest_send(),
            is_body_kept: outgoing.body.is_whole(),
            time_left: self.shared.clock.remaining_until(self.run_deadline),
            needed_time: self.needed_time(result),
            is_suspect,
            service: self.service_state(service),
        };
        match after_failure(&attempt) {
            AfterFailure::Retry(reason) => self.charge_retry(service, result, reason),
            decided => decided,
        }
    }

    /// Time that the daemon beside the endpoint states as needed, bounded by the route's time-out.
    fn needed_time(&self, result: AttemptResult) -> Duration {
        if result != AttemptResult::OutOfTime {
            return Duration::ZERO;
        }
        let stated = lock(&self.last_report).needed_time;
        stated.min(self.route.route.timeout)
    }

    fn retried_request(&self) -> RetriedRequest {
        let route = &self.route.route;
        RetriedRequest {
            is_repeatable: route.is_repeatable,
            max_attempts: route.max_attempts,
            is_likely_nested: self.is_likely_nested,
            root_rank: self.root_rank,
        }
    }

    fn service_state(&self, service: &ServiceName) -> ServiceState {
        let has_no_capacity_downstream = lock(&self.last_report).full_downstream.is_some();
        let now = self.shared.clock.now();
        let routing = self.shared.routing();
        ServiceState {
            is_widely_refused: routing.early_refusal.is_widespread(now, self.class),
            has_no_capacity_downstream,
            failed_share: routing.directory.failed_share(now, service),
        }
    }

    /// Charges a retry to the bound; gives up if the bound forbids it.
    fn charge_retry(
        &self,
        service: &ServiceName,
        previous_result: AttemptResult,
        reason: RetryReason,
    ) -> AfterFailure {
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let bound = &mut routing.retry_bound;
        let decision = bound.decide_retry(now, service, self.class, reason);
        drop(routing);
        self.record_bound_decision(service, previous_result, &decision);
        match GiveUp::from_bound(&decision) {
            Some(refused) => AfterFailure::GiveUp(refused),
            None => AfterFailure::Retry(reason),
        }
    }

    fn record_bound_decision(
        &self,
        service: &ServiceName,
        previous_result: AttemptResult,
        decision: &RetryDecision,
    ) {
        let metrics = &self.shared.metrics;
        match decision {
            RetryDecision::Allowed => metrics.retry(service, previous_result),
            RetryDecision::UsedDownstream { part } => {
                metrics.over_budget(service, previous_result);
                slog::info!(self.shared.log, "repeat refused"; "id" => id_text(&self.id),
                    "service" => %service, "used_below" => format_args!("{part:.2}"));
            }
            RetryDecision::UsedUp(bound) => {
                metrics.over_budget(service, previous_result);
                slog::info!(self.shared.log, "repeat refused"; "id" => id_text(&self.id),
                    "service" => %service, "used" => format_args!("{:.1}", bound.used()),
                    "calls_of_repeats" => format_args!("{:.1}", bound.calls_of_retried_runs),
                    "allowed" => format_args!("{:.1}", bound.allowed),
                    "root_rank" => self.root_rank);
            }
        }
    }
}
