//! What a daemon that was told to stop still takes, and until when everything must have an answer.
//!
//! The end by force comes at a time that is known from the order on. So whatever is in progress has a time by which it
//! must be answered, and what is taken later has to end before it. No promise may rest on a guess here: a request is
//! let in by its own time, or since a request that the local endpoint runs may have made it.

use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Time in which whoever asks whether the daemon is ready learns that it is not: two questions.
const NOTICE_TIME: Duration = Duration::from_millis(2_300);
/// Part of the grace time in which all callers' requests are taken. What they take has as long again to end.
const TAKING_PART: f64 = 0.5;
/// Part of the grace time that is left for the end of connections.
const END_TIME: Duration = Duration::from_millis(1_000);
/// Time between the last answers and the end by force: for the answers to be written, and for the end of the process.
const ANSWER_TIME: Duration = Duration::from_millis(500);
/// Time between the closing of the last connection and the end by force, for the end of the process.
const EXIT_TIME: Duration = Duration::from_millis(250);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// From now on whoever asks has learned that the daemon is not ready.
    pub noticed: Timestamp,
    /// Until then all callers' requests are taken.
    pub taking_until: Timestamp,
    /// Until then callers' requests are sent to endpoints, for the first time or again: what is sent later would seldom end.
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
    /// Whether its route is taken for one that only endpoints call.
    pub is_taken_for_call: bool,
}

/// Why a request is taken while the daemon stops, or that it is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateDecision {
    /// The time of refusals has not come.
    Early,
    /// Its own time ends before the daemon's.
    EndsInTime,
    /// A request in progress at the local endpoint made it, or may have.
    OfRequestInProgress,
    /// Refused: it might not end before the daemon does.
    Refused,
}

impl LateDecision {
    /// Name in logs.
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
        let listening = grace.saturating_sub(END_TIME);
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
    /// A guess whether endpoints call a route never lets a request in by itself. Where it did, callers of a route whose
    /// requests seemed to come from few machines were taken until the end by force and cut off: 7 of 30 in
    /// `planned_stops::a_planned_stop_rests_on_no_guess_who_calls_a_route`.
    pub fn decide(&self, now: Timestamp, request: LateRequest) -> LateDecision {
        if now < self.taking_until {
            return LateDecision::Early;
        }
        if request.deadline <= self.answers_by {
            return LateDecision::EndsInTime;
        }
        let may_be_call = request.may_have_parent && request.is_taken_for_call;
        if request.has_parent || may_be_call {
            return LateDecision::OfRequestInProgress;
        }
        LateDecision::Refused
    }
}
