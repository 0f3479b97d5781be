//! How a caller request ends, and what its caller is answered.
//!
//! An outcome says whether the request has run, which decides on the answer: a refusal may be resent by any caller,
//! and an answer 502 or 504 promises nothing. Owns nothing; relies on [`RefusalReason`] for the status and the time
//! of refusals. Shown by the metric `bramblewheel_requests_total` (`outcome`) and the log line `request ended`.

use crate::http::exchange::Answer;
use crate::outbound::reply::Reply;
use bramblewheel_decisions::retry_after::RefusalReason;
use http::StatusCode;
use std::time::Duration;

/// How a caller request ended.
#[derive(Debug)]
pub(super) enum RequestOutcome {
    /// An endpoint's answer.
    Answered(Box<Answer>),
    /// The request has not run and never will.
    NotRun {
        /// Part of the requests of its class that is refused early, 0 to 1.
        refused_part: f64,
    },
    /// The request has not run and never will: endpoints crash under its content.
    Quarantined,
    /// The request has not run and never will: the daemon is about to end.
    Stopping,
    /// The request may have run; its answer is lost.
    Unknown,
    /// The request may have run; the daemon can't wait for its answer, since it is about to end.
    OutlastsStop,
    /// The time is over, and the request may have run.
    TimedOut,
}

/// Why a caller request ends without a success.
#[derive(Debug)]
pub(super) enum EndReason {
    /// No further attempt is allowed or possible; with the endpoint's error, if one came.
    GaveUp(Option<Box<Answer>>),
    /// Its time is over.
    TimeOver,
    /// The daemon stops, and everything must be answered.
    StopDue,
}

impl RequestOutcome {
    /// The outcome of a request without a success; `refused_part` is asked only where it has not run for want of
    /// capacity.
    pub(super) fn without_success(
        reason: EndReason,
        may_have_run: bool,
        refused_part: impl FnOnce() -> f64,
    ) -> Self {
        match (reason, may_have_run) {
            (EndReason::GaveUp(Some(error)), _) => Self::Answered(error),
            (EndReason::GaveUp(None), true) => Self::Unknown,
            (EndReason::TimeOver, true) => Self::TimedOut,
            (EndReason::StopDue, true) => Self::OutlastsStop,
            (EndReason::StopDue, false) => Self::Stopping,
            (EndReason::GaveUp(None) | EndReason::TimeOver, false) => Self::NotRun {
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

    /// What the caller of a request with this objective is answered.
    pub(super) fn into_reply(self, objective: Duration) -> Reply {
        match self {
            Self::Answered(answer) => Reply::Answer(answer),
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

    /// Name in logs and metrics.
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
