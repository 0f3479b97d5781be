//! Outcomes of caller requests and the answers that follow from them.
//!
//! The answer depends on whether the request may have run: any caller may resend a refused request, while a 502 or
//! 504 says nothing about it. [`RefusalReason`] gives the status and the `Retry-After` time of refusals. Outcomes
//! appear in the metric `bramblewheel_requests_total` (`outcome`) and the log line `request ended`.

use crate::http::exchange::Answer;
use crate::outbound::reply::Reply;
use bramblewheel_decisions::retry_after::RefusalReason;
use bramblewheel_types::Timestamp;
use http::StatusCode;
use std::time::Duration;

/// How a caller request ended.
#[derive(Debug)]
pub(super) enum RequestOutcome {
    /// An endpoint answered.
    Answered(Box<Answer>),
    /// The request has not run and never will.
    NotRun {
        /// Share of the requests of its class that is refused early, 0 to 1.
        refused_part: f64,
    },
    /// The request has not run and never will: its content is quarantined because endpoints crash on it.
    Quarantined,
    /// The request has not run and never will: the daemon is stopping.
    Stopping,
    /// The request may have run; its answer is lost.
    Unknown,
    /// The request may have run; the daemon is stopping and can't wait for the answer.
    OutlastsStop,
    /// The deadline has passed, and the request may have run.
    TimedOut,
}

/// Why a caller request ends without success.
#[derive(Debug)]
pub(super) enum EndReason {
    /// No further attempt is allowed or possible; holds the last error answer of an endpoint, if any.
    GaveUp(Option<Box<Answer>>),
    /// The deadline has passed.
    DeadlinePassed,
    /// The daemon is stopping, and every request must be answered now.
    StopDue,
}

impl RequestOutcome {
    /// Outcome of a request that ended without success. `refused_part` is called only if the request has not run for
    /// lack of capacity.
    pub(super) fn without_success(
        reason: EndReason,
        may_have_run: bool,
        refused_part: impl FnOnce() -> f64,
    ) -> Self {
        match (reason, may_have_run) {
            (EndReason::GaveUp(Some(error)), _) => Self::Answered(error),
            (EndReason::GaveUp(None), true) => Self::Unknown,
            (EndReason::DeadlinePassed, true) => Self::TimedOut,
            (EndReason::StopDue, true) => Self::OutlastsStop,
            (EndReason::StopDue, false) => Self::Stopping,
            (EndReason::GaveUp(None) | EndReason::DeadlinePassed, false) => Self::NotRun {
                refused_part: refused_part(),
            },
        }
    }

    /// Whether the request has not run and never will.
    pub(super) fn has_not_run(&self) -> bool {
        match self {
            Self::NotRun { .. } | Self::Quarantined | Self::Stopping => true,
            Self::Answered(_) | Self::Unknown | Self::OutlastsStop | Self::TimedOut => false,
        }
    }

    /// Reply to the caller of a request with this latency objective and deadline.
    pub(super) fn into_reply(self, objective: Duration, deadline: Timestamp) -> Reply {
        match self {
            Self::Answered(answer) => Reply::Answer { answer, deadline },
            Self::NotRun { refused_part } => Reply::Refusal(RefusalReason::NoCapacity {
                objective,
                refused_part,
            }),
            Self::Quarantined => Reply::Refusal(RefusalReason::Quarantined),
            Self::Stopping => Reply::Refusal(RefusalReason::Stopping),
            Self::Unknown | Self::OutlastsStop => Reply::Status(StatusCode::BAD_GATEWAY),
            Self::TimedOut => Reply::Status(StatusCode::GATEWAY_TIMEOUT),
        }
    }

    /// Value in logs and metrics.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(answer) if answer.status().is_success() => "completed",
            Self::Answered(_) => "failed",
            Self::NotRun { .. } => "not-run",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
            Self::Unknown => "unknown",
            Self::OutlastsStop => "outlasts-stop",
            Self::TimedOut => "timed-out",
        }
    }
}
