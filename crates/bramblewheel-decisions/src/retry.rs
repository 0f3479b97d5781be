//! Retries: what becomes of a request after an attempt without a success.
//!
//! A request is attempted again only if that may help its caller and harms nobody: time is left, it has not run or
//! may run twice, and the bound on retries has something left at its service and downstream. [`after_failure`]
//! decides on all but that bound; after [`AfterFailure::Retry`] the caller of the function asks
//! [`RetryBound::decide_retry`](crate::retry_bound::RetryBound::decide_retry), which charges the retry if it allows
//! it, and [`GiveUp::of_bound`] names its refusal.
//!
//! Owns nothing. Shown by the log line `attempt failed` (`again`, `reason`) and by the metrics
//! `bramblewheel_repeats_total` and `bramblewheel_over_budget_total` (label `after`).

use crate::attempt_result::AttemptResult;
use crate::exemption::is_exempt;
use crate::retry_bound::{RetryDecision, RetryReason};
use std::time::Duration;

/// Most reroutes of a request since an endpoint or its daemon was not there. They cost nobody anything but
/// the caller's time. Chosen, not measured.
const MAX_REROUTES_WHEN_NOT_THERE: u32 = 3;
/// Most reroutes since a daemon had no slot; in an overload each costs two daemons some work. Chosen, not measured.
const MAX_REROUTES_WHEN_FULL: u32 = 2;
/// The same where most endpoints of the service refuse. On virtual time (280 daemons, 1.8 times the capacity for
/// 8 s), 11,365 requests were served with 1 and 11,281 with 0.
const MAX_REROUTES_WHEN_WIDELY_FULL: u32 = 1;
/// Most arrivals of a nested call at endpoints that rejected it. Computed: where endpoints reject 0.55 of all they
/// get, a call ends with five at 0.95 of the times (1 - 0.55^5) and four calls in a row at 0.82; with two, at 0.24.
const MAX_ARRIVALS_WHEN_REJECTED: u32 = 5;
/// Mean share of failures of a service's endpoints, 0 to 1, from which on a request that failed is not retried: the
/// cause lies deeper then, and a retry adds to it. Chosen, not measured.
const MANY_FAILURES: f64 = 0.2;
/// Least time in which another attempt can still end. Chosen, not measured.
const LEAST_TIME_TO_RETRY: Duration = Duration::from_millis(20);

/// What is the same for all attempts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetriedRequest {
    /// Whether its route allows that it runs more than once.
    pub is_repeatable: bool,
    /// Most endpoints that may get it, as its route says.
    pub max_attempts: u32,
    /// Whether an endpoint makes it for a request that it runs, as far as is known.
    pub is_likely_nested: bool,
    /// Rank of the request at the root of its tree, as far as is known; 0 is the most important.
    pub root_rank: u32,
}

/// Attempts of one request that ended without a success.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Those that arrived at an endpoint, or may have.
    pub arrived: u32,
    /// Those after which the endpoint or its daemon was not there.
    pub not_there: u32,
    /// Those after which the daemon beside the endpoint had no slot.
    pub found_full: u32,
}

impl AttemptCounts {
    /// Counts an attempt that ended so.
    pub fn record(&mut self, result: AttemptResult) {
        self.arrived += u32::from(result.has_arrived());
        self.not_there += u32::from(result.is_not_there());
        self.found_full += u32::from(result == AttemptResult::Full);
    }

    /// Whether the next attempt may go to an endpoint that has not had the request. The route bounds the endpoints that
    /// get it; further attempts go to one that has rejected it.
    pub fn may_use_further_endpoint(&self, max_attempts: u32) -> bool {
        self.arrived < max_attempts
    }

    /// Part of the next attempt that counts as a retry, 0 to 1: all of it once the request has arrived, else the part
    /// to which the run that makes the request was itself retried.
    pub fn retried_share(&self, share_of_run: f64) -> f64 {
        if self.arrived > 0 { 1.0 } else { share_of_run }
    }
}

/// What is known of the service that the request goes to, at the time of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceState {
    /// Whether requests of the class are widely refused for want of capacity; seen here, fades within about 1 s.
    pub is_widely_refused: bool,
    /// Whether the endpoint failed the request right after a call of its own had found no capacity; reported with
    /// the answer.
    pub has_no_capacity_downstream: bool,
    /// Mean share of the endpoints' requests that failed lately, 0 to 1; seen here and reported with answers.
    pub failed_share: f64,
}

/// What is known when an attempt has ended without a success.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailedAttempt {
    /// How it ended, as this daemon saw it.
    pub result: AttemptResult,
    /// The request.
    pub request: RetriedRequest,
    /// Attempts so far, this one included.
    pub counts: AttemptCounts,
    /// Whether the daemon stops and the time has passed until which it sends requests to endpoints.
    pub is_past_latest_send: bool,
    /// Whether the request's body is kept whole, so that it can be sent again.
    pub is_body_kept: bool,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Whether endpoints crashed under the request's content, too few of them for a quarantine.
    pub is_suspect: bool,
    /// The service.
    pub service: ServiceState,
}

