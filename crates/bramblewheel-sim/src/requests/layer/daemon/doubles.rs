//! Behaviour of the unsafe doubles where they differ from the daemon.

use super::DaemonLayer;
use super::attempts::OutState;
use super::calls::OutCall;
use crate::kernel::ProcessId;
use crate::requests::double::UnsafeDouble;
use crate::requests::layer::Environment;
use crate::requests::message::Message;
use crate::requests::record::Record;
use bramblewheel_core::event::{Event, Feedback};
use bramblewheel_types::{AttemptId, CallId, Millis, NotRunReason, Outcome};

/// Number of inbound attempts from which the double that sheds the newest refuses.
const SHED_BEYOND: usize = 4;
/// Attempts of each call by the double that retries at every hop.
const ATTEMPTS_PER_HOP: u32 = 3;

impl DaemonLayer {
    pub(super) fn is_double(&self, double: UnsafeDouble) -> bool {
        self.double == Some(double)
    }

    pub(super) fn reported_outcome(&self, outcome: Outcome) -> Outcome {
        if outcome == Outcome::Unknown && self.is_double(UnsafeDouble::NotRunOnTimeout) {
            return Outcome::NotRun {
                reason: NotRunReason::Unreachable,
                retry_after: Millis(0),
            };
        }
        outcome
    }

    /// Starts another attempt of a failed call for the double that retries at every hop; returns whether
    /// it did.
    pub(super) fn retries_call(&mut self, call: &OutCall, outcome: Outcome) -> bool {
        let may_retry =
            self.is_double(UnsafeDouble::RetryPerHop) && call.attempt_number < ATTEMPTS_PER_HOP;
        let Some(mut request) = call.request.clone() else {
            return false;
        };
        if !may_retry || outcome == Outcome::Completed {
            return false;
        }
        // With the same fingerprint, the engine would treat the call as a repeat.
        request.fingerprint += 1 << 32;
        self.next_call += 1;
        let id = CallId(self.next_call);
        let retry = OutCall {
            attempt_number: call.attempt_number + 1,
            request: Some(request.clone()),
            ..call.clone()
        };
        self.calls.insert(id, retry);
        self.events
            .push_back(Event::OutboundCall { call: id, request });
        true
    }

    /// Whether the double that sheds the newest refuses the next attempt.
    pub(super) fn sheds_newest(&self) -> bool {
        self.is_double(UnsafeDouble::ShedNewest) && self.inbound.len() >= SHED_BEYOND
    }

    /// The attempt that an answer is assigned to.
    pub(super) fn match_attempt(&self, from: ProcessId, carried: AttemptId) -> AttemptId {
        if !self.is_double(UnsafeDouble::MatchByOrder) {
            return carried;
        }
        let waiting = self.attempts.iter();
        let waiting = waiting.filter(|(_, out)| out.to == from && out.state == OutState::Sent);
        let oldest = waiting.min_by_key(|(_, out)| out.number);
        oldest.map_or(carried, |(attempt, _)| *attempt)
    }

    pub(super) fn send_parked_refusal(
        &mut self,
        environment: &mut Environment<'_, '_>,
        number: u64,
    ) {
        let position = self
            .parked_refusals
            .iter()
            .position(|(_, a)| a.send.0 == number);
        if let Some(position) = position {
            let (process, answer) = self.parked_refusals.swap_remove(position);
            environment
                .context
                .send(process, Message::Answer(Box::new(answer)));
        }
    }
}

/// Refuses an attempt as overloaded, bypassing the engine.
pub(super) fn refuse_overloaded(
    environment: &mut Environment<'_, '_>,
    to: ProcessId,
    attempt: AttemptId,
) {
    let outcome = Outcome::NotRun {
        reason: NotRunReason::Overloaded,
        retry_after: Millis(0),
    };
    environment.record_at_endpoint(|endpoint| Record::Replied {
        endpoint,
        attempt,
        outcome,
    });
    let message = Message::AttemptAnswer {
        attempt,
        outcome,
        feedback: Feedback::default(),
        body: None,
    };
    environment.context.send(to, message);
}
