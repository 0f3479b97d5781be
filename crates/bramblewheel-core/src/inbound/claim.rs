//! Life cycle of a claim: asked for, granted, used or given back.
//!
//! A slot is held while the claim is asked for, so that a granted operation runs at once. A
//! claim belongs to one attempt; the ledger ignores the release of another's claim.

use crate::action::Action;
use crate::engine::Engine;
use crate::event::{ClaimAnswer, LedgerRequest, StoredAnswer};
use crate::inbound::attempt::{InboundAttempt, Stage};
use crate::timers::Timer;
use bramblewheel_types::{AttemptId, NotRunReason, OperationKey, Outcome, Timestamp};
use std::time::Duration;

/// How often the ledger is asked again while another attempt holds the claim.
const MAX_CLAIMS_AGAIN: u32 = 2;
/// Time before the ledger is asked again, times the number of refusals so far.
const CLAIM_AGAIN_AFTER: Duration = Duration::from_millis(15);

impl Engine {
    /// Asks for the claim of an attempt that holds a slot.
    pub(crate) fn begin_claim(
        &mut self,
        now: Timestamp,
        mut attempt: InboundAttempt,
        actions: &mut Vec<Action>,
    ) {
        let id = attempt.context.attempt;
        let Some(operation) = attempt.context.operation.clone() else {
            return;
        };
        let until = now + self.config.claim_timeout;
        self.timers.set(until, Timer::ClaimTimeout(id));
        attempt.stage = Stage::Claiming { until };
        self.inbound.attempts.insert(id, attempt);
        let request = LedgerRequest::Claim {
            key: operation.key,
            minted_at_unix_millis: operation.minted_at_unix_millis,
        };
        actions.push(Action::Ledger {
            attempt: id,
            request,
        });
    }

    pub(crate) fn claim_answered(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        answer: ClaimAnswer,
        actions: &mut Vec<Action>,
    ) {
        let stage = self.inbound.attempts.get(&id).map(|attempt| attempt.stage);
        let Some(Stage::Claiming { until }) = stage else {
            return self.claim_answered_late(id, stage, answer, actions);
        };
        self.timers.clear(until, Timer::ClaimTimeout(id));
        self.timers.clear(until, Timer::ClaimAgain(id));
        let Some(attempt) = self.inbound.attempts.remove(&id) else {
            return;
        };
        match answer {
            ClaimAnswer::Granted => self.use_grant(now, attempt, actions),
            ClaimAnswer::Completed { failed, answer } => {
                self.free_slot();
                self.end_stored(attempt, failed, answer, actions);
            }
            ClaimAnswer::HeldElsewhere => self.claim_held(now, attempt, actions),
            ClaimAnswer::Expired => {
                self.free_slot();
                self.end_not_run(attempt, NotRunReason::OperationExpired, actions);
            }
            ClaimAnswer::Unavailable => {
                self.end_unclaimed(attempt, NotRunReason::LedgerUnavailable, actions);
            }
        }
        self.pump(now, actions);
    }

    /// Another attempt holds the claim. Its release or its result may be on the way, when the
    /// caller was refused there a moment ago or sent twice; so the ledger is asked again, a few
    /// times within milliseconds, before the caller is told that nothing is known.
    fn claim_held(
        &mut self,
        now: Timestamp,
        mut attempt: InboundAttempt,
        actions: &mut Vec<Action>,
    ) {
        attempt.times_held += 1;
        if attempt.times_held > MAX_CLAIMS_AGAIN {
            self.free_slot();
            return self.end_bodiless(attempt, Outcome::Unknown, true, actions);
        }
        let id = attempt.context.attempt;
        let at = now + CLAIM_AGAIN_AFTER * attempt.times_held;
        self.timers.set(at, Timer::ClaimAgain(id));
        attempt.stage = Stage::Claiming { until: at };
        self.inbound.attempts.insert(id, attempt);
    }

    pub(crate) fn claim_again(&mut self, now: Timestamp, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.inbound.attempts.remove(&id) else {
            return;
        };
        self.begin_claim(now, attempt, actions);
    }