/// What becomes of a request after an attempt without a success.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// It is attempted again and charged to the bound on retries, if that allows it.
    Retry(RetryReason),
    /// It is attempted elsewhere; it has not arrived at any endpoint this time, so that it costs nothing of the bound.
    Reroute,
    /// Its caller is answered now.
    GiveUp(GiveUp),
}

impl AfterFailure {
    /// Whether the request is attempted again.
    pub fn is_again(self) -> bool {
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
    /// The daemon is about to end; another daemon can serve the request whole.
    Stopping,
    /// Its body was passed on as it came and is not kept.
    BodyNotKept,
    /// Another attempt could not end within its time.
    NoTimeLeft,
    /// Endpoints crash under its content.
    Quarantined,
    /// The next endpoint might crash under its content as others did.
    SuspectContent,
    /// Endpoints or their daemons were not there too often.
    NobodyThere,
    /// No slot came free at as many endpoints as are asked.
    Full,
    /// It may have run, and must not run twice.
    MayHaveRun,
    /// As many endpoints have got it as its route allows.
    AttemptsUsedUp,
    /// A call that it makes found no capacity: all its calls would be made again for nothing.
    NoCapacityDownstream,
    /// Many requests of the service fail: the cause lies deeper.
    ManyFail,
    /// Too much of the bound on retries is used where the calls go that it makes.
    BoundUsedDownstream,
    /// The bound on retries has nothing left for it at its service.
    BoundUsedHere,
}

impl GiveUp {
    /// Why the bound on retries refuses a request; none if it allows it.
    pub fn of_bound(decision: &RetryDecision) -> Option<Self> {
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
            Self::NobodyThere => "nobody-there",
            Self::Full => "full",
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
    /// Reasons to give up, the weightiest first, and whether each holds.
    fn reasons_to_give_up(&self) -> [(bool, GiveUp); 11] {
        [
            (self.is_stopped(), GiveUp::Stopping),
            (!self.is_body_kept, GiveUp::BodyNotKept),
            (self.time_left < LEAST_TIME_TO_RETRY, GiveUp::NoTimeLeft),
            (self.is_quarantined(), GiveUp::Quarantined),
            (self.may_crash_another(), GiveUp::SuspectContent),
            (self.is_nobody_there(), GiveUp::NobodyThere),
            (self.is_full(), GiveUp::Full),
            (self.must_not_run_again(), GiveUp::MayHaveRun),
            (self.has_used_up_attempts(), GiveUp::AttemptsUsedUp),
            (self.would_fail_downstream(), GiveUp::NoCapacityDownstream),
            (self.is_one_of_many_failures(), GiveUp::ManyFail),
        ]
    }

    /// A nested call is attempted until the daemon ends: its whole tree would fail with it.
    fn is_stopped(&self) -> bool {
        self.is_past_latest_send && !self.request.is_likely_nested
    }

    fn is_quarantined(&self) -> bool {
        self.result == AttemptResult::Quarantined
    }

    /// Its caller may resend it once it is known what the endpoints crashed under.
    fn may_crash_another(&self) -> bool {
        let is_lost = matches!(self.result, AttemptResult::Lost | AttemptResult::Silent);
        is_lost && self.is_suspect
    }

    fn is_nobody_there(&self) -> bool {
        self.result.is_not_there() && self.counts.not_there > MAX_REROUTES_WHEN_NOT_THERE
    }

    fn is_full(&self) -> bool {
        let most = if self.service.is_widely_refused {
            MAX_REROUTES_WHEN_WIDELY_FULL
        } else {
            MAX_REROUTES_WHEN_FULL
        };
        self.result == AttemptResult::Full && self.counts.found_full > most
    }

    fn must_not_run_again(&self) -> bool {
        !self.request.is_repeatable && !self.result.is_proved_not_run()
    }

    /// An endpoint that has rejected a request may be sent it again: it is no further endpoint. Worth it for nested
    /// calls only, whose rejection wastes the work of their whole tree.
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

    fn is_one_of_many_failures(&self) -> bool {
        self.has_failed() && self.service.failed_share >= MANY_FAILURES
    }

    /// Whether the endpoint ran the request and answered with an error.
    fn has_failed(&self) -> bool {
        self.result == AttemptResult::Answered
    }

    /// What becomes of the request where no reason to give up holds.
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

/// What becomes of a request after an attempt without a success, but for the bound on retries: the first reason to
/// give up that holds, else another attempt.
pub fn after_failure(attempt: &FailedAttempt) -> AfterFailure {
    let reasons = attempt.reasons_to_give_up();
    let first = reasons.into_iter().find(|(holds, _)| *holds);
    match first {
        Some((_, reason)) => AfterFailure::GiveUp(reason),
        None => attempt.next_attempt(),
    }
}
