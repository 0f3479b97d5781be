//! What follows from the end of an attempt: the answer, or another attempt.

use crate::action::{Action, AnswerBody};
use crate::engine::Engine;
use crate::event::AttemptResult;
use crate::feedback::not_run;
use crate::outbound::call::{Call, Evidence, OutstandingAttempt};
use bramblewheel_types::{AttemptId, CallId, NotRunReason, Outcome, Timestamp};
use std::time::Duration;

/// A retry is not begun with less time than this left, in addition to what the last one took.
const MIN_TIME_TO_RETRY: Duration = Duration::from_millis(2);
/// Ejection ceiling while no bundle names the service.
const DEFAULT_MAX_EJECTED_PERCENT: u32 = 0;

/// What a further attempt would cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    /// The answer is final.
    Never,
    /// Nothing ran and nothing was queued: a new route is free, a few times per call.
    Free,
    /// One token.
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
        let (outcome, retry) = self.judge(&call, &result);
        if outcome == Outcome::Completed {
            let body = AnswerBody::FromAttempt(attempt);
            return self.end_call(id, call, outcome, body, actions);
        }
        if self.may_retry(now, &mut call, &current, retry) {
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

    /// Tokens and routing news of an ended attempt.
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
            self.note_met_level(now, call);
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

    /// Outcome of the attempt by itself, and what another would cost.
    fn judge(&mut self, call: &Call, result: &AttemptResult) -> (Outcome, Retry) {
        let may_run_again = call.operation.is_none();
        let if_repeatable = if may_run_again {
            Retry::Token
        } else {
            Retry::Never
        };
        match result {
            AttemptResult::NotSent => {
                let refusal = not_run(NotRunReason::Unreachable, 100, &mut self.random);
                (refusal, Retry::Free)
            }
            AttemptResult::Lost => (Outcome::Unknown, if_repeatable),
            AttemptResult::Answered { outcome, feedback } => {
                let retry = match outcome {
                    Outcome::Completed => Retry::Never,
                    Outcome::NotRun { reason, .. } => cost_after_refusal(*reason),
                    Outcome::Failed | Outcome::Unknown => if_repeatable,
                };
                let is_free = retry == Retry::Free;
                let is_barred = feedback.is_final && !is_free;
                (*outcome, if is_barred { Retry::Never } else { retry })
            }
        }
    }

    /// Decides on another attempt and pays for it.
    fn may_retry(
        &mut self,
        now: Timestamp,
        call: &mut Call,
        last: &OutstandingAttempt,
        retry: Retry,
    ) -> bool {
        let needed = now.since(last.sent) + MIN_TIME_TO_RETRY;
        let has_time = now + needed < call.deadline;
        if retry == Retry::Never || !has_time {
            return false;
        }
        if retry == Retry::Free && call.free_reroutes < self.limits().max_free_reroutes {
            call.free_reroutes += 1;
            self.metrics.free_reroutes += 1;
            return true;
        }
        self.pay_for_retry(call)
    }

    fn pay_for_retry(&mut self, call: &mut Call) -> bool {
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

    /// The application went away, or its own caller did.
    pub(crate) fn cancel_call(&mut self, id: CallId, actions: &mut Vec<Action>) {
        self.give_up_call(id, NotRunReason::Cancelled, actions);
    }

    /// The deadline passed: answer at once with what is proved.
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
        self.give_up_call(id, NotRunReason::DeadlineExceeded, actions);
    }

    fn give_up_call(&mut self, id: CallId, reason: NotRunReason, actions: &mut Vec<Action>) {
        let Some(mut call) = self.outbound.calls.remove(&id) else {
            return;
        };
        if let Some(current) = call.current.take() {
            // Its answer is not awaited: it may run, and the tokens that went with it are gone.
            self.outbound.attempts.remove(&current.attempt);
            self.directory.record_given_up(&current.endpoint);
            call.evidence = Evidence::Unknown;
            let attempt = current.attempt;
            actions.push(Action::CancelAttempt { attempt });
        }
        let refusal = not_run(reason, 100, &mut self.random);
        let outcome = call.evidence.outcome_or(refusal);
        self.end_call(id, call, outcome, AnswerBody::None, actions);
    }
}

/// What another attempt costs after a refusal with a not-run proof.
///
/// All daemons ask one ledger, and the claim of the refused attempt may take a moment to be given
/// back, so that trying elsewhere at once would only turn a clear refusal into `Unknown`.
fn cost_after_refusal(reason: NotRunReason) -> Retry {
    match reason {
        NotRunReason::Draining => Retry::Free,
        NotRunReason::Unreachable | NotRunReason::NotReady | NotRunReason::Overloaded => {
            Retry::Token
        }
        NotRunReason::DeadlineExceeded
        | NotRunReason::Cancelled
        | NotRunReason::NoEndpoint
        | NotRunReason::RetryBudgetExhausted
        | NotRunReason::LedgerUnavailable
        | NotRunReason::OperationExpired
        | NotRunReason::TooDeep
        | NotRunReason::InvalidRequest => Retry::Never,
    }
}