    /// An answer for an attempt that was given up: a grant is returned, never used.
    fn claim_answered_late(
        &mut self,
        id: AttemptId,
        stage: Option<Stage>,
        answer: ClaimAnswer,
        actions: &mut Vec<Action>,
    ) {
        self.metrics.late_events += 1;
        // A repeated grant of a claim in use is not a late one.
        let is_in_use = stage.is_some();
        if answer != ClaimAnswer::Granted || is_in_use {
            return;
        }
        // Only of claims given up before their grant: those that were used have been forgotten.
        if let Some(key) = self.inbound.abandoned.remove(&id) {
            self.metrics.late_grants += 1;
            self.release(id, key, actions);
        }
    }

    /// The moment before dispatch: after a pause of the process the deadline may have passed,
    /// although its timer has not been looked at yet. A drain that began meanwhile does not
    /// stop the operation: it was accepted before, and a planned stop interrupts nothing.
    fn use_grant(&mut self, now: Timestamp, attempt: InboundAttempt, actions: &mut Vec<Action>) {
        if self.can_finish(now, &attempt.context) {
            return self.dispatch(now, attempt, actions);
        }
        self.end_unclaimed(attempt, NotRunReason::DeadlineExceeded, actions);
    }

    /// Ends an attempt that holds a slot and perhaps a claim, but was not dispatched.
    fn end_unclaimed(
        &mut self,
        attempt: InboundAttempt,
        reason: NotRunReason,
        actions: &mut Vec<Action>,
    ) {
        self.free_slot();
        self.release_claim(&attempt, actions);
        if attempt.times_held > 0 {
            // The holder may have run the operation.
            return self.end_bodiless(attempt, Outcome::Unknown, true, actions);
        }
        self.end_not_run(attempt, reason, actions);
    }

    /// Gives up while the ledger has not answered. The claim may be recorded all the same, so
    /// it is released now, and once more if a grant still comes.
    pub(crate) fn give_up_claim(
        &mut self,
        attempt: InboundAttempt,
        until: Timestamp,
        reason: NotRunReason,
        actions: &mut Vec<Action>,
    ) {
        let id = attempt.context.attempt;
        self.timers.clear(until, Timer::ClaimTimeout(id));
        self.timers.clear(until, Timer::ClaimAgain(id));
        if let Some(operation) = &attempt.context.operation {
            self.inbound.abandoned.insert(id, operation.key.clone());
        }
        self.end_unclaimed(attempt, reason, actions);
    }

    pub(crate) fn claim_timed_out(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        actions: &mut Vec<Action>,
    ) {
        let stage = self.inbound.attempts.get(&id).map(|attempt| attempt.stage);
        let Some(Stage::Claiming { until }) = stage else {
            return;
        };
        let Some(attempt) = self.inbound.attempts.remove(&id) else {
            return;
        };
        let reason = NotRunReason::LedgerUnavailable;
        self.give_up_claim(attempt, until, reason, actions);
        self.pump(now, actions);
    }

    /// Returns the claim of an attempt that provably did not run, if it has one.
    pub(crate) fn release_claim(&mut self, attempt: &InboundAttempt, actions: &mut Vec<Action>) {
        if let Some(operation) = &attempt.context.operation {
            self.release(attempt.context.attempt, operation.key.clone(), actions);
        }
    }

    fn release(&mut self, attempt: AttemptId, key: OperationKey, actions: &mut Vec<Action>) {
        self.metrics.claims_released += 1;
        let request = LedgerRequest::Release { key };
        actions.push(Action::Ledger { attempt, request });
    }

    /// Asks the ledger to record how an operation ended, if the attempt is one.
    pub(crate) fn complete_claim(
        &mut self,
        attempt: &InboundAttempt,
        failed: bool,
        answer: StoredAnswer,
        actions: &mut Vec<Action>,
    ) {
        if let Some(operation) = &attempt.context.operation {
            let key = operation.key.clone();
            let request = LedgerRequest::Complete {
                key,
                failed,
                answer,
            };
            actions.push(Action::Ledger {
                attempt: attempt.context.attempt,
                request,
            });
        }
    }
}
