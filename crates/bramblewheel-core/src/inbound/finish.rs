//! Answers to inbound attempts, each with feedback for the calling daemon.

use crate::action::{Action, Answer, AnswerBody};
use crate::context::CallContext;
use crate::engine::Engine;
use crate::event::{Feedback, StoredAnswer};
use crate::feedback::not_run;
use crate::inbound::attempt::InboundAttempt;
use crate::inbound::dispatch::DispatchEnd;
use crate::timers::Timer;
use bramblewheel_types::{Millis, NotRunReason, Outcome};

impl Engine {
    pub(crate) fn end_dispatched(
        &mut self,
        attempt: InboundAttempt,
        end: DispatchEnd,
        actions: &mut Vec<Action>,
    ) {
        // The hop below has already used its retries; retrying here would rerun the whole subtree.
        let failed_below = attempt.has_failed_sub_call;
        match end {
            DispatchEnd::Answered { failed } => {
                let outcome = if failed {
                    Outcome::Failed
                } else {
                    Outcome::Completed
                };
                let body = AnswerBody::FromAttempt(attempt.context.attempt);
                self.end_attempt(attempt, outcome, failed && failed_below, body, actions);
            }
            DispatchEnd::RanInPart => {
                self.end_without_body(attempt, Outcome::Failed, failed_below, actions);
            }
            DispatchEnd::Lost => {
                self.end_without_body(attempt, Outcome::Unknown, failed_below, actions);
            }
            DispatchEnd::NotRun {
                reason,
                retry_after,
            } => self.end_refused(attempt, reason, retry_after, actions),
        }
    }

    fn end_refused(
        &mut self,
        attempt: InboundAttempt,
        reason: NotRunReason,
        retry_after: Option<Millis>,
        actions: &mut Vec<Action>,
    ) {
        let own = self.refusal(reason);
        let outcome = match (own, retry_after) {
            (Outcome::NotRun { retry_after, .. }, Some(stated)) if stated > retry_after => {
                Outcome::NotRun {
                    reason,
                    retry_after: stated,
                }
            }
            _ => own,
        };
        self.end_without_body(attempt, outcome, is_final(reason), actions);
    }

    /// Ends an attempt that has not run.
    pub(crate) fn end_not_run(
        &mut self,
        attempt: InboundAttempt,
        reason: NotRunReason,
        actions: &mut Vec<Action>,
    ) {
        let outcome = self.refusal(reason);
        self.end_without_body(attempt, outcome, is_final(reason), actions);
    }

    /// Ends an attempt with the answer stored in the ledger for its operation.
    pub(crate) fn end_stored(
        &mut self,
        attempt: InboundAttempt,
        failed: bool,
        answer: StoredAnswer,
        actions: &mut Vec<Action>,
    ) {
        let outcome = if failed {
            Outcome::Failed
        } else {
            Outcome::Completed
        };
        let body = AnswerBody::Stored(answer);
        self.end_attempt(attempt, outcome, true, body, actions);
    }

    pub(crate) fn end_without_body(
        &mut self,
        attempt: InboundAttempt,
        outcome: Outcome,
        is_final: bool,
        actions: &mut Vec<Action>,
    ) {
        self.end_attempt(attempt, outcome, is_final, AnswerBody::None, actions);
    }

    fn end_attempt(
        &mut self,
        mut attempt: InboundAttempt,
        outcome: Outcome,
        is_final: bool,
        body: AnswerBody,
        actions: &mut Vec<Action>,
    ) {
        for call in std::mem::take(&mut attempt.sub_calls) {
            self.cancel_call(call, actions);
        }
        let answer = Answer { outcome, body };
        self.answer(&mut attempt, answer, is_final, actions);
    }

    /// Answers `Unknown` for an operation that keeps running. Its sub-calls are not cancelled, since
    /// that would leave the operation half done.
    pub(crate) fn answer_detached(
        &mut self,
        attempt: &mut InboundAttempt,
        actions: &mut Vec<Action>,
    ) {
        let answer = Answer {
            outcome: Outcome::Unknown,
            body: AnswerBody::None,
        };
        self.answer(attempt, answer, true, actions);
    }

    /// Answers an attempt, closing its token pool and adding feedback.
    fn answer(
        &mut self,
        attempt: &mut InboundAttempt,
        answer: Answer,
        is_final: bool,
        actions: &mut Vec<Action>,
    ) {
        let id = attempt.context.attempt;
        let deadline = attempt.context.deadline;
        self.timers.clear(deadline, Timer::AttemptDeadline(id));
        let feedback = Feedback {
            retry_tokens_spent: attempt.pool.close(),
            is_final,
            ..self.current_feedback(&attempt.context)
        };
        self.push_answer(&attempt.context, answer, feedback, actions);
    }

    /// Refuses an attempt that was not admitted.
    pub(crate) fn refuse_attempt(
        &mut self,
        context: &CallContext,
        reason: NotRunReason,
        actions: &mut Vec<Action>,
    ) {
        let outcome = self.refusal(reason);
        let feedback = Feedback {
            is_final: is_final(reason),
            ..self.current_feedback(context)
        };
        let body = AnswerBody::None;
        self.push_answer(context, Answer { outcome, body }, feedback, actions);
    }

    fn refusal(&mut self, reason: NotRunReason) -> Outcome {
        let load = self.load_percent();
        not_run(reason, load, &mut self.random)
    }

    fn current_feedback(&self, context: &CallContext) -> Feedback {
        let route = self.route_number(context);
        let below = self.inbound.path_levels.level(self.now, route);
        Feedback {
            retry_tokens_spent: 0,
            is_final: false,
            draining: self.refuses_new_work(),
            load_percent: self.load_percent(),
            admission_level: self.inbound.level.level().max(below),
        }
    }

    fn push_answer(
        &mut self,
        context: &CallContext,
        answer: Answer,
        feedback: Feedback,
        actions: &mut Vec<Action>,
    ) {
        self.metrics
            .inbound
            .record(answer.outcome, context.criticality);
        actions.push(Action::AnswerAttempt {
            attempt: context.attempt,
            answer,
            feedback,
        });
    }
}

/// Whether hops above must not retry a refused attempt. Overload is final, because an attempt
/// elsewhere would add load while there is already too much.
fn is_final(reason: NotRunReason) -> bool {
    match reason {
        NotRunReason::Overloaded
        | NotRunReason::DeadlineExceeded
        | NotRunReason::Cancelled
        | NotRunReason::RetryBudgetExhausted
        | NotRunReason::LedgerUnavailable
        | NotRunReason::OperationExpired
        | NotRunReason::TooDeep
        | NotRunReason::InvalidRequest => true,
        NotRunReason::Draining
        | NotRunReason::NoEndpoint
        | NotRunReason::Unreachable
        | NotRunReason::NotReady => false,
    }
}
