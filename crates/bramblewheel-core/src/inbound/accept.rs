//! Admits inbound attempts or refuses them on arrival.

use crate::action::Action;
use crate::cohort::shedding_position;
use crate::context::CallContext;
use crate::engine::Engine;
use crate::inbound::attempt::{InboundAttempt, Stage};
use crate::inbound::queue::{Importance, Offer, QueuePlace, ServiceOrder};
use crate::timers::Timer;
use bramblewheel_types::{AttemptId, NotRunReason, Timestamp};

impl Engine {
    pub(crate) fn accept_attempt(
        &mut self,
        now: Timestamp,
        context: CallContext,
        actions: &mut Vec<Action>,
    ) {
        // A duplicate message: the original has been or will be answered.
        let is_new = self.inbound.recent_attempts.insert(context.attempt, ());
        if !is_new || self.inbound.attempts.contains_key(&context.attempt) {
            self.metrics.late_events += 1;
            return;
        }
        match self.admit(now, &context, actions) {
            Ok(place) => self.enqueue(now, context, place),
            Err(reason) => self.refuse_attempt(&context, reason, actions),
        }
        self.fill_slots(now, actions);
    }

    fn enqueue(&mut self, now: Timestamp, context: CallContext, place: QueuePlace) {
        let id = context.attempt;
        self.timers
            .set(context.deadline, Timer::AttemptDeadline(id));
        let attempt = InboundAttempt::new(now, context, place);
        self.inbound.attempts.insert(id, attempt);
    }

    fn admit(
        &mut self,
        now: Timestamp,
        context: &CallContext,
        actions: &mut Vec<Action>,
    ) -> Result<QueuePlace, NotRunReason> {
        self.check_acceptable(context)?;
        if !self.can_finish(now, context) {
            return Err(NotRunReason::DeadlineExceeded);
        }
        let shedding = shedding_position(context.criticality, context.in_session, context.request);
        self.inbound.level.record_offered(now, shedding);
        let limit = self.concurrency_limit();
        self.inbound
            .level
            .record_utilization(self.inbound.running, limit);
        let importance = Importance {
            criticality: context.criticality,
            in_session: context.in_session,
        };
        let is_below_level = shedding < self.inbound.level.level();
        if is_below_level && self.must_wait() && !self.queue_holds_less_important(importance) {
            return Err(self.shed(context));
        }
        self.offer(context, importance, actions)
    }

    /// Whether a new attempt would have to wait for a slot.
    fn must_wait(&self) -> bool {
        !self.inbound.queue.is_empty() || self.inbound.running >= self.concurrency_limit()
    }

    fn queue_holds_less_important(&self, importance: Importance) -> bool {
        self.inbound
            .queue
            .lowest()
            .is_some_and(|lowest| lowest < importance)
    }

    fn shed(&mut self, context: &CallContext) -> NotRunReason {
        *self.metrics.shed.entry(context.criticality).or_default() += 1;
        NotRunReason::Overloaded
    }

    /// Refusals that do not depend on load.
    fn check_acceptable(&self, context: &CallContext) -> Result<(), NotRunReason> {
        let bundle = self.bundle.as_ref().ok_or(NotRunReason::NotReady)?;
        let is_ours = self
            .config
            .endpoint
            .as_ref()
            .is_some_and(|local| local.service == context.service);
        if !is_ours {
            return Err(NotRunReason::InvalidRequest);
        }
        if self.refuses_new_work() {
            return Err(NotRunReason::Draining);
        }
        if context.depth > bundle.limits.max_depth {
            return Err(NotRunReason::TooDeep);
        }
        let route = bundle
            .resolve(&context.service, &context.path)
            .ok_or(NotRunReason::InvalidRequest)?;
        if !route.repeatable && context.operation.is_none() {
            return Err(NotRunReason::InvalidRequest);
        }
        Ok(())
    }

    fn offer(
        &mut self,
        context: &CallContext,
        importance: Importance,
        actions: &mut Vec<Action>,
    ) -> Result<QueuePlace, NotRunReason> {
        // With a free slot the attempt only passes through the queue, so the length limit is not applied.
        let capacity = self.queue_capacity() + usize::from(!self.must_wait());
        let order = self.service_order();
        let offer = self
            .inbound
            .queue
            .offer(context.attempt, importance, capacity, order);
        match offer {
            Offer::Queued(place) => Ok(place),
            Offer::QueuedInsteadOf(place, displaced) => {
                self.inbound.level.record_shed();
                self.evict(displaced, actions);
                Ok(place)
            }
            Offer::Refused => {
                self.inbound.level.record_shed();
                Err(self.shed(context))
            }
        }
    }

    /// Answers an attempt that the queue has already evicted.
    fn evict(&mut self, id: AttemptId, actions: &mut Vec<Action>) {
        let Some(attempt) = self.inbound.attempts.remove(&id) else {
            return;
        };
        let reason = self.shed(&attempt.context);
        self.end_not_run(attempt, reason, actions);
    }

    /// Current service order within a group of equal importance.
    pub(crate) fn service_order(&self) -> ServiceOrder {
        if self.inbound.level.is_overloaded() {
            ServiceOrder::NewestFirst
        } else {
            ServiceOrder::OldestFirst
        }
    }

    /// Handles a disconnect of the calling daemon.
    pub(crate) fn cancel_attempt(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        actions: &mut Vec<Action>,
    ) {
        self.abort_attempt(now, id, NotRunReason::Cancelled, actions);
        self.fill_slots(now, actions);
    }

    /// Handles an attempt whose deadline has passed.
    pub(crate) fn expire_attempt(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        actions: &mut Vec<Action>,
    ) {
        self.abort_attempt(now, id, NotRunReason::DeadlineExceeded, actions);
        self.fill_slots(now, actions);
    }

    fn abort_attempt(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        reason: NotRunReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.inbound.attempts.remove(&id) else {
            return;
        };
        match attempt.stage {
            Stage::Queued(place) => {
                self.inbound.queue.remove(&place);
                self.end_not_run(attempt, reason, actions);
            }
            Stage::Claiming { until } => self.abort_claim(attempt, until, reason, actions),
            Stage::Running { since } => self.abandon_dispatch(now, attempt, since, actions),
            Stage::Detached { .. } => {
                self.inbound.attempts.insert(id, attempt);
            }
        }
    }
}
