//! Outbound attempts and their connections.

use super::DaemonLayer;
use crate::kernel::ProcessId;
use crate::requests::connections::Acquired;
use crate::requests::content::Content;
use crate::requests::layer::Environment;
use crate::requests::message::{Message, Timer};
use crate::requests::record::Record;
use bramblewheel_bundle::defaults::ROUTING;
use bramblewheel_core::context::CallContext;
use bramblewheel_core::event::{AttemptResult, Event};
use bramblewheel_types::{AttemptId, CallId};

/// An outbound attempt in progress.
#[derive(Clone, Debug)]
pub(super) struct OutAttempt {
    pub(super) to: ProcessId,
    pub(super) context: Box<CallContext>,
    pub(super) content: Content,
    /// Sequence number; increases with each attempt.
    pub(super) number: u64,
    /// Whether the connection is new; if so, a refused connection proves that nothing was sent.
    pub(super) is_new_connection: bool,
    pub(super) state: OutState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutState {
    WaitsForConnection,
    Connecting,
    Sent,
}

impl DaemonLayer {
    pub(super) fn send_attempt(
        &mut self,
        environment: &mut Environment<'_, '_>,
        call: CallId,
        to: ProcessId,
        context: CallContext,
    ) {
        let Some(content) = self.calls.get(&call).map(|call| call.content) else {
            return;
        };
        environment.counters.attempts += 1;
        let attempt = context.attempt;
        let limit = self
            .bundle
            .service(&context.service)
            .map_or(ROUTING.max_connections, |s| s.routing.max_connections);
        self.attempts.insert(
            attempt,
            OutAttempt {
                to,
                context: Box::new(context),
                content,
                number: environment.counters.attempts,
                is_new_connection: false,
                state: OutState::WaitsForConnection,
            },
        );
        self.drop_closed_connections(environment, to);
        let acquired = self.connections.acquire(to, limit, attempt);
        self.use_connection(environment, attempt, acquired);
    }

    /// Drops the idle connections to a process that restarted, since its stop closed them.
    fn drop_closed_connections(&mut self, environment: &Environment<'_, '_>, to: ProcessId) {
        let starts = environment.context.starts_of(to);
        if self.last_seen_starts.insert(to, starts) != Some(starts) {
            self.connections.reset(&to);
        }
    }

    fn use_connection(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
        acquired: Acquired,
    ) {
        let Some(out) = self.attempts.get_mut(&attempt) else {
            return;
        };
        match acquired {
            Acquired::Waits => {}
            Acquired::Opened => {
                out.is_new_connection = true;
                out.state = OutState::Connecting;
                let connect_time = environment.topology.connect_time();
                let timer = Timer::Connected(attempt);
                environment.context.set_timer(connect_time, timer);
            }
            Acquired::Reused => self.write_attempt(environment, attempt),
        }
    }

    pub(super) fn write_attempt(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
    ) {
        let now = environment.context.now();
        let Some(out) = self.attempts.get_mut(&attempt) else {
            return;
        };
        out.state = OutState::Sent;
        let message = Message::Attempt {
            context: out.context.clone(),
            remaining: out.context.deadline.since(now),
            content: out.content,
        };
        environment.context.send(out.to, message);
    }

    fn release(&mut self, environment: &mut Environment<'_, '_>, to: ProcessId, reusable: bool) {
        if let Some((next, acquired)) = self.connections.release(&to, reusable) {
            self.use_connection(environment, next, acquired);
        }
    }

    pub(super) fn cancel_attempt(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
    ) {
        let Some(out) = self.attempts.remove(&attempt) else {
            return;
        };
        if out.state == OutState::WaitsForConnection {
            self.connections.cancel_wait(&out.to, &attempt);
            return;
        }
        if out.state == OutState::Sent {
            let message = Message::AttemptCancelled(attempt);
            environment.context.send(out.to, message);
        }
        self.release(environment, out.to, false);
    }

    pub(super) fn attempt_answered(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
        result: AttemptResult,
        body: Option<Content>,
    ) {
        if let (Some(body), true) = (body, self.attempts.contains_key(&attempt)) {
            self.bodies.insert(attempt, body);
        }
        self.attempt_ended(environment, attempt, result);
        self.bodies.remove(&attempt);
    }

    /// Handles an attempt whose destination accepts no connections.
    pub(super) fn connection_refused(
        &mut self,
        environment: &mut Environment<'_, '_>,
        to: ProcessId,
        context: &CallContext,
    ) {
        self.connections.reset(&to);
        let request = context.request;
        environment
            .context
            .record(Record::ConnectionRefused { request });
        let attempt = context.attempt;
        let is_new_connection = self
            .attempts
            .get(&attempt)
            .is_some_and(|out| out.is_new_connection);
        let result = if is_new_connection {
            AttemptResult::NotSent
        } else {
            AttemptResult::Lost
        };
        self.attempt_ended(environment, attempt, result);
    }

    fn attempt_ended(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
        result: AttemptResult,
    ) {
        let Some(out) = self.attempts.remove(&attempt) else {
            return;
        };
        let is_answered = matches!(result, AttemptResult::Answered { .. });
        self.release(environment, out.to, is_answered);
        self.submit(environment, Event::AttemptEnded { attempt, result });
    }
}
