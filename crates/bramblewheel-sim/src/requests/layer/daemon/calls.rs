//! Outbound calls by callers and by runs of the endpoint: start, answer and cancellation.

use super::DaemonLayer;
use crate::kernel::ProcessId;
use crate::requests::content::Content;
use crate::requests::double::UnsafeDouble;
use crate::requests::endpoint::RunKey;
use crate::requests::layer::Environment;
use crate::requests::message::{CallerAnswer, Message, RootRequest, SendId, SessionClaim, Timer};
use crate::requests::record::Record;
use bramblewheel_core::action::Answer;
use bramblewheel_core::context::{CallOrigin, CallRequest};
use bramblewheel_core::event::Event;
use bramblewheel_types::{AttemptId, CallId, Outcome, Timestamp};

/// Origin of a call.
#[derive(Clone, Copy, Debug)]
pub(super) enum Owner {
    Caller {
        process: ProcessId,
        send: SendId,
        deadline: Timestamp,
    },
    Run(RunKey),
}

/// An outbound call in progress.
#[derive(Clone, Debug)]
pub(super) struct OutCall {
    pub(super) owner: Owner,
    pub(super) content: Content,
    /// Token of the session that the call opened.
    pub(super) session_token: Option<String>,
    pub(super) session_refused: bool,
    /// Number of the attempt, for the double that retries at every hop.
    pub(super) attempt_number: u32,
    pub(super) request: Option<CallRequest>,
}

impl DaemonLayer {
    pub(super) fn handle_request(
        &mut self,
        environment: &mut Environment<'_, '_>,
        from: ProcessId,
        root: RootRequest,
    ) {
        let now = environment.context.now();
        let (session_token, is_in_session) = match &root.session {
            SessionClaim::None => (None, false),
            SessionClaim::Assumed => (None, true),
            SessionClaim::Open => {
                let random = environment.context.random();
                (Some(self.sessions.open(now, random)), false)
            }
            SessionClaim::Token(token) => (None, self.sessions.is_valid(token)),
        };
        let call = OutCall {
            owner: Owner::Caller {
                process: from,
                send: root.send,
                deadline: now + root.timeout,
            },
            content: Content::Root(root.send),
            session_token,
            session_refused: matches!(root.session, SessionClaim::Token(_)) && !is_in_session,
            attempt_number: 1,
            request: None,
        };
        let route = &environment.topology.routes[root.route.0];
        let request = CallRequest {
            service: environment.topology.services[route.service.0].name.clone(),
            path: route.path.clone(),
            origin: CallOrigin::Root {
                request: root.request,
                resend: root.resend,
                caller: root.caller,
                criticality: root.criticality,
                in_session: is_in_session,
            },
            timeout: Some(root.timeout),
            operation: root.operation,
            fingerprint: 0,
        };
        self.begin_call(environment, call, request);
    }

    pub(super) fn begin_sub_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        run: RunKey,
        position: usize,
    ) {
        let Some(parent) = environment.endpoint.as_ref().and_then(|e| e.run(run)) else {
            return;
        };
        let attempt = AttemptId(parent.request.attempt);
        let content = Content::SubCall {
            run: parent.id,
            position: position as u32,
        };
        let route = environment.topology.routes[parent.request.route.0].calls[position];
        let route = &environment.topology.routes[route.0];
        let request = CallRequest {
            service: environment.topology.services[route.service.0].name.clone(),
            path: route.path.clone(),
            origin: CallOrigin::SubCall { parent: attempt },
            timeout: None,
            operation: None,
            fingerprint: content.fingerprint(),
        };
        let call = OutCall {
            owner: Owner::Run(run),
            content,
            session_token: None,
            session_refused: false,
            attempt_number: 1,
            request: None,
        };
        self.begin_call(environment, call, request);
    }

    fn begin_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        call: OutCall,
        request: CallRequest,
    ) {
        environment.counters.calls += 1;
        self.next_call += 1;
        let id = CallId(self.next_call);
        if let Owner::Caller { send, .. } = call.owner {
            self.sends.insert(send, id);
        }
        let keeps_request = self.is_double(UnsafeDouble::RetryPerHop);
        let call = OutCall {
            request: keeps_request.then(|| request.clone()),
            ..call
        };
        self.calls.insert(id, call);
        self.submit(environment, Event::OutboundCall { call: id, request });
    }

    pub(super) fn answer_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        id: CallId,
        answer: &Answer,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if self.retries_call(&call, answer.outcome) {
            return;
        }
        let body = self.body_of(&answer.body);
        match call.owner {
            Owner::Caller {
                process,
                send,
                deadline,
            } => {
                self.sends.remove(&send);
                let answer = CallerAnswer {
                    send,
                    outcome: self.reported_outcome(answer.outcome),
                    body,
                    session_token: call.session_token,
                    session_refused: call.session_refused,
                };
                self.answer_caller(environment, process, deadline, answer);
            }
            Owner::Run(run) => {
                self.end_sub_call(environment, run, call.content, answer.outcome, body);
            }
        }
    }

    fn answer_caller(
        &mut self,
        environment: &mut Environment<'_, '_>,
        process: ProcessId,
        deadline: Timestamp,
        answer: CallerAnswer,
    ) {
        if self.is_double(UnsafeDouble::ParkedRefusals) && answer.outcome.is_not_run() {
            let number = answer.send.0;
            self.parked_refusals.push((process, answer));
            return environment
                .context
                .set_timer_at(deadline, Timer::Parked(number));
        }
        let message = Message::Answer(Box::new(answer));
        if self.is_double(UnsafeDouble::AnswerTwice) {
            environment.context.send(process, message.clone());
        }
        environment.context.send(process, message);
    }

    fn end_sub_call(
        &mut self,
        environment: &mut Environment<'_, '_>,
        run: RunKey,
        content: Content,
        outcome: Outcome,
        answered: Option<Content>,
    ) {
        if let Content::SubCall { run, position } = content {
            environment.context.record(Record::SubCallTold {
                run,
                position,
                outcome,
                answered,
            });
        }
        environment.end_sub_call(run, outcome == Outcome::Completed);
    }

    pub(super) fn cancel_call(&mut self, environment: &mut Environment<'_, '_>, send: SendId) {
        let Some(call) = self.sends.remove(&send) else {
            return;
        };
        self.calls.remove(&call);
        self.submit(environment, Event::OutboundCancelled { call });
    }
}
