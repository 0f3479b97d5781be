//! Drives the engine: feeds it events and executes its actions.

use super::DaemonLayer;
use crate::requests::content::Content;
use crate::requests::double::UnsafeDouble;
use crate::requests::layer::Environment;
use crate::requests::message::{Message, Timer};
use crate::requests::process_layout::ProcessLayout;
use crate::requests::record::Record;
use bramblewheel_core::action::{Action, Answer, AnswerBody};
use bramblewheel_core::event::{ClaimAnswer, Event, Feedback, LedgerRequest};
use bramblewheel_types::{AttemptId, Timestamp};
use std::time::Duration;

/// Time from the end of the drain to the exit of the process; same value as in the real daemon.
const DRAIN_LINGER: Duration = Duration::from_secs(1);

impl DaemonLayer {
    pub(super) fn submit(&mut self, environment: &mut Environment<'_, '_>, event: Event) {
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            let now = environment.context.now();
            self.engine.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(environment, action);
            }
        }
        self.arm(environment);
    }

    fn arm(&mut self, environment: &mut Environment<'_, '_>) {
        let due = self.engine.next_wakeup().unwrap_or(Timestamp::NEVER);
        if due < self.armed {
            self.armed = due;
            environment.context.set_timer_at(due, Timer::Tick);
        }
    }

    fn execute(&mut self, environment: &mut Environment<'_, '_>, action: Action) {
        match action {
            Action::SendAttempt {
                call,
                address,
                context,
                ..
            } => {
                let to = ProcessLayout::process_at(address);
                self.send_attempt(environment, call, to, context);
            }
            Action::CancelAttempt { attempt } => self.cancel_attempt(environment, attempt),
            Action::AnswerCall { call, answer } => {
                self.answer_call(environment, call, &answer);
            }
            Action::Dispatch { attempt } => self.dispatch(environment, attempt),
            Action::CancelDispatch { attempt } => {
                if let Some(run) = self.runs.remove(&attempt) {
                    environment.cancel_run(run);
                }
            }
            Action::AnswerAttempt {
                attempt,
                answer,
                feedback,
            } => self.answer_attempt(environment, attempt, &answer, feedback),
            Action::Ledger { attempt, request } => {
                self.send_ledger_request(environment, attempt, request);
            }
            Action::Drained => self.linger_if_stopping(environment),
        }
    }

    fn linger_if_stopping(&mut self, environment: &mut Environment<'_, '_>) {
        if self.restarts_after.is_some() {
            environment
                .context
                .set_timer(DRAIN_LINGER, Timer::LingerEnded);
        }
    }

    fn answer_attempt(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
        answer: &Answer,
        feedback: Feedback,
    ) {
        let Some((from, _)) = self.inbound.remove(&attempt) else {
            return;
        };
        let outcome = answer.outcome;
        environment.record_at_endpoint(|endpoint| Record::Replied {
            endpoint,
            attempt,
            outcome,
        });
        let message = Message::AttemptAnswer {
            attempt,
            outcome,
            feedback,
            body: self.body_of(&answer.body),
        };
        environment.context.send(from, message);
    }

    fn send_ledger_request(
        &mut self,
        environment: &mut Environment<'_, '_>,
        attempt: AttemptId,
        request: LedgerRequest,
    ) {
        if matches!(request, LedgerRequest::Claim { .. }) {
            environment.record_at_endpoint(|endpoint| Record::Claimed { endpoint, attempt });
            if self.is_double(UnsafeDouble::ClaimAfterDispatch) {
                let answer = ClaimAnswer::Granted;
                self.events
                    .push_back(Event::ClaimAnswered { attempt, answer });
            }
        }
        self.ledger.send_request(environment, attempt, request);
    }

    pub(super) fn body_of(&self, body: &AnswerBody) -> Option<Content> {
        match body {
            AnswerBody::FromAttempt(attempt) => self.bodies.get(attempt).copied(),
            AnswerBody::Stored(stored) => Content::decode(stored.body.as_deref()?),
            AnswerBody::None => None,
        }
    }
}
