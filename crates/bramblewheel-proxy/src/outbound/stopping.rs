//! Caller requests while the daemon stops: which are taken, and until when they may be sent and run.
//!
//! The times and the rule stand in [`bramblewheel_decisions::stop_schedule`]; here they are asked for one request.

use crate::inbound::dispatch::text;
use crate::outbound::caller_request::CallerRequest;
use bramblewheel_decisions::admission::longest_wait;
use bramblewheel_decisions::stop_schedule::{LateDecision, LateRequest};
use bramblewheel_types::{Millis, Timestamp};
use std::time::Duration;

impl CallerRequest<'_> {
    /// Whether the request is refused since it might not end before the daemon does.
    pub(super) fn is_refused_by_stop(&self) -> bool {
        let Some(schedule) = self.shared.stop.schedule() else {
            return false;
        };
        let parents = self.shared.local.parents_of_call(self.deadline);
        let request = LateRequest {
            deadline: self.deadline,
            has_parent: parents.has_one,
            may_have_parent: parents.may_have_one,
            is_likely_nested: self.is_likely_nested,
        };
        let decision = schedule.decide(self.shared.clock.now(), request);
        if decision != LateDecision::Early {
            slog::info!(self.shared.log, "request while stopping"; "id" => text(&self.id),
                "decision" => decision.as_str(), "is_taken_for_call" => self.is_likely_nested,
                "has_parent" => parents.has_one, "may_have_parent" => parents.may_have_one,
                "left_ms" => Millis::of(self.deadline.since(self.shared.clock.now())).0);
        }
        decision == LateDecision::Refused
    }

    /// Deadline of an attempt that begins now: that of the request, or that of the daemon if it comes first. It
    /// goes along to the next daemon and to the endpoint, so that neither begins what nobody can wait for.
    pub(super) fn attempt_deadline(&self) -> Timestamp {
        let stop = self.shared.stop.schedule();
        stop.map_or(self.deadline, |schedule| {
            self.deadline.min(schedule.answers_by)
        })
    }

    /// Whether the daemon stops and the time has passed until which it sends requests to endpoints.
    pub(super) fn is_past_latest_send(&self) -> bool {
        let stop = self.shared.stop.schedule();
        stop.is_some_and(|schedule| self.shared.clock.now() >= schedule.latest_send)
    }

    /// Longest wait for a slot at an endpoint from now on. A nested call waits as long as ever: its whole tree
    /// would fail with it.
    pub(super) fn longest_wait_now(&self, objective: Duration, remaining: Duration) -> Duration {
        let usual = longest_wait(objective, remaining);
        let Some(schedule) = self.shared.stop.schedule() else {
            return usual;
        };
        if self.is_likely_nested {
            return usual;
        }
        usual.min(self.shared.clock.remaining_until(schedule.latest_send))
    }
}
