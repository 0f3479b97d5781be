//! Whether a request is sent once more after a send that ended without a success.

use crate::http::exchange::Outgoing;
use crate::inbound::dispatch::text;
use crate::outbound::call::Call;
use crate::outbound::ending::is_proved_not_run;
use crate::wire::AttemptResult;
use bramblewheel_decisions::retry_bound::{RetryDecision, RetryReason};
use bramblewheel_decisions::tenants::is_most_important;
use bramblewheel_process::invariants::lock;
use bramblewheel_types::{ServiceName, Timestamp};
use std::time::Duration;

/// Sends after an endpoint or its daemon was not there; they cost nobody anything.
const MAX_FREE_REROUTES: u32 = 3;
/// Sends after a daemon had no room; in an overload each costs two daemons some work.
const MAX_REROUTES_WHEN_FULL: u32 = 2;
/// The same where most endpoints of the service refuse.
const MAX_REROUTES_WHEN_WIDELY_FULL: u32 = 1;
/// Sends of one request to endpoints that rejected it. With five of them a call ends at 0.95 of the times
/// where endpoints reject 0.55 of all they get, and four calls in a row at 0.82; with two, at 0.24.
const MAX_SENDS_WHEN_REJECTED: u32 = 5;
/// Mean share of failures of a service's endpoints up to which a request that failed is sent again.
const RARE_FAILURES: f64 = 0.2;
/// Time without which another send is not worth its cost.
const LEAST_TIME_TO_RETRY: Duration = Duration::from_millis(20);

/// Counts of one call.
#[derive(Default)]
pub(super) struct Counts {
    /// Sends that reached an endpoint or may have.
    pub(super) arrivals: u32,
    free_reroutes: u32,
    found_full: u32,
    /// Time that it has waited at endpoints' daemons that had no room in the end.
    pub(super) waited: Duration,
}

impl Call<'_> {
    /// Whether several endpoints ended under the request's content.
    fn is_suspect(&self) -> bool {
        self.shared.quarantine().is_watched(self.content)
    }

    /// Whether another send is allowed after one that ended without an answer; pays for it.
    pub(super) fn may_try_again(
        &self,
        service: &ServiceName,
        result: AttemptResult,
        outgoing: &Outgoing,
        counts: &mut Counts,
        deadline: Timestamp,
    ) -> bool {
        let left = self.shared.clock.left_until(deadline);
        if !outgoing.body.is_whole() || left < LEAST_TIME_TO_RETRY {
            return false;
        }
        match result {
            AttemptResult::Quarantined => return false,
            // The next endpoint might end under it as others did; its caller may try again once it is known
            // what they ended under.
            AttemptResult::Lost | AttemptResult::Silent if self.is_suspect() => return false,
            AttemptResult::Leaving | AttemptResult::Unreachable => {
                counts.free_reroutes += 1;
                return counts.free_reroutes <= MAX_FREE_REROUTES;
            }
            AttemptResult::Full => {
                counts.found_full += 1;
                let most = if self.is_widely_refused() {
                    MAX_REROUTES_WHEN_WIDELY_FULL
                } else {
                    MAX_REROUTES_WHEN_FULL
                };
                return counts.found_full <= most;
            }
            _ => {}
        }
        counts.arrivals += 1;
        let route = &self.route.route;
        let may_run_again = route.is_repeatable || is_proved_not_run(result);
        // An endpoint that has rejected a request may be sent it again: it is no further endpoint. Worth it
        // for calls only, whose rejection wastes the work of their whole tree.
        let most = if result == AttemptResult::Rejected && self.is_likely_nested {
            route.max_attempts.max(MAX_SENDS_WHEN_REJECTED)
        } else {
            route.max_attempts
        };
        if !may_run_again || counts.arrivals >= most {
            return false;
        }
        let Some(reason) = self.retry_reason(service, result) else {
            return false;
        };
        let now = self.shared.clock.now();
        let mut routing = self.shared.routing();
        let bound = &mut routing.retry_bound;
        let decision = bound.decide_retry(now, service, self.class, reason);
        drop(routing);
        self.note_retry(service, result, &decision);
        decision == RetryDecision::Allowed
    }

    /// Why the request is to be sent again; none if that would help nobody.
    fn retry_reason(&self, service: &ServiceName, result: AttemptResult) -> Option<RetryReason> {
        if result != AttemptResult::Answered {
            let is_important = is_most_important(self.root_rank);
            return Some(RetryReason::Unanswered { is_important });
        }
        // All its calls would be made again, of which one has just found no room.
        if lock(&self.last_report).short_downstream.is_some() {
            return None;
        }
        let now = self.shared.clock.now();
        let failed = self.shared.routing().directory.failed_share(now, service);
        // Where many fail the cause lies deeper, and a repeat adds to it.
        (failed < RARE_FAILURES).then_some(RetryReason::Failed)
    }

    fn note_retry(&self, service: &ServiceName, after: AttemptResult, decision: &RetryDecision) {
        let metrics = &self.shared.metrics;
        match decision {
            RetryDecision::Allowed => metrics.retry(service, after),
            RetryDecision::UsedDownstream { part } => {
                metrics.over_budget(service, after);
                slog::info!(self.shared.log, "repeat refused"; "id" => text(&self.id),
                    "service" => %service, "used_below" => format_args!("{part:.2}"));
            }
            RetryDecision::UsedUp(bound) => {
                metrics.over_budget(service, after);
                slog::info!(self.shared.log, "repeat refused"; "id" => text(&self.id),
                    "service" => %service, "used" => format_args!("{:.1}", bound.used()),
                    "calls_of_repeats" => format_args!("{:.1}", bound.calls_of_retried_runs),
                    "allowed" => format_args!("{:.1}", bound.allowed),
                    "root_rank" => self.root_rank);
            }
        }
    }
}
