//! Sends attempts and answers calls.

use crate::action::{Action, Answer, AnswerBody};
use crate::context::CallContext;
use crate::engine::Engine;
use crate::feedback::not_run;
use crate::outbound::accept::{Refusal, RootArrival};
use crate::outbound::call::{Call, Evidence, OutstandingAttempt, TokenSource};
use crate::retry::tokens::TokenPool;
use crate::route::choice::{NoChoice, Requirements};
use crate::route::endpoint::Target;
use crate::timers::Timer;
use bramblewheel_types::{AttemptId, CallId, NotRunReason, Outcome, Timestamp};
use rand::Rng;
use std::time::Duration;

/// Load assumed for the retry-after time when all endpoints of a service would shed the call.
const SHED_LOAD_PERCENT: u32 = 400;
/// Divisor for the share of the remaining time reserved at each hop, so that a callee that runs
/// out of time can still answer before its caller stops waiting.
const HOP_MARGIN_DIVISOR: u32 = 64;
/// Longest time reserved at a hop.
const MAX_HOP_MARGIN: Duration = Duration::from_millis(5);

impl Engine {
    /// Sends the next attempt of a call, or ends the call if no endpoint can be chosen.
    pub(crate) fn send_attempt(
        &mut self,
        now: Timestamp,
        id: CallId,
        mut call: Call,
        actions: &mut Vec<Action>,
    ) {
        let target = match self.choose_endpoint(now, &call) {
            Ok(target) => target,
            Err(reason) => {
                self.record_sub_call_level(now, &call);
                return self.end_without_endpoint(id, call, reason, actions);
            }
        };
        let attempt = AttemptId(self.random.next_u64());
        let lent = self.pool_of(&mut call).map_or(0, TokenPool::lend);
        let context = self.context_of(now, id, &call, attempt, lent);
        self.outbound.attempts.insert(attempt, id);
        self.directory.record_sent(now, &target.endpoint);
        self.metrics.attempts_sent += 1;
        if !call.tried.contains(&target.endpoint) {
            call.tried.push(target.endpoint.clone());
        }
        call.current = Some(OutstandingAttempt {
            attempt,
            endpoint: target.endpoint.clone(),
            sent: now,
            lent,
        });
        actions.push(Action::SendAttempt {
            call: id,
            endpoint: target.endpoint,
            address: target.address,
            context,
        });
        self.outbound.calls.insert(id, call);
    }

    /// Records for the parent attempt the admission level of the service it called.
    pub(crate) fn record_sub_call_level(&mut self, now: Timestamp, call: &Call) {
        let Some(parent) = call.parent() else {
            return;
        };
        let level = self.directory.service_level(now, &call.service, call.route);
        if let Some(attempt) = self.inbound.attempts.get_mut(&parent) {
            attempt.sub_call_level = attempt.sub_call_level.max(level);
        }
    }

    /// The token pool of a call; `None` after the parent attempt has ended.
    pub(crate) fn pool_of<'a>(&'a mut self, call: &'a mut Call) -> Option<&'a mut TokenPool> {
        match &mut call.tokens {
            TokenSource::Own(pool) => Some(pool),
            TokenSource::Parent(parent) => self
                .inbound
                .attempts
                .get_mut(parent)
                .map(|attempt| &mut attempt.pool),
        }
    }

    fn choose_endpoint(&mut self, now: Timestamp, call: &Call) -> Result<Target, NotRunReason> {
        let bundle = self.bundle.clone().ok_or(NotRunReason::NotReady)?;
        let policy = bundle
            .service(&call.service)
            .ok_or(NotRunReason::InvalidRequest)?;
        let requirements = Requirements {
            now,
            service: &call.service,
            route: call.route,
            policy: &policy.routing,
            position: call.position,
            tried: &call.tried,
        };
        let choice = self.directory.choose(&requirements, &mut self.random);
        choice.map_err(|none| match none {
            NoChoice::NoEndpoint => NotRunReason::NoEndpoint,
            NoChoice::AllShed => {
                *self.metrics.shed_early.entry(call.criticality).or_default() += 1;
                NotRunReason::Overloaded
            }
        })
    }

    fn context_of(
        &self,
        now: Timestamp,
        id: CallId,
        call: &Call,
        attempt: AttemptId,
        lent: u32,
    ) -> CallContext {
        let remaining = call.deadline.since(now);
        let margin = (remaining / HOP_MARGIN_DIVISOR).min(MAX_HOP_MARGIN);
        CallContext {
            request: call.request,
            call: id,
            attempt,
            service: call.service.clone(),
            path: call.path.clone(),
            criticality: call.criticality,
            deadline: now + (remaining - margin),
            retry_tokens: lent,
            depth: call.depth,
            in_session: call.in_session,
            operation: call.operation.clone(),
            may_have_run: call.evidence != Evidence::NotRun,
            bundle_version: self.bundle_version(),
        }
    }

    fn end_without_endpoint(
        &mut self,
        id: CallId,
        call: Call,
        reason: NotRunReason,
        actions: &mut Vec<Action>,
    ) {
        let refusal = not_run(reason, SHED_LOAD_PERCENT, &mut self.random);
        let outcome = call.evidence.outcome_or(refusal);
        self.end_call(id, call, outcome, AnswerBody::None, actions);
    }

    /// Answers a call that was not accepted.
    pub(crate) fn refuse_call(
        &mut self,
        call: CallId,
        refusal: Refusal,
        root: Option<RootArrival>,
        actions: &mut Vec<Action>,
    ) {
        let mut outcome = not_run(refusal.reason, 100, &mut self.random);
        if let Some(root) = root {
            self.recent_requests.record_end(root.request, true);
            if root.arrival.may_have_run {
                outcome = Outcome::Unknown;
            }
        }
        self.metrics.outbound.record(outcome, refusal.criticality);
        let body = AnswerBody::None;
        actions.push(Action::AnswerCall {
            call,
            answer: Answer { outcome, body },
        });
    }

    /// Answers a call that was already removed from the table.
    pub(crate) fn end_call(
        &mut self,
        id: CallId,
        call: Call,
        outcome: Outcome,
        body: AnswerBody,
        actions: &mut Vec<Action>,
    ) {
        self.timers.clear(call.deadline, Timer::CallDeadline(id));
        if let Some(parent) = call.parent()
            && let Some(running) = self.inbound.attempts.get_mut(&parent)
        {
            running.sub_calls.remove(&id);
            running.has_failed_sub_call |= outcome != Outcome::Completed;
        }
        if call.parent().is_none() {
            self.recent_requests
                .record_end(call.request, outcome.is_not_run());
        }
        self.metrics.outbound.record(outcome, call.criticality);
        actions.push(Action::AnswerCall {
            call: id,
            answer: Answer { outcome, body },
        });
    }
}
