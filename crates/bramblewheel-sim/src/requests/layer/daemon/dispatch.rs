//! Dispatches events of the simulator to the handlers of a daemon.

use super::DaemonLayer;
use super::directory::{called_services, directory};
use crate::kernel::ProcessId;
use crate::requests::double::UnsafeDouble;
use crate::requests::endpoint::{RunKey, RunRequest};
use crate::requests::layer::{Environment, Instruction, Layer};
use crate::requests::message::{Message, Timer};
use crate::requests::record::Record;
use bramblewheel_core::event::{AttemptResult, Event};
use bramblewheel_types::Timestamp;
use std::sync::Arc;

impl Layer for DaemonLayer {
    fn start(&mut self, environment: &mut Environment<'_, '_>) {
        let bundle = Arc::clone(&self.bundle);
        self.submit(environment, Event::BundleInstalled(bundle));
        let called = called_services(environment.topology, self.endpoint);
        let update = directory(environment.topology, environment.layout, &called);
        self.submit(environment, Event::DirectoryUpdated(update));
        self.submit_load_report(environment);
    }

    fn receive(
        &mut self,
        environment: &mut Environment<'_, '_>,
        from: ProcessId,
        message: Message,
    ) {
        match message {
            Message::Request(root) => self.handle_request(environment, from, *root),
            Message::CallerDisconnected(send) => self.cancel_call(environment, send),
            Message::Attempt {
                context,
                remaining,
                content,
            } => self.inbound_call(environment, from, *context, remaining, content),
            Message::AttemptAnswer {
                attempt,
                outcome,
                feedback,
                body,
            } => {
                let attempt = self.match_attempt(from, attempt);
                let result = AttemptResult::Answered { outcome, feedback };
                self.attempt_answered(environment, attempt, result, body);
            }
            Message::AttemptCancelled(attempt) if self.inbound.contains_key(&attempt) => {
                environment.record_at_endpoint(|endpoint| Record::Withdrawn { endpoint, attempt });
                self.submit(environment, Event::InboundCancelled { attempt });
            }
            Message::LedgerAnswer {
                attempt,
                key,
                answer,
            } => {
                let was_pending = self.ledger.handle_answer(attempt, &key, answer.is_some());
                if let (true, Some(answer)) = (was_pending, answer) {
                    self.submit(environment, Event::ClaimAnswered { attempt, answer });
                }
            }
            Message::ControlReply(reply) => {
                let answered = self.ledger.handle_reply(environment, *reply);
                if let Some((attempt, answer)) = answered {
                    self.submit(environment, Event::ClaimAnswered { attempt, answer });
                }
            }
            _ => {}
        }
    }

    fn timer(&mut self, environment: &mut Environment<'_, '_>, timer: Timer) {
        match timer {
            Timer::Tick if environment.context.now() >= self.armed => {
                self.armed = Timestamp::NEVER;
                self.submit(environment, Event::Tick);
            }
            Timer::Report => self.submit_load_report(environment),
            Timer::Connected(attempt) => self.write_attempt(environment, attempt),
            Timer::RepeatLedger => self.ledger.repeat(environment),
            Timer::LingerEnded => environment.context.exit(self.restarts_after),
            Timer::Parked(number) => self.send_parked_refusal(environment, number),
            _ => {}
        }
    }

    fn undelivered(
        &mut self,
        environment: &mut Environment<'_, '_>,
        to: ProcessId,
        message: Message,
    ) {
        if let Message::Attempt { context, .. } = message {
            self.connection_refused(environment, to, &context);
        }
    }

    fn sub_call(&mut self, environment: &mut Environment<'_, '_>, run: RunKey, position: usize) {
        self.begin_sub_call(environment, run, position);
    }

    fn run_ended(
        &mut self,
        environment: &mut Environment<'_, '_>,
        _run: RunKey,
        request: &RunRequest,
        is_success: bool,
    ) {
        self.end_dispatch(environment, request, is_success);
    }

    fn instruct(&mut self, environment: &mut Environment<'_, '_>, instruction: Instruction) {
        match instruction {
            Instruction::Install(bundle) => {
                self.bundle = Arc::clone(&bundle);
                self.submit(environment, Event::BundleInstalled(bundle));
            }
            Instruction::Directory(update) => {
                self.submit(environment, Event::DirectoryUpdated(update));
            }
            Instruction::SignSessionsWith(number) => self.sessions.set_signing_key(number),
            Instruction::StopPlanned { downtime } => {
                if self.is_double(UnsafeDouble::StopWithoutDrain) {
                    return environment.context.exit(Some(downtime));
                }
                self.restarts_after = Some(downtime);
                self.submit(environment, Event::DrainRequested);
            }
        }
    }
}
