//! Life cycle of a claim: requested, granted, then used or released.
//!
//! A slot is held while the claim is requested, so that a granted operation runs immediately. A
//! claim belongs to one attempt; the ledger ignores a release by any other attempt.

use crate::action::Action;
use crate::engine::Engine;
use crate::event::{ClaimAnswer, LedgerRequest, StoredAnswer};
use crate::inbound::attempt::{InboundAttempt, Stage};
use crate::timers::Timer;
use bramblewheel_types::{AttemptId, NotRunReason, OperationKey, Outcome, Timestamp};
use std::time::Duration;

/// How often a claim request is repeated while another attempt holds the claim.
const MAX_CLAIM_REPEATS: u32 = 2;
/// Delay before a claim request is repeated, multiplied by the number of refusals so far.
const CLAIM_REPEAT_DELAY: Duration = Duration::from_millis(15);

impl Engine {
    /// Requests the claim for an attempt that holds a slot.
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
            return self.late_claim_answered(id, stage, answer, actions);
        };
        self.timers.clear(until, Timer::ClaimTimeout(id));
        self.timers.clear(until, Timer::RepeatClaim(id));
        let Some(attempt) = self.inbound.attempts.remove(&id) else {
            return;
        };
        match answer {
            ClaimAnswer::Granted => self.dispatch_granted(now, attempt, actions),
            ClaimAnswer::Completed { failed, answer } => {
                self.free_slot();
                self.end_stored(attempt, failed, answer, actions);
            }
            ClaimAnswer::HeldElsewhere => self.claim_held_elsewhere(now, attempt, actions),
            ClaimAnswer::Expired => {
                self.free_slot();
                self.end_not_run(attempt, NotRunReason::OperationExpired, actions);
            }
            ClaimAnswer::Unavailable => {
                self.end_undispatched(attempt, NotRunReason::LedgerUnavailable, actions);
            }
        }
        self.fill_slots(now, actions);
    }

    /// Handles a claim held by another attempt. That attempt's release or result may be in transit,
    /// because the caller was just refused there or sent the request twice. The claim request is
    /// therefore repeated a few times within milliseconds before the caller is answered `Unknown`.
    fn claim_held_elsewhere(
        &mut self,
        now: Timestamp,
        mut attempt: InboundAttempt,
        actions: &mut Vec<Action>,
    ) {
        attempt.held_answers += 1;
        if attempt.held_answers > MAX_CLAIM_REPEATS {
            self.free_slot();
            return self.end_without_body(attempt, Outcome::Unknown, true, actions);
        }
        let id = attempt.context.attempt;
        let at = now + CLAIM_REPEAT_DELAY * attempt.held_answers;
        self.timers.set(at, Timer::RepeatClaim(id));
        attempt.stage = Stage::Claiming { until: at };
        self.inbound.attempts.insert(id, attempt);
    }

    pub(crate) fn repeat_claim(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.inbound.attempts.remove(&id) else {
            return;
        };
        self.begin_claim(now, attempt, actions);
    }

    /// Handles a claim answer for an attempt that no longer waits for it. A grant for an aborted
    /// attempt is released and never used.
    fn late_claim_answered(
        &mut self,
        id: AttemptId,
        stage: Option<Stage>,
        answer: ClaimAnswer,
        actions: &mut Vec<Action>,
    ) {
        self.metrics.late_events += 1;
        // A duplicate grant of a claim in use must not be released.
        let is_in_use = stage.is_some();
        if answer != ClaimAnswer::Granted || is_in_use {
            return;
        }
        // Contains only attempts aborted before their grant, not those whose claim was used.
        if let Some(key) = self.inbound.abandoned.remove(&id) {
            self.metrics.late_grants += 1;
            self.release(id, key, actions);
        }
    }

    /// Dispatches a granted operation if it can still finish in time: after a pause of the process
    /// the deadline may have passed before its timer was handled. A drain that began meanwhile
    /// does not stop the operation, which was accepted before it.
    fn dispatch_granted(
        &mut self,
        now: Timestamp,
        attempt: InboundAttempt,
        actions: &mut Vec<Action>,
    ) {
        if self.can_finish(now, &attempt.context) {
            return self.dispatch(now, attempt, actions);
        }
        self.end_undispatched(attempt, NotRunReason::DeadlineExceeded, actions);
    }

    /// Ends an attempt that holds a slot and possibly a claim, but was not dispatched.
    fn end_undispatched(
        &mut self,
        attempt: InboundAttempt,
        reason: NotRunReason,
        actions: &mut Vec<Action>,
    ) {
        self.free_slot();
        self.release_claim(&attempt, actions);
        if attempt.held_answers > 0 {
            // The holder may have run the operation.
            return self.end_without_body(attempt, Outcome::Unknown, true, actions);
        }
        self.end_not_run(attempt, reason, actions);
    }

    /// Aborts an attempt whose claim request is unanswered. The claim may have been recorded
    /// nevertheless, so it is released now, and again if a grant arrives later.
    pub(crate) fn abort_claim(
        &mut self,
        attempt: InboundAttempt,
        until: Timestamp,
        reason: NotRunReason,
        actions: &mut Vec<Action>,
    ) {
        let id = attempt.context.attempt;
        self.timers.clear(until, Timer::ClaimTimeout(id));
        self.timers.clear(until, Timer::RepeatClaim(id));
        if let Some(operation) = &attempt.context.operation {
            self.inbound.abandoned.insert(id, operation.key.clone());
        }
        self.end_undispatched(attempt, reason, actions);
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
        self.abort_claim(attempt, until, reason, actions);
        self.fill_slots(now, actions);
    }

    /// Releases the claim, if any, of an attempt that provably did not run.
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

    /// Requests that the ledger record the result, if the attempt runs a run-once operation.
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
