//! Handles the end of an attempt: the call is answered or another attempt is sent.

use crate::action::{Action, AnswerBody};
use crate::engine::Engine;
use crate::event::AttemptResult;
use crate::feedback::not_run;
use crate::outbound::call::{Call, Evidence, OutstandingAttempt};
use bramblewheel_types::{AttemptId, CallId, NotRunReason, Outcome, Timestamp};
use std::time::Duration;

/// Minimum time before the deadline for another attempt, in addition to the last attempt's duration.
const MIN_TIME_TO_RETRY: Duration = Duration::from_millis(2);
/// Ejection limit for services that are not in the bundle.
const DEFAULT_MAX_EJECTED_PERCENT: u32 = 0;

/// Cost of another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryCost {
    /// No further attempt is allowed.
    Never,
    /// Nothing was run or queued: a reroute is free, up to a limit per call.
    Free,
    /// One retry token.
    Token,
}

impl Engine {
    pub(crate) fn attempt_ended(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        result: AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(id) = self.outbound.attempts.remove(&attempt) else {
            self.metrics.late_events += 1;
            return;
        };
        let Some(mut call) = self.outbound.calls.remove(&id) else {
            return;
        };
        let Some(current) = call.current.take() else {
            return;
        };
        self.record_end(now, &mut call, &current, &result);
        let (outcome, retry) = self.evaluate_attempt(&call, &result);
        if outcome == Outcome::Completed {
            let body = AnswerBody::FromAttempt(attempt);
            return self.end_call(id, call, outcome, body, actions);
        }
        if self.acquire_retry(now, &mut call, &current, retry) {
            call.evidence = call.evidence.max(Evidence::of(outcome));
            return self.send_attempt(now, id, call, actions);
        }
        let body = match outcome {
            Outcome::Failed => AnswerBody::FromAttempt(attempt),
            _ => AnswerBody::None,
        };
        let outcome = match outcome {
            Outcome::NotRun { .. } => call.evidence.outcome_or(outcome),
            ran => ran,
        };
        self.end_call(id, call, outcome, body, actions);
    }

    /// Settles the tokens of an ended attempt and updates the directory.
    fn record_end(
        &mut self,
        now: Timestamp,
        call: &mut Call,
        current: &OutstandingAttempt,
        result: &AttemptResult,
    ) {
        let spent = match result {
            AttemptResult::NotSent => 0,
            AttemptResult::Answered { feedback, .. } => feedback.retry_tokens_spent,
            AttemptResult::Lost => current.lent,
        };
        if let Some(pool) = self.pool_of(call) {
            pool.settle(current.lent, spent);
        }
        if let AttemptResult::Answered { feedback, .. } = result {
            self.directory.record_answer(
                now,
                &current.endpoint,
                current.sent,
                call.route,
                feedback,
            );
            self.record_sub_call_level(now, call);
            return;
        }
        let ceiling = self.max_ejected_percent(call);
        let is_ejected = self
            .directory
            .record_failure(now, &current.endpoint, ceiling);
        self.metrics.ejections += u64::from(is_ejected);
    }

    fn max_ejected_percent(&self, call: &Call) -> u32 {
        self.bundle
            .as_ref()
            .and_then(|bundle| bundle.service(&call.service))
            .map_or(DEFAULT_MAX_EJECTED_PERCENT, |policy| {
                policy.routing.max_ejected_percent
            })
    }

    /// Outcome of this attempt alone and the cost of another.
    fn evaluate_attempt(&mut self, call: &Call, result: &AttemptResult) -> (Outcome, RetryCost) {
        let may_run_again = call.operation.is_none();
        let if_repeatable = if may_run_again {
            RetryCost::Token
        } else {
            RetryCost::Never
        };
        match result {
            AttemptResult::NotSent => {
                let refusal = not_run(NotRunReason::Unreachable, 100, &mut self.random);
                (refusal, RetryCost::Free)
            }
            AttemptResult::Lost => (Outcome::Unknown, if_repeatable),
            AttemptResult::Answered { outcome, feedback } => {
                let retry = match outcome {
                    Outcome::Completed => RetryCost::Never,
                    Outcome::NotRun { reason, .. } => retry_cost_after_refusal(*reason),
                    Outcome::Failed | Outcome::Unknown => if_repeatable,
                };
                let is_free = retry == RetryCost::Free;
                let is_retry_forbidden = feedback.is_final && !is_free;
                (
                    *outcome,
                    if is_retry_forbidden {
                        RetryCost::Never
                    } else {
                        retry
                    },
                )
            }
        }
    }

