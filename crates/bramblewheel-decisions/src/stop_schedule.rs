//! Planned stop: which requests a daemon that was told to stop still takes, and until when everything must have an
//! answer.
//!
//! Rule: in the first half of the grace time all callers' requests are taken. After that a request is taken only if
//! its own time ends before the last answers, or if a request that the local endpoint runs made it, or may have.
//!
//! Inputs: the time of the order and the grace time (settings); for each request its deadline, whether the local
//! endpoint runs a request whose time ends with it or later ([`crate::running_requests`]), and whether its class is
//! likely nested ([`crate::nested_routes`]).
//!
//! Reason: the end by force comes at a time that is known from the order on. So whatever is in progress has a time
//! by which it must be answered, and what is taken later has to end before it. No promise may rest on an inference
//! alone.
//!
//! Owns the times of one stop; relies on the caller for time.
//!
//! Seen in: log lines `stopping`, `request while stopping` (`decision`, `has_parent`, `may_have_parent`,
//! `is_taken_for_call`, `left_ms`), `cut off by the stop` and `stopped`; metric `bramblewheel_cut_off`.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Time in which whoever asks whether the daemon is ready learns that it is not: two of its questions. Chosen, not
/// measured.
const NOTICE_TIME: Duration = Duration::from_millis(2_300);
/// Part of the grace time, 0 to 1, in which all callers' requests are taken. What is taken has as long again to end.
/// Measured by `sockets/planned_stops.rs`: 5 of 30 requests were cut off when all were taken until 1 s before the
/// end, none with half of the grace time.
const TAKING_PART: f64 = 0.5;
/// Time before the end by force from which on the listeners are closed. Chosen, not measured.
const CLOSED_LISTENERS_TIME: Duration = Duration::from_millis(1_000);
/// Time between the last answers and the end by force: for the answers to be written, and for the end of the process.
/// Chosen, not measured.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time between the closing of the last connection and the end by force, for the end of the process.
/// Chosen, not measured.
const EXIT_TIME: Duration = Duration::from_millis(250);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// From now on whoever asks has learned that the daemon is not ready.
    pub noticed: Timestamp,
    /// Until then all callers' requests are taken.
    pub taking_until: Timestamp,
    /// Until then callers' requests are sent to endpoints, for the first time or again: what
    /// is sent later would seldom end.
    pub latest_send: Timestamp,
    /// By then the listeners are closed.
    pub listening_until: Timestamp,
    /// By then everything that has no answer yet gets one.
    pub answers_by: Timestamp,
    /// By then all connections are closed.
    pub closed_by: Timestamp,
}

/// What is known of a request that comes while the daemon stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRequest {
    /// End of its time.
    pub deadline: Timestamp,
    /// Whether the local endpoint runs a request whose time ends at the same moment.
    pub has_parent: bool,
    /// Whether the local endpoint runs a request that has as much time left, or more.
    pub may_have_parent: bool,
    /// Whether its class is likely one that only endpoints call; `is_taken_for_call` in the log.
    pub is_likely_nested: bool,
}

/// Why a request is taken while the daemon stops, or that it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateDecision {
    /// All requests are still taken.
    Early,
    /// Its own time ends before the daemon's.
    EndsInTime,
    /// A request in progress at the local endpoint made it, or may have.
    OfRequestInProgress,
    /// Refused: it might not end before the daemon does.
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
    /// The times of a stop that begins now and ends by force after the grace time.
    pub fn new(now: Timestamp, grace: Duration) -> Self {
        let listening = grace.saturating_sub(CLOSED_LISTENERS_TIME);
        let taking = grace.mul_f64(TAKING_PART).max(NOTICE_TIME).min(listening);
        let answers = grace.saturating_sub(ANSWER_TIME).max(taking);
        Self {
            noticed: now + NOTICE_TIME.min(listening),
            taking_until: now + taking,
            latest_send: now + (taking + answers) / 2,
            listening_until: now + listening,
            answers_by: now + answers,
            closed_by: now + grace.saturating_sub(EXIT_TIME).max(answers),
        }
    }

    /// Whether a request that comes now is taken.
    ///
    /// The inference that endpoints call a route never admits a request by itself. Where it did, callers of a route
    /// whose requests seemed to come from few machines were taken until the end by force and cut off: 7 of 30 in
    /// `planned_stops::planned_stop_answers_callers_of_a_route_wrongly_considered_nested`.
    pub fn decide(&self, now: Timestamp, request: LateRequest) -> LateDecision {
        if now < self.taking_until {
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
