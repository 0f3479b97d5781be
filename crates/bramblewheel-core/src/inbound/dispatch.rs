//! Dispatches attempts to the local endpoint and evaluates their results.

use crate::action::Action;
use crate::context::CallContext;
use crate::engine::Engine;
use crate::event::{DispatchResult, StoredAnswer};
use crate::inbound::attempt::{InboundAttempt, Stage};
use crate::inbound::service_time::route_number;
use crate::timers::Timer;
use bramblewheel_types::{AttemptId, Millis, NotRunReason, Outcome, Timestamp};
use std::time::Duration;

/// How long to wait for the result of a run-once operation after its caller was answered.
const DETACHED_GRACE: Duration = Duration::from_secs(30);
/// Status stored for an operation that its endpoint refused after it had made sub-calls.
const REFUSED_AFTER_START: u16 = 500;

impl Engine {
    /// Fills free slots from the queue. Attempts that can't finish in time are refused, not run.
    pub(crate) fn fill_slots(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while self.inbound.running < self.concurrency_limit() {
            let order = self.service_order();
            let Some((_, id)) = self.inbound.queue.take(order) else {
                break;
            };
            let Some(attempt) = self.inbound.attempts.remove(&id) else {
                continue;
            };
            self.start(now, attempt, actions);
        }
    }

    fn start(&mut self, now: Timestamp, attempt: InboundAttempt, actions: &mut Vec<Action>) {
        let waited = now.since(attempt.arrived);
        self.inbound.level.record_delay(now, waited);
        if !self.can_finish(now, &attempt.context) {
            self.inbound.level.record_shed();
            return self.end_not_run(attempt, NotRunReason::DeadlineExceeded, actions);
        }
        self.inbound.level.record_served();
        self.inbound.running += 1;
        if attempt.context.operation.is_some() {
            self.begin_claim(now, attempt, actions);
        } else {
            self.dispatch(now, attempt, actions);
        }
    }

    /// Whether an attempt dispatched now could finish by its deadline.
    pub(crate) fn can_finish(&self, now: Timestamp, context: &CallContext) -> bool {
        let route = self.route_number(context);
        now + self.inbound.service_times.lower_bound(now, route) < context.deadline
    }

    pub(crate) fn route_number(&self, context: &CallContext) -> usize {
        self.bundle.as_ref().map_or(0, |bundle| {
            route_number(bundle, &context.service, &context.path)
        })
    }

    /// Dispatches an attempt that holds a slot.
    pub(crate) fn dispatch(
        &mut self,
        now: Timestamp,
        mut attempt: InboundAttempt,
        actions: &mut Vec<Action>,
    ) {
        let id = attempt.context.attempt;
        attempt.stage = Stage::Running { since: now };
        self.inbound.attempts.insert(id, attempt);
        self.metrics.dispatched += 1;
        actions.push(Action::Dispatch { attempt: id });
    }

    pub(crate) fn free_slot(&mut self) {
        self.inbound.running = self.inbound.running.saturating_sub(1);
    }

    pub(crate) fn dispatch_ended(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        result: DispatchResult,
        actions: &mut Vec<Action>,
    ) {
        let stage = self.inbound.attempts.get(&id).map(|attempt| attempt.stage);
        let (since, is_awaited) = match stage {
            Some(Stage::Running { since }) => (since, true),
            Some(Stage::Detached { since, until }) => {
                self.timers.clear(until, Timer::DetachedDispatch(id));
                (since, false)
            }
            _ => {
                self.metrics.late_events += 1;
                return;
            }
        };
        let Some(attempt) = self.inbound.attempts.remove(&id) else {
            return;
        };
        self.record_latency(now, since, &attempt.context, &result);
        self.record_path_level(now, &attempt, &result);
        self.free_slot();
        let end = self.evaluate_dispatch(&attempt, result, actions);
        if is_awaited {
            self.end_dispatched(attempt, end, actions);
        }
        self.fill_slots(now, actions);
    }