    /// Decides whether to make another attempt and, if so, takes the token for it.
    fn acquire_retry(
        &mut self,
        now: Timestamp,
        call: &mut Call,
        last: &OutstandingAttempt,
        retry: RetryCost,
    ) -> bool {
        let needed = now.since(last.sent) + MIN_TIME_TO_RETRY;
        let has_time = now + needed < call.deadline;
        if retry == RetryCost::Never || !has_time {
            return false;
        }
        if retry == RetryCost::Free && call.free_reroutes < self.limits().max_free_reroutes {
            call.free_reroutes += 1;
            self.metrics.free_reroutes += 1;
            return true;
        }
        self.take_retry_token(call)
    }

    fn take_retry_token(&mut self, call: &mut Call) -> bool {
        let has_token = self.pool_of(call).is_some_and(|pool| pool.available() > 0);
        if !has_token {
            self.metrics.retries_without_token += 1;
            return false;
        }
        if !self.ratios.withdraw(&call.caller, &call.service) {
            self.metrics.retries_over_ratio += 1;
            return false;
        }
        self.metrics.retry_tokens_spent += 1;
        self.pool_of(call).is_some_and(|pool| pool.spend())
    }

    /// Handles a disconnect of the application or of its own caller.
    pub(crate) fn cancel_call(&mut self, id: CallId, actions: &mut Vec<Action>) {
        self.abort_call(id, NotRunReason::Cancelled, actions);
    }

    /// Handles a call whose deadline has passed: answers immediately with the proven outcome.
    pub(crate) fn expire_call(&mut self, now: Timestamp, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.outbound.calls.get(&id) else {
            return;
        };
        if let Some(current) = &call.current {
            let ceiling = self.max_ejected_percent(call);
            let endpoint = current.endpoint.clone();
            let is_ejected = self
                .directory
                .record_timeout(now, &endpoint, current.sent, ceiling);
            self.metrics.ejections += u64::from(is_ejected);
        }
        self.abort_call(id, NotRunReason::DeadlineExceeded, actions);
    }

    fn abort_call(&mut self, id: CallId, reason: NotRunReason, actions: &mut Vec<Action>) {
        let Some(mut call) = self.outbound.calls.remove(&id) else {
            return;
        };
        if let Some(current) = call.current.take() {
            // The attempt may still run; the tokens lent with it are lost.
            self.outbound.attempts.remove(&current.attempt);
            self.directory.record_attempt_end(&current.endpoint);
            call.evidence = Evidence::Unknown;
            let attempt = current.attempt;
            actions.push(Action::CancelAttempt { attempt });
        }
        let refusal = not_run(reason, 100, &mut self.random);
        let outcome = call.evidence.outcome_or(refusal);
        self.end_call(id, call, outcome, AnswerBody::None, actions);
    }
}

/// Cost of another attempt after a refusal with a not-run proof.
///
/// After `LedgerUnavailable` another attempt is useless: all daemons use the same ledger, and the
/// claim of the refused attempt may not be released yet, so that an immediate attempt elsewhere would
/// only turn a clear refusal into `Unknown`.
fn retry_cost_after_refusal(reason: NotRunReason) -> RetryCost {
    match reason {
        NotRunReason::Draining => RetryCost::Free,
        NotRunReason::Unreachable | NotRunReason::NotReady | NotRunReason::Overloaded => {
            RetryCost::Token
        }
        NotRunReason::DeadlineExceeded
        | NotRunReason::Cancelled
        | NotRunReason::NoEndpoint
        | NotRunReason::RetryBudgetExhausted
        | NotRunReason::LedgerUnavailable
        | NotRunReason::OperationExpired
        | NotRunReason::TooDeep
        | NotRunReason::InvalidRequest => RetryCost::Never,
    }
}
