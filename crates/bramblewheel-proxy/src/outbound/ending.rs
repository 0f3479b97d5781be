//! How calls end, and what the end of a send says of its endpoint.

use crate::http::exchange::Answer;
use crate::wire::AttemptResult;
use bramblewheel_decisions::directory::AttemptEnd;
use std::time::Duration;

/// The end of a call.
#[derive(Debug)]
pub(super) enum Final {
    /// An endpoint's answer.
    Answered(Box<Answer>),
    /// The request has not run and never will.
    NotRun {
        /// Part of its route's requests that are refused, between 0 and 1.
        refused_part: f64,
    },
    /// The request has not run and never will: endpoints end under its content.
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

impl Final {
    /// Whether the request has not run and never will.
    pub(super) fn has_not_run(&self) -> bool {
        match self {
            Self::NotRun { .. } | Self::Quarantined | Self::Stopping => true,
            Self::Answered(_) | Self::Unknown | Self::OutlastsStop | Self::TimedOut => false,
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

/// Whether the result proves that the endpoint did not run the request.
pub(super) fn is_proved_not_run(result: AttemptResult) -> bool {
    match result {
        AttemptResult::Rejected
        | AttemptResult::OtherEndpoint
        | AttemptResult::Full
        | AttemptResult::Quarantined
        | AttemptResult::Leaving
        | AttemptResult::Unreachable => true,
        AttemptResult::Answered | AttemptResult::Lost | AttemptResult::Silent => false,
    }
}

/// What a send's end says of its endpoint, for later choices.
pub(super) fn attempt_end(result: AttemptResult, has_failed: bool, time: Duration) -> AttemptEnd {
    match result {
        AttemptResult::Answered if has_failed => AttemptEnd::Failed(time),
        AttemptResult::Answered => AttemptEnd::Answered(time),
        AttemptResult::Rejected => AttemptEnd::Rejected,
        AttemptResult::Full => AttemptEnd::Full,
        AttemptResult::Quarantined => AttemptEnd::Quarantined,
        AttemptResult::OtherEndpoint | AttemptResult::Leaving => AttemptEnd::Leaving,
        AttemptResult::Unreachable | AttemptResult::Silent => AttemptEnd::Unreachable,
        AttemptResult::Lost => AttemptEnd::Lost,
    }
}
