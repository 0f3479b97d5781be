//! Outcome of a send for its caller, as written in traces.

use bramblewheel_types::{NotRunReason, Outcome};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Outcome of a send for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatedOutcome {
    /// The whole answer arrived.
    Completed,
    /// No endpoint ran it; `None` matches any reason.
    NotRun(Option<NotRunReason>),
    /// An endpoint ran it and answered with an error.
    Failed,
    /// An endpoint may have run it.
    Unknown,
    /// No connection to the gateway could be opened.
    NotReached,
    /// The caller stopped waiting before an answer arrived.
    GaveUp,
}

const COMPLETED: &str = "completed";
const NOT_RUN: &str = "not-run";
const FAILED: &str = "failed";
const UNKNOWN: &str = "unknown";
const NOT_REACHED: &str = "not-reached";
const GAVE_UP: &str = "gave-up";

impl StatedOutcome {
    /// Whether the actual outcome matches this stated one.
    pub fn fits(self, actual: Self) -> bool {
        match (self, actual) {
            (Self::NotRun(None), Self::NotRun(_)) => true,
            _ => self == actual,
        }
    }
}

impl From<Outcome> for StatedOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Completed => Self::Completed,
            Outcome::NotRun { reason, .. } => Self::NotRun(Some(reason)),
            Outcome::Failed => Self::Failed,
            Outcome::Unknown => Self::Unknown,
        }
    }
}

impl fmt::Display for StatedOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotRun(Some(reason)) => write!(formatter, "{NOT_RUN}: {reason}"),
            Self::NotRun(None) => formatter.write_str(NOT_RUN),
            Self::Completed => formatter.write_str(COMPLETED),
            Self::Failed => formatter.write_str(FAILED),
            Self::Unknown => formatter.write_str(UNKNOWN),
            Self::NotReached => formatter.write_str(NOT_REACHED),
            Self::GaveUp => formatter.write_str(GAVE_UP),
        }
    }
}

/// The text is not the name of an outcome.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error(
    "unknown outcome `{0}`: expected completed, not-run, not-run: REASON, failed, unknown, \
     not-reached or gave-up"
)]
pub struct UnknownOutcome(pub String);

impl FromStr for StatedOutcome {
    type Err = UnknownOutcome;

    fn from_str(text: &str) -> Result<Self, UnknownOutcome> {
        let unknown = || UnknownOutcome(text.to_owned());
        if let Some((NOT_RUN, reason)) = text.split_once(": ") {
            let reason = reason.parse().map_err(|()| unknown())?;
            return Ok(Self::NotRun(Some(reason)));
        }
        match text {
            COMPLETED => Ok(Self::Completed),
            NOT_RUN => Ok(Self::NotRun(None)),
            FAILED => Ok(Self::Failed),
            UNKNOWN => Ok(Self::Unknown),
            NOT_REACHED => Ok(Self::NotReached),
            GAVE_UP => Ok(Self::GaveUp),
            _ => Err(unknown()),
        }
    }
}
