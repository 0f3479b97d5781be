//! Accepts calls and determines their deadline, class, retry tokens and caller.

use crate::action::Action;
use crate::cohort::shedding_position;
use crate::context::{CallOrigin, CallRequest};
use crate::engine::Engine;
use crate::inbound::service_time::route_number;
use crate::outbound::MAX_CALLS;
use crate::outbound::call::{Call, Evidence, TokenSource};
use crate::retry::resend::Arrival;
use crate::retry::tokens::TokenPool;
use crate::timers::Timer;
use bramblewheel_bundle::Bundle;
use bramblewheel_bundle::model::ResolvedRoute;
use bramblewheel_types::{AttemptId, CallId, Criticality, NotRunReason, RequestId, Timestamp};
use std::sync::Arc;
use std::time::Duration;

/// Key of the retry ratio budget for sub-calls of the local endpoint.
const LOCAL_CALLER: &str = "local-endpoint";

/// Length to which a caller's name is truncated, in characters.
const MAX_CALLER_LENGTH: usize = 64;
/// Longest time-out that a caller may request.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Values that a call inherits from its origin.
struct Inherited {
    criticality: Criticality,
    in_session: bool,
    deadline: Timestamp,
    depth: u8,
    tokens: TokenSource,
    caller: String,
    request: RequestId,
    may_have_run: bool,
}

/// Arrival of a root call, recorded among the sends of its request.
#[derive(Clone, Copy)]
pub(crate) struct RootArrival {
    pub(crate) request: RequestId,
    pub(crate) arrival: Arrival,
}

/// Refusal of a call that was not accepted.
pub(crate) struct Refusal {
    pub(crate) reason: NotRunReason,
    pub(crate) criticality: Criticality,
}

impl Engine {
    pub(crate) fn accept_call(
        &mut self,
        now: Timestamp,
        id: CallId,
        request: CallRequest,
        actions: &mut Vec<Action>,
    ) {
        if self.outbound.calls.contains_key(&id) {
            return;
        }
        let arrival = self.record_root_arrival(&request.origin);
        match self.build_call(now, request, arrival) {
            Ok(call) => self.begin_call(now, id, call, actions),
            Err(refusal) => self.refuse_call(id, refusal, arrival, actions),
        }
    }

    /// Records the arrival of a root call.
    fn record_root_arrival(&mut self, origin: &CallOrigin) -> Option<RootArrival> {
        let CallOrigin::Root {
            request, resend, ..
        } = origin
        else {
            return None;
        };
        Some(RootArrival {
            request: *request,
            arrival: self.recent_requests.record_arrival(*request, *resend),
        })
    }

    fn begin_call(&mut self, now: Timestamp, id: CallId, call: Call, actions: &mut Vec<Action>) {
        self.timers.set(call.deadline, Timer::CallDeadline(id));
        if let Some(parent) = call.parent()
            && let Some(running) = self.inbound.attempts.get_mut(&parent)
        {
            running.sub_calls.insert(id);
        }
        let ratio_percent = self.limits().retry_ratio_percent;
        self.ratios
            .record_first_attempt(&call.caller, &call.service, ratio_percent);
        self.send_attempt(now, id, call, actions);
    }

    fn build_call(
        &mut self,
        now: Timestamp,
        request: CallRequest,
        root: Option<RootArrival>,
    ) -> Result<Call, Refusal> {
        let unknown_class = |reason| Refusal {
            reason,
            criticality: Criticality::default(),
        };
        let bundle = self
            .bundle
            .clone()
            .ok_or(unknown_class(NotRunReason::NotReady))?;
        let route = bundle
            .resolve(&request.service, &request.path)
            .ok_or(unknown_class(NotRunReason::InvalidRequest))?;
        let refused = |reason| Refusal {
            reason,
            criticality: route.criticality,
        };
        if self.outbound.calls.len() >= MAX_CALLS {
            return Err(refused(NotRunReason::Overloaded));
        }
        if !route.repeatable && request.operation.is_none() {
            return Err(refused(NotRunReason::InvalidRequest));
        }
        let inherited = self
            .inherit(now, &bundle, &route, &request, root)
            .map_err(refused)?;
        if inherited.depth > bundle.limits.max_depth {
            return Err(refused(NotRunReason::TooDeep));
        }
        let position = shedding_position(
            inherited.criticality,
            inherited.in_session,
            inherited.request,
        );
        Ok(Call {
            request: inherited.request,
            route: route_number(&bundle, &request.service, &request.path),
            service: request.service,
            path: request.path,
            criticality: inherited.criticality,
            in_session: inherited.in_session,
            position,
            deadline: inherited.deadline,
            depth: inherited.depth,
            operation: request.operation,
            tokens: inherited.tokens,
            caller: inherited.caller,
            tried: Vec::new(),
            free_reroutes: 0,
            evidence: if inherited.may_have_run {
                Evidence::Unknown
            } else {
                Evidence::NotRun
            },
            current: None,
        })
    }

