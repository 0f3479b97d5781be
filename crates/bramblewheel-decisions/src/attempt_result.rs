//! How an attempt ended, and what that proves.
//!
//! The daemon beside the endpoint says so with its answer; the caller's daemon adds the ends that only it can see
//! (`Unreachable`, `Lost`, `Silent`). Owns nothing.

use crate::directory::AttemptEnd;
use std::time::Duration;

/// How an attempt ended at the daemon beside the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint ran the request; its answer follows.
    Answered,
    /// The endpoint got the request and refused it.
    Rejected,
    /// Another endpoint has the address; it refused the request.
    OtherEndpoint,
    /// The daemon refused: no slot came free in time.
    Full,
    /// The daemon refused: endpoints crash under the request's content.
    Quarantined,
    /// The daemon refused: the endpoint is not there, is draining, or the daemon stops.
    Leaving,
    /// The endpoint could not be reached; it got nothing.
    Unreachable,
    /// The endpoint may have run the request; its answer is lost.
    Lost,
    /// The daemon does not answer any more; the endpoint may have run the request.
    Silent,
}

impl AttemptResult {
    /// All results, for whoever reads one by its [name](Self::as_str).
    pub const ALL: [Self; 9] = [
        Self::Answered,
        Self::Rejected,
        Self::OtherEndpoint,
        Self::Full,
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
            | Self::Quarantined
            | Self::Leaving
            | Self::Unreachable => true,
            Self::Answered | Self::Lost | Self::Silent => false,
        }
    }

    /// Whether the attempt arrived at an endpoint, or may have. Only an endpoint can tell that it is another one.
    pub fn has_arrived(self) -> bool {
        match self {
            Self::Answered | Self::Rejected | Self::OtherEndpoint | Self::Lost | Self::Silent => {
                true
            }
            Self::Full | Self::Quarantined | Self::Leaving | Self::Unreachable => false,
        }
    }

    /// Whether the endpoint or its daemon was not there for new requests.
    pub fn is_not_there(self) -> bool {
        matches!(self, Self::Leaving | Self::Unreachable)
    }

    /// What the end of an attempt says of its endpoint, for later choices. `has_failed` says whether the answer is an
    /// error of the endpoint; `time` is that from the send to the end.
    pub fn end_for_directory(self, has_failed: bool, time: Duration) -> AttemptEnd {
        match self {
            Self::Answered if has_failed => AttemptEnd::Failed(time),
            Self::Answered => AttemptEnd::Answered(time),
            Self::Rejected => AttemptEnd::Rejected,
            Self::Full => AttemptEnd::Full,
            Self::Quarantined => AttemptEnd::Quarantined,
            Self::OtherEndpoint | Self::Leaving => AttemptEnd::Leaving,
            Self::Unreachable | Self::Silent => AttemptEnd::Unreachable,
            Self::Lost => AttemptEnd::Lost,
        }
    }
}
