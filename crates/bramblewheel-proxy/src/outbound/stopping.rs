//! Applies the schedule of a planned stop to caller requests: which are accepted, and until when they may be sent and
//! run. The schedule and its rule are in [`bramblewheel_decisions::stop_schedule`].

use crate::inbound::dispatch::id_text;
use crate::outbound::caller_request::CallerRequest;
use bramblewheel_decisions::admission::longest_wait;
use bramblewheel_decisions::stop_schedule::{LateDecision, LateRequest};
use bramblewheel_types::{Millis, Timestamp};
use std::time::Duration;

impl CallerRequest<'_> {
    /// Whether the request is refused because it might not finish before the daemon stops.
    pub(super) fn is_refused_by_stop(&self) -> bool {
        let Some(schedule) = self.shared.stop.schedule() else {
            return false;
        };
        let parents = self.shared.local.parents_of_call(self.deadline);
        let request = LateRequest {
            deadline: self.deadline,
            has_parent: parents.has_parent,
            may_have_parent: parents.may_have_parent,
            is_likely_nested: self.is_likely_nested,
        };
        let decision = schedule.decide(self.shared.clock.now(), request);
        if decision != LateDecision::Early {
            slog::info!(self.shared.log, "request while stopping"; "id" => id_text(&self.id),
                "decision" => decision.as_str(), "is_taken_for_call" => self.is_likely_nested,
                "has_parent" => parents.has_parent, "may_have_parent" => parents.may_have_parent,
                "left_ms" => Millis::of(self.deadline.since(self.shared.clock.now())).0);
        }
        decision == LateDecision::Refused
    }

    /// Deadline of an attempt that starts now: the request's, or the daemon's own if it is earlier. It is passed on
    /// to the next daemon and the endpoint, so that neither starts work whose answer can't be awaited.
    pub(super) fn attempt_deadline(&self) -> Timestamp {
        let stop = self.shared.stop.schedule();
        stop.map_or(self.run_deadline, |schedule| {
            self.run_deadline.min(schedule.answers_by)
        })
    }

    /// Whether the daemon is stopping and its latest time for sending requests to endpoints has passed.
    pub(super) fn is_past_latest_send(&self) -> bool {
        let stop = self.shared.stop.schedule();
        stop.is_some_and(|schedule| self.shared.clock.now() >= schedule.latest_send)
    }

    /// Longest wait for a slot at an endpoint from now on. A planned stop doesn't shorten the wait of a nested call,
    /// since its whole call tree would fail with it.
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