    fn inherit(
        &mut self,
        now: Timestamp,
        bundle: &Arc<Bundle>,
        route: &ResolvedRoute,
        request: &CallRequest,
        root: Option<RootArrival>,
    ) -> Result<Inherited, NotRunReason> {
        match &request.origin {
            CallOrigin::Root { .. } => self.inherit_root(now, bundle, route, request, root),
            CallOrigin::SubCall { parent } => self.inherit_sub_call(now, *parent, route, request),
        }
    }

    fn inherit_root(
        &mut self,
        now: Timestamp,
        bundle: &Arc<Bundle>,
        route: &ResolvedRoute,
        call: &CallRequest,
        root: Option<RootArrival>,
    ) -> Result<Inherited, NotRunReason> {
        let CallOrigin::Root {
            request,
            caller,
            criticality,
            in_session,
            ..
        } = &call.origin
        else {
            return Err(NotRunReason::InvalidRequest);
        };
        if self.is_draining {
            return Err(NotRunReason::Draining);
        }
        let is_resend = root.is_some_and(|root| root.arrival.is_resend);
        let caller = caller.chars().take(MAX_CALLER_LENGTH).collect();
        if is_resend {
            self.metrics.resends += 1;
            if !self.ratios.withdraw(&caller, &call.service) {
                self.metrics.retries_over_ratio += 1;
                return Err(NotRunReason::RetryBudgetExhausted);
            }
        }
        let tokens = if is_resend {
            0
        } else {
            bundle.limits.retry_tokens
        };
        let stated = criticality.unwrap_or(route.criticality);
        Ok(Inherited {
            criticality: stated.min(route.criticality),
            in_session: *in_session,
            deadline: now + timeout_of(call, route),
            depth: 1,
            tokens: TokenSource::Own(TokenPool::new(tokens)),
            caller,
            request: *request,
            may_have_run: root.is_some_and(|root| root.arrival.may_have_run),
        })
    }

    fn inherit_sub_call(
        &mut self,
        now: Timestamp,
        parent: AttemptId,
        route: &ResolvedRoute,
        call: &CallRequest,
    ) -> Result<Inherited, NotRunReason> {
        // A call without a running parent is refused; treating it as a root would grant it fresh tokens.
        let running = self
            .inbound
            .attempts
            .get_mut(&parent)
            .filter(|attempt| attempt.is_running())
            .ok_or(NotRunReason::InvalidRequest)?;
        running.has_sub_calls = true;
        let is_repeat = !running.record_sub_call(&call.service, call.fingerprint);
        if is_repeat {
            self.metrics.application_repeats += 1;
            if !running.pool.spend() {
                return Err(NotRunReason::RetryBudgetExhausted);
            }
            self.metrics.retry_tokens_spent += 1;
        }
        let context = &running.context;
        Ok(Inherited {
            criticality: context.criticality,
            in_session: context.in_session,
            deadline: context.deadline.min(now + timeout_of(call, route)),
            depth: context.depth.saturating_add(1),
            tokens: TokenSource::Parent(parent),
            caller: LOCAL_CALLER.to_owned(),
            request: context.request,
            may_have_run: is_repeat || context.may_have_run,
        })
    }
}

/// How long the caller waits for the answer.
fn timeout_of(call: &CallRequest, route: &ResolvedRoute) -> Duration {
    let timeout = call.timeout.unwrap_or_else(|| route.deadline.into());
    timeout.min(MAX_TIMEOUT)
}
