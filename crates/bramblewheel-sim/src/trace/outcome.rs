//! How a send ended for its caller, as traces state it.

use bramblewheel_types::{NotRunReason, Outcome};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// How a send ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatedOutcome {
    /// The whole answer came.
    Completed,
    /// It provably did not run; any reason fits if none is stated.
    NotRun(Option<NotRunReason>),
    /// It ran and ended in an error.
    Failed,
    /// It may have run.
    Unknown,
    /// No connection to the gateway could be opened.
    NotReached,
    /// The caller stopped waiting without an answer.
    GaveUp,
}

const COMPLETED: &str = "completed";
const NOT_RUN: &str = "not-run";
const FAILED: &str = "failed";
const UNKNOWN: &str = "unknown";
const NOT_REACHED: &str = "not-reached";
const GAVE_UP: &str = "gave-up";

impl StatedOutcome {
    /// Whether what happened is what is stated.
    pub fn fits(self, happened: Self) -> bool {
        match (self, happened) {
            (Self::NotRun(None), Self::NotRun(_)) => true,
            _ => self == happened,
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

/// The text names no outcome.
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
