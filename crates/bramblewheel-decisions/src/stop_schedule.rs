//! Planned stops: which requests a stopping daemon still admits, and when everything must be answered.
//!
//! Rule: in the first half of the grace time, and for three seconds at most, all callers' requests are admitted. After
//! that a request is admitted only if its deadline is before the last answers are due, or if a request running at the
//! local endpoint made it or may have made it.
//!
//! Inputs: the time of the stop order and the grace time (settings); for each request its deadline, whether the local
//! endpoint runs a request with the same or a later deadline ([`crate::running_requests`]), and whether its class is
//! likely nested ([`crate::nested_routes`]).
//!
//! Reason: the forced stop comes at a time that is known from the order on. Each request in progress therefore has a
//! time by which it must be answered, and a request that is admitted later must be finished before it. No guarantee may
//! depend on an inference alone.
//!
//! State: the times of one stop.
//!
//! Observability: log lines `stopping`, `request while stopping` (`decision`, `has_parent`, `may_have_parent`,
//! `is_taken_for_call`, `left_ms`), `cut off by the stop` and `stopped`; metric `bramblewheel_cut_off`.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Time until the clients of the readiness check have seen that the daemon is not ready: two polls.
const NOTICE_TIME: Duration = Duration::from_millis(2_300);
/// Part of the grace time, 0 to 1, in which all callers' requests are admitted; they have the rest to finish. In
/// `sockets/planned_stops.rs` 5 of 30 requests were cut off when all were admitted until 1 s before the forced stop,
/// and none with half of the grace time.
const ADMITTING_PART: f64 = 0.5;
/// Longest time after the stop order in which all callers' requests are admitted. Users accept only of requests sent until
/// then that they are given up at the forced stop while an endpoint works on them.
const MAX_ADMITTING_TIME: Duration = Duration::from_secs(3);
/// Time before the forced stop at which the listeners are closed.
const CLOSED_LISTENERS_TIME: Duration = Duration::from_millis(1_000);
/// Time between the last answers and the forced stop: for the answers to be written and the process to exit.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time between the closing of the last connection and the forced stop, for the process to exit.
const EXIT_TIME: Duration = Duration::from_millis(250);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// From this time on, clients of the readiness check have seen that the daemon is not ready.
    pub not_ready_noticed: Timestamp,
    /// Until this time all callers' requests are admitted.
    pub admitting_until: Timestamp,
    /// Until this time callers' requests are sent to endpoints, for the first time or again. One sent later would
    /// rarely finish.
    pub latest_send: Timestamp,
    /// Until this time the daemon listens.
    pub listening_until: Timestamp,
    /// By this time every request without an answer gets one.
    pub answers_by: Timestamp,
    /// By this time all connections are closed.
    pub closed_by: Timestamp,
}

/// A request that arrives while the daemon stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRequest {
    /// End of the request's time.
    pub deadline: Timestamp,
    /// Whether the local endpoint runs a request with the same deadline.
    pub has_parent: bool,
    /// Whether the local endpoint runs a request with the same or a later deadline.
    pub may_have_parent: bool,
    /// Whether only endpoints likely send requests of its class; `is_taken_for_call` in the log.
    pub is_likely_nested: bool,
}

/// Whether a request is admitted while the daemon stops, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateDecision {
    /// All requests are still admitted.
    Early,
    /// Its deadline is before the last answers of the daemon are due.
    EndsInTime,
    /// A request running at the local endpoint made it, or may have made it.
    OfRequestInProgress,
    /// It might not finish before the daemon stops.
    Refused,
}

impl LateDecision {
    /// Value of `decision` in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Early => "early",
            Self::EndsInTime => "ends in time",
            Self::OfRequestInProgress => "of a request in progress",
            Self::Refused => "refused",
        }
    }
}

impl StopSchedule {
    /// The schedule of a stop that begins now, with a forced stop after the grace time.
    pub fn new(now: Timestamp, grace: Duration) -> Self {
        let listening = grace.saturating_sub(CLOSED_LISTENERS_TIME);
        let admitting = grace
            .mul_f64(ADMITTING_PART)
            .clamp(NOTICE_TIME, MAX_ADMITTING_TIME)
            .min(listening);
        let answers = grace.saturating_sub(ANSWER_TIME).max(admitting);
        Self {
            not_ready_noticed: now + NOTICE_TIME.min(listening),
            admitting_until: now + admitting,
            latest_send: now + (admitting + answers) / 2,
            listening_until: now + listening,
            answers_by: now + answers,
            closed_by: now + grace.saturating_sub(EXIT_TIME).max(answers),
        }
    }

    /// Decides on a request that arrives now.
    ///
    /// The inference that endpoints call a route never suffices to admit a request. When it did, callers of a route
    /// whose requests seemed to come from few machines were admitted until the forced stop and cut off: 7 of 30 in
    /// `sockets/planned_stops.rs`.
    pub fn decide(&self, now: Timestamp, request: LateRequest) -> LateDecision {
        if now < self.admitting_until {
            return LateDecision::Early;
        }
        if request.deadline <= self.answers_by {
            return LateDecision::EndsInTime;
        }
        let may_be_call = request.may_have_parent && request.is_likely_nested;
        if request.has_parent || may_be_call {
            return LateDecision::OfRequestInProgress;
        }
        LateDecision::Refused
    }
}
