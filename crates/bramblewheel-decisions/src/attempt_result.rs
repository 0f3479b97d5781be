//! Results of attempts, and whether each proves that the request has not run.
//!
//! The daemon beside the endpoint reports the result with its answer; the caller's daemon adds those that only it can
//! see (`Unreachable`, `Lost`, `Silent`).

use crate::directory::AttemptEnd;
use std::time::Duration;

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint ran the request; its answer follows.
    Answered,
    /// The endpoint received the request and rejected it.
    Rejected,
    /// Another endpoint has the address and rejected the request.
    OtherEndpoint,
    /// The daemon refused the request: no slot became free in time.
    Full,
    /// The daemon refused the request: the endpoint's rate limit is used up.
    RateLimited,
    /// The daemon refused the request: it could no longer end in time.
    OutOfTime,
    /// The daemon refused the request: endpoints crash when they run its content.
    Quarantined,
    /// The daemon refused the request: the endpoint is down or draining, or the daemon is stopping.
    Leaving,
    /// The endpoint could not be reached and received nothing.
    Unreachable,
    /// The endpoint may have run the request; its answer is lost.
    Lost,
    /// The daemon has stopped answering; the endpoint may have run the request.
    Silent,
}

impl AttemptResult {
    /// All results, for parsing a [name](Self::as_str).
    pub const ALL: [Self; 11] = [
        Self::Answered,
        Self::Rejected,
        Self::OtherEndpoint,
        Self::Full,
        Self::RateLimited,
        Self::OutOfTime,
        Self::Quarantined,
        Self::Leaving,
        Self::Unreachable,
        Self::Lost,
        Self::Silent,
    ];

    /// Name in headers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Rejected => "rejected",
            Self::OtherEndpoint => "other-endpoint",
            Self::Full => "full",
            Self::RateLimited => "rate-limited",
            Self::OutOfTime => "out-of-time",
            Self::Quarantined => "quarantined",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::Silent => "silent",
        }
    }

    /// Whether the result proves that the endpoint did not run the request.
    pub fn is_proved_not_run(self) -> bool {
        match self {
            Self::Rejected
            | Self::OtherEndpoint
            | Self::Full
            | Self::RateLimited
            | Self::OutOfTime
            | Self::Quarantined
            | Self::Leaving
            | Self::Unreachable => true,
            Self::Answered | Self::Lost | Self::Silent => false,
        }
    }

    /// Whether the attempt reached an endpoint, or may have. Only an endpoint can tell that it is not the expected one.
    pub fn has_arrived(self) -> bool {
        match self {
            Self::Answered | Self::Rejected | Self::OtherEndpoint | Self::Lost | Self::Silent => {
                true
            }
            Self::Full
            | Self::RateLimited
            | Self::OutOfTime
            | Self::Quarantined
            | Self::Leaving
            | Self::Unreachable => false,
        }
    }

    /// Whether the endpoint or its daemon was unavailable for new requests.
    pub fn is_unavailable(self) -> bool {
        matches!(self, Self::Leaving | Self::Unreachable)
    }

    /// The result as far as it concerns later choices of an endpoint. `has_failed` says whether the answer is an error
    /// of the endpoint; `time` is the time from the send to the end of the attempt.
    pub fn attempt_end(self, has_failed: bool, time: Duration) -> AttemptEnd {
        match self {
            Self::Answered if has_failed => AttemptEnd::Failed(time),
            Self::Answered => AttemptEnd::Answered(time),
            Self::Rejected => AttemptEnd::Rejected,
            Self::Full => AttemptEnd::Full,
            Self::RateLimited => AttemptEnd::RateLimited,
            Self::OutOfTime => AttemptEnd::OutOfTime,
            Self::Quarantined => AttemptEnd::Quarantined,
            Self::OtherEndpoint | Self::Leaving => AttemptEnd::Leaving,
            Self::Unreachable | Self::Silent => AttemptEnd::Unreachable,
            Self::Lost => AttemptEnd::Lost,
        }
    }
}
