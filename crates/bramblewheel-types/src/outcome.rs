//! Outcome of a request as reported to its caller.

use crate::time::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Final outcome of a call. States only what is certain; `Unknown` where that can't be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint answered; the whole answer is passed on.
    Completed,
    /// No endpoint ran any part of the request.
    NotRun {
        /// Why it was not run.
        reason: NotRunReason,
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
    /// The request ran and the endpoint reported an error.
    Failed,
    /// The request may have run, wholly or in part.
    Unknown,
}

impl Outcome {
    /// Name used in the outcome header, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "completed",
            Self::NotRun { .. } => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }

    /// Whether the outcome states that no endpoint ran the request.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// Shed by admission control.
    Overloaded,
    /// The endpoint or its daemon is draining; another endpoint may take the request.
    Draining,
    /// The deadline passed, or could not be met, before the request was dispatched.
    DeadlineExceeded,
    /// The caller cancelled before dispatch.
    Cancelled,
    /// No live endpoint of the service is known.
    NoEndpoint,
    /// No connection could be opened to any endpoint.
    Unreachable,
    /// The retry tokens or the retry ratio budget are used up.
    RetryBudgetExhausted,
    /// The ledger of run-once operations could not be reached at a quorum.
    LedgerUnavailable,
    /// The operation key was minted before the retention horizon.
    OperationExpired,
    /// The call is deeper than the bundle allows.
    TooDeep,
    /// The daemon holds no confirmed bundle yet.
    NotReady,
    /// The request itself is not acceptable (bad header, unknown service, missing key).
    InvalidRequest,
}

impl NotRunReason {
    /// Every reason, in declaration order.
    pub const ALL: [Self; 12] = [
        Self::Overloaded,
        Self::Draining,
        Self::DeadlineExceeded,
        Self::Cancelled,
        Self::NoEndpoint,
        Self::Unreachable,
        Self::RetryBudgetExhausted,
        Self::LedgerUnavailable,
        Self::OperationExpired,
        Self::TooDeep,
        Self::NotReady,
        Self::InvalidRequest,
    ];

    /// Name used in the reason header, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::Draining => "draining",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::Cancelled => "cancelled",
            Self::NoEndpoint => "no-endpoint",
            Self::Unreachable => "unreachable",
            Self::RetryBudgetExhausted => "retry-budget-exhausted",
            Self::LedgerUnavailable => "ledger-unavailable",
            Self::OperationExpired => "operation-expired",
            Self::TooDeep => "too-deep",
            Self::NotReady => "not-ready",
            Self::InvalidRequest => "invalid-request",
        }
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for NotRunReason {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|reason| reason.as_str() == text)
            .ok_or(())
    }
}
