//! Retries: what happens to a request after an attempt without a success.
//!
//! A request is attempted again only if that can help its caller and does no harm: time is left, it has not run or may
//! run twice, and the bound on retries is not used up at its service or downstream. [`after_failure`] decides on
//! everything but that bound. After [`AfterFailure::Retry`] the caller of the function asks
//! [`RetryBound::decide_retry`](crate::retry_bound::RetryBound::decide_retry), which counts the retry if it allows it;
//! [`GiveUp::from_bound`] gives the reason of its refusal.
//!
//! Observability: log line `attempt failed` (`again`, `reason`); metrics `bramblewheel_repeats_total` and
//! `bramblewheel_over_budget_total` (label `after`).

use crate::attempt_result::AttemptResult;
use crate::exemption::is_exempt;
use crate::retry_bound::{RetryDecision, RetryReason};
use std::time::Duration;

/// Most reroutes of a request because an endpoint or its daemon was unavailable. They cost only the caller's time.
const MAX_REROUTES_WHEN_UNAVAILABLE: u32 = 3;
/// Most reroutes because a daemon had no slot; in an overload each costs two daemons some work.
const MAX_REROUTES_WHEN_FULL: u32 = 2;
/// The same if most endpoints of the service refuse. On virtual time (280 daemons, 1.8 times the capacity for 8 s),
/// 11,365 requests were served with 1 and 11,281 with 0.
const MAX_REROUTES_WHEN_WIDELY_FULL: u32 = 1;
/// Most reroutes because the rate limit of an endpoint was used up.
const MAX_REROUTES_WHEN_RATE_LIMITED: u32 = 2;
/// Most reroutes because a daemon refused the request for lack of time.
const MAX_REROUTES_WHEN_OUT_OF_TIME: u32 = 2;
/// Most arrivals of a nested call at endpoints that rejected it. If endpoints reject 0.55 of all requests, a call
/// succeeds with probability 0.95 in five arrivals (1 - 0.55^5) and four calls in a row with 0.82; with two arrivals
/// the latter is 0.24.
const MAX_ARRIVALS_WHEN_REJECTED: u32 = 5;
/// Mean share of failures of a service's endpoints, 0 to 1, from which a failed request is not retried: the cause then
/// lies downstream, and a retry adds to it.
const HIGH_FAILED_SHARE: f64 = 0.2;
/// Least time left for another attempt to be made.
const MIN_RETRY_TIME: Duration = Duration::from_millis(20);

/// Properties of a request that are the same for all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetriedRequest {
    /// Whether its route allows it to run more than once.
    pub is_repeatable: bool,
    /// Most endpoints that may receive it, by its route.
    pub max_attempts: u32,
    /// Whether an endpoint likely made it for a request that it runs.
    pub is_likely_nested: bool,
    /// Inferred rank of the request at the root of its call tree; 0 is the most important.
    pub root_rank: u32,
}

/// Attempts of one request that ended without a success, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Those that reached an endpoint, or may have.
    pub arrived: u32,
    /// Those for which the endpoint or its daemon was unavailable.
    pub unavailable: u32,
    /// Those for which the daemon beside the endpoint had no slot.
    pub found_full: u32,
    /// Those for which the endpoint's rate limit was used up.
    pub rate_limited: u32,
    /// Those that the daemon beside the endpoint refused for lack of time.
    pub out_of_time: u32,
}

impl AttemptCounts {
    /// Counts an attempt by its result.
    pub fn record(&mut self, result: AttemptResult) {
        self.arrived += u32::from(result.has_arrived());
        self.unavailable += u32::from(result.is_unavailable());
        self.found_full += u32::from(result == AttemptResult::Full);
        self.rate_limited += u32::from(result == AttemptResult::RateLimited);
        self.out_of_time += u32::from(result == AttemptResult::OutOfTime);
    }

    /// Whether the next attempt may go to an endpoint that has not received the request. The route limits the endpoints
    /// that receive it; further attempts go to one that has rejected it.
    pub fn may_use_further_endpoint(&self, max_attempts: u32) -> bool {
        self.arrived < max_attempts
    }

    /// Part of the next attempt that counts as a retry, 0 to 1: all of it once the request has reached an endpoint,
    /// else the retried share of the run that makes the request.
    pub fn retried_share(&self, share_of_run: f64) -> f64 {
        if self.arrived > 0 { 1.0 } else { share_of_run }
    }
}