    fn record_latency(
        &mut self,
        now: Timestamp,
        since: Timestamp,
        context: &CallContext,
        result: &DispatchResult,
    ) {
        let running = self.inbound.running;
        let duration = now.since(since);
        match result {
            // Failed requests usually end early, so their duration says nothing about completed ones.
            DispatchResult::Answered { failed: true, .. } => {}
            DispatchResult::Answered { failed: false, .. } => {
                let route = self.route_number(context);
                self.inbound.service_times.record(now, route, duration);
                self.inbound.limit.record(now, duration, running);
            }
            DispatchResult::NotSent | DispatchResult::Lost => self.inbound.limit.record_failure(),
            DispatchResult::Refused { reason, .. } => {
                if *reason == NotRunReason::Overloaded {
                    self.inbound.limit.record_failure();
                }
            }
        }
    }

    fn record_path_level(
        &mut self,
        now: Timestamp,
        attempt: &InboundAttempt,
        result: &DispatchResult,
    ) {
        if !attempt.has_sub_calls {
            return;
        }
        let route = self.route_number(&attempt.context);
        let succeeded = matches!(result, DispatchResult::Answered { failed: false, .. });
        let levels = &mut self.inbound.path_levels;
        levels.record(now, route, attempt.sub_call_level, succeeded);
    }

    /// Determines what the result of a dispatch proves, and completes or releases the claim.
    fn evaluate_dispatch(
        &mut self,
        attempt: &InboundAttempt,
        result: DispatchResult,
        actions: &mut Vec<Action>,
    ) -> DispatchEnd {
        match result {
            DispatchResult::Answered { failed, stored } => {
                self.complete_claim(attempt, failed, stored, actions);
                DispatchEnd::Answered { failed }
            }
            DispatchResult::Lost => DispatchEnd::Lost,
            // A request that has made sub-calls has partly run, whatever the endpoint reports.
            DispatchResult::NotSent | DispatchResult::Refused { .. } if attempt.has_sub_calls => {
                let stored = StoredAnswer {
                    status: REFUSED_AFTER_START,
                    body: None,
                };
                self.complete_claim(attempt, true, stored, actions);
                DispatchEnd::RanInPart
            }
            DispatchResult::NotSent => {
                self.release_claim(attempt, actions);
                DispatchEnd::NotRun {
                    reason: NotRunReason::Unreachable,
                    retry_after: None,
                }
            }
            DispatchResult::Refused {
                reason,
                retry_after,
            } => {
                self.release_claim(attempt, actions);
                DispatchEnd::NotRun {
                    reason,
                    retry_after: Some(retry_after),
                }
            }
        }
    }

    /// Aborts a running attempt. A repeatable request is cancelled at the endpoint. A run-once
    /// operation keeps running, so that its result can be recorded for resends.
    pub(crate) fn abandon_dispatch(
        &mut self,
        now: Timestamp,
        mut attempt: InboundAttempt,
        since: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let id = attempt.context.attempt;
        if attempt.context.operation.is_none() {
            self.inbound
                .limit
                .record(now, now.since(since), self.inbound.running);
            self.free_slot();
            actions.push(Action::CancelDispatch { attempt: id });
            return self.end_without_body(attempt, Outcome::Unknown, false, actions);
        }
        let until = now + DETACHED_GRACE;
        self.timers.set(until, Timer::DetachedDispatch(id));
        self.answer_detached(&mut attempt, actions);
        attempt.stage = Stage::Detached { since, until };
        self.inbound.attempts.insert(id, attempt);
    }

    /// Handles a run-once operation that did not end within its grace time; its claim is kept.
    pub(crate) fn detached_timed_out(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        actions: &mut Vec<Action>,
    ) {
        if self.inbound.attempts.remove(&id).is_some() {
            self.free_slot();
            actions.push(Action::CancelDispatch { attempt: id });
        }
        self.fill_slots(now, actions);
    }
}

/// Proven result of a dispatch.
pub(crate) enum DispatchEnd {
    /// The endpoint answered.
    Answered {
        /// Whether the answer reports an error.
        failed: bool,
    },
    /// The endpoint refused after it had made sub-calls.
    RanInPart,
    /// The request may have run.
    Lost,
    /// The endpoint did not run the request.
    NotRun {
        /// Reason for the refusal.
        reason: NotRunReason,
        /// Retry-after time stated by the endpoint, if any.
        retry_after: Option<Millis>,
    },
}
