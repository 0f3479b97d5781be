//! Requests of callers while the daemon stops: which are taken, and until when they may be sent and run.

use crate::inbound::dispatch::text;
use crate::outbound::call::Call;
use bramblewheel_decisions::admission::longest_wait;
use bramblewheel_decisions::stop_schedule::{LateDecision, LateRequest};
use bramblewheel_types::{Millis, Timestamp};
use std::time::Duration;

impl Call<'_> {
    /// Whether the request is refused since it might not end before the daemon does.
    pub(super) fn is_refused_by_stop(&self, deadline: Timestamp) -> bool {
        let Some(schedule) = self.shared.stop.schedule() else {
            return false;
        };
        let parents = self.shared.local.parents_of_call(deadline);
        let request = LateRequest {
            deadline,
            has_parent: parents.has_one,
            may_have_parent: parents.may_have_one,
            is_likely_nested: self.is_likely_nested,
        };
        let decision = schedule.decide(self.shared.clock.now(), request);
        if decision != LateDecision::Early {
            slog::info!(self.shared.log, "request while stopping"; "id" => text(&self.id),
                "decision" => decision.as_str(), "is_taken_for_call" => self.is_likely_nested,
                "has_parent" => parents.has_one, "may_have_parent" => parents.may_have_one,
                "left_ms" => Millis::of(deadline.since(self.shared.clock.now())).0);
        }
        decision == LateDecision::Refused
    }

    /// End of the time of what is sent now: that of the request, or that of the daemon if it comes first. It goes along to the
    /// next daemon and to the endpoint, so that neither begins what nobody can wait for.
    pub(super) fn end_of_time(&self, deadline: Timestamp) -> Timestamp {
        let stop = self.shared.stop.schedule();
        stop.map_or(deadline, |schedule| deadline.min(schedule.answers_by))
    }

    /// Whether a caller's request is given back rather than sent again, since the daemon is about to end. A call of the local
    /// endpoint is not: its whole tree would fail with it.
    pub(super) fn is_too_late_to_send(&self) -> bool {
        let stop = self.shared.stop.schedule();
        let is_late = stop.is_some_and(|schedule| self.shared.clock.now() >= schedule.latest_send);
        is_late && !self.is_likely_nested
    }

    /// Longest wait for a place at an endpoint from now on.
    pub(super) fn longest_wait_now(&self, objective: Duration, remaining: Duration) -> Duration {
        let usual = longest_wait(objective, remaining);
        let Some(schedule) = self.shared.stop.schedule() else {
            return usual;
        };
        if self.is_likely_nested {
            return usual;
        }
        usual.min(self.shared.clock.left_until(schedule.latest_send))
    }
}