/// State of the service that the request goes to, at the time of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceState {
    /// Whether requests of the class are widely refused for lack of capacity; observed here, decays within about 1 s.
    pub is_widely_refused: bool,
    /// Whether the endpoint failed the request right after one of its own calls had found no capacity; reported with
    /// the answer.
    pub has_no_capacity_downstream: bool,
    /// Mean share of the endpoints' requests that recently failed, 0 to 1; observed here and reported with answers.
    pub failed_share: f64,
}

/// An attempt that has ended without a success, and the state at that time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedAttempt {
    /// Its result, as seen by this daemon.
    pub result: AttemptResult,
    /// The request.
    pub request: RetriedRequest,
    /// Attempts so far, including this one.
    pub counts: AttemptCounts,
    /// Whether the daemon is stopping and no longer sends callers' requests to endpoints.
    pub is_past_latest_send: bool,
    /// Whether the whole body of the request is buffered, so that it can be sent again.
    pub is_body_kept: bool,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Time that the daemon beside the endpoint states as needed, if it refused the request for lack of time; else zero.
    pub needed_time: Duration,
    /// Whether endpoints crashed while running the request's content, but too few for a quarantine.
    pub is_suspect: bool,
    /// The service.
    pub service: ServiceState,
}

/// What happens to a request after an attempt without a success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// It is attempted again and counted towards the bound on retries, if that allows it.
    Retry(RetryReason),
    /// It is sent to another endpoint. It has not reached an endpoint this time, so it does not count towards the
    /// bound.
    Reroute,
    /// Its caller is answered now.
    GiveUp(GiveUp),
}

impl AfterFailure {
    /// Whether the request is attempted again.
    pub fn is_attempted_again(self) -> bool {
        !matches!(self, Self::GiveUp(_))
    }

    /// Value of `reason` in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Retry(_) => "retry",
            Self::Reroute => "reroute",
            Self::GiveUp(reason) => reason.as_str(),
        }
    }
}

/// Why a request is not attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// The daemon is stopping; another daemon can serve the request.
    Stopping,
    /// Its body was streamed and is not buffered.
    BodyNotKept,
    /// Too little time is left for another attempt.
    NoTimeLeft,
    /// Its content is in quarantine.
    Quarantined,
    /// The next endpoint might crash while running its content, as others did.
    SuspectContent,
    /// Endpoints or their daemons were unavailable too often.
    Unavailable,
    /// No slot became free at any of the endpoints that were tried.
    Full,
    /// The rate limits of all endpoints that were tried are used up.
    RateLimited,
    /// Daemons beside endpoints refused it too often for lack of time.
    OutOfTime,
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// As many endpoints have received it as its route allows.
    AttemptsUsedUp,
    /// One of its calls found no capacity: a retry would make all its calls again in vain.
    NoCapacityDownstream,
    /// Many requests of the service fail: the cause lies downstream.
    ManyFail,
    /// Too much of the bound on retries is used at the services that it calls.
    BoundUsedDownstream,
    /// The bound on retries is used up at its service.
    BoundUsedHere,
}

impl GiveUp {
    /// The reason if the bound on retries refuses a retry; none if it allows it.
    pub fn from_bound(decision: &RetryDecision) -> Option<Self> {
        match decision {
            RetryDecision::Allowed => None,
            RetryDecision::UsedDownstream { .. } => Some(Self::BoundUsedDownstream),
            RetryDecision::UsedUp(_) => Some(Self::BoundUsedHere),
        }
    }

    /// Value of `reason` in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::BodyNotKept => "body-not-kept",
            Self::NoTimeLeft => "no-time-left",
            Self::Quarantined => "quarantined",
            Self::SuspectContent => "suspect-content",
            Self::Unavailable => "nobody-there",
            Self::Full => "full",
            Self::RateLimited => "rate-limited",
            Self::OutOfTime => "out-of-time",
            Self::MayHaveRun => "may-have-run",
            Self::AttemptsUsedUp => "attempts-used-up",
            Self::NoCapacityDownstream => "no-capacity-downstream",
            Self::ManyFail => "many-fail",
            Self::BoundUsedDownstream => "bound-used-downstream",
            Self::BoundUsedHere => "bound-used-here",
        }
    }
}

impl FailedAttempt {
    /// Reasons to give up, in order of precedence, and whether each applies.
    fn reasons_to_give_up(&self) -> [(bool, GiveUp); 13] {
        [
            (self.is_stopped(), GiveUp::Stopping),
            (!self.is_body_kept, GiveUp::BodyNotKept),
            (self.has_no_time_left(), GiveUp::NoTimeLeft),
            (self.is_quarantined(), GiveUp::Quarantined),
            (self.might_crash_endpoint(), GiveUp::SuspectContent),
            (self.is_unavailable_too_often(), GiveUp::Unavailable),
            (self.is_full(), GiveUp::Full),
            (self.is_rate_limited(), GiveUp::RateLimited),
            (self.is_out_of_time_too_often(), GiveUp::OutOfTime),
            (self.must_not_run_again(), GiveUp::MayHaveRun),
            (self.has_used_up_attempts(), GiveUp::AttemptsUsedUp),
            (self.would_fail_downstream(), GiveUp::NoCapacityDownstream),
            (self.is_failing_widely(), GiveUp::ManyFail),
        ]
    }

    /// A nested call is attempted until the daemon exits, since its whole call tree would fail with it.
    fn is_stopped(&self) -> bool {
        self.is_past_latest_send && !self.request.is_likely_nested
    }

    /// A daemon that was suspended refuses a request by the longest time that it may have waited there. The time left is
    /// known here, so that the request can be served by another daemon.
    fn has_no_time_left(&self) -> bool {
        self.time_left < self.needed_time.max(MIN_RETRY_TIME)
    }

    fn is_quarantined(&self) -> bool {
        self.result == AttemptResult::Quarantined
    }

    /// The caller may resend the request once it is known which content crashed the endpoints.
    fn might_crash_endpoint(&self) -> bool {
        let is_lost = matches!(self.result, AttemptResult::Lost | AttemptResult::Silent);
        is_lost && self.is_suspect
    }

    fn is_unavailable_too_often(&self) -> bool {
        self.result.is_unavailable() && self.counts.unavailable > MAX_REROUTES_WHEN_UNAVAILABLE
    }

    fn is_full(&self) -> bool {
        let most = if self.service.is_widely_refused {
            MAX_REROUTES_WHEN_WIDELY_FULL
        } else {
            MAX_REROUTES_WHEN_FULL
        };
        self.result == AttemptResult::Full && self.counts.found_full > most
    }

    fn is_rate_limited(&self) -> bool {
        self.result == AttemptResult::RateLimited
            && self.counts.rate_limited > MAX_REROUTES_WHEN_RATE_LIMITED
    }

    fn is_out_of_time_too_often(&self) -> bool {
        self.result == AttemptResult::OutOfTime
            && self.counts.out_of_time > MAX_REROUTES_WHEN_OUT_OF_TIME
    }

    fn must_not_run_again(&self) -> bool {
        !self.request.is_repeatable && !self.result.is_proved_not_run()
    }

    /// A request may be sent again to an endpoint that has rejected it, which does not count as a further endpoint.
    /// This is worthwhile only for nested calls, whose rejection wastes the work of their whole call tree.
    fn has_used_up_attempts(&self) -> bool {
        let is_rejected_call =
            self.result == AttemptResult::Rejected && self.request.is_likely_nested;
        let most = if is_rejected_call {
            self.request.max_attempts.max(MAX_ARRIVALS_WHEN_REJECTED)
        } else {
            self.request.max_attempts
        };
        self.result.has_arrived() && self.counts.arrived >= most
    }

    fn would_fail_downstream(&self) -> bool {
        self.has_failed() && self.service.has_no_capacity_downstream
    }

    fn is_failing_widely(&self) -> bool {
        self.has_failed() && self.service.failed_share >= HIGH_FAILED_SHARE
    }

    /// Whether the endpoint ran the request and answered with an error.
    fn has_failed(&self) -> bool {
        self.result == AttemptResult::Answered
    }

    /// What happens to the request if no reason to give up applies.
    fn next_attempt(&self) -> AfterFailure {
        if !self.result.has_arrived() {
            return AfterFailure::Reroute;
        }
        if self.has_failed() {
            return AfterFailure::Retry(RetryReason::Failed);
        }
        let is_important = is_exempt(self.request.root_rank);
        AfterFailure::Retry(RetryReason::Unanswered { is_important })
    }
}

/// Decides what happens to a request after an attempt without a success, leaving out the bound on retries: the first
/// reason to give up that applies, else another attempt.
pub fn after_failure(attempt: &FailedAttempt) -> AfterFailure {
    let reasons = attempt.reasons_to_give_up();
    let first = reasons.into_iter().find(|(holds, _)| *holds);
    match first {
        Some((_, reason)) => AfterFailure::GiveUp(reason),
        None => attempt.next_attempt(),
    }
}
