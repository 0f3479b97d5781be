//! Unsafe test doubles of the daemon, which wrap the real engine and prove that each checker can fail.

use serde::Deserialize;

/// Defect of an unsafe daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnsafeDouble {
    /// Makes up to three attempts of each failed call at its own hop, without retry tokens.
    RetryPerHop,
    /// Dispatches a run-once operation before its claim is granted.
    ClaimAfterDispatch,
    /// Reports "not run" where the outcome is unknown.
    NotRunOnTimeout,
    /// Matches an answer to the oldest attempt that waits for the answering process.
    MatchByOrder,
    /// Refuses attempts by the number in progress alone, regardless of class.
    ShedNewest,
    /// Exits as soon as a planned stop begins.
    StopWithoutDrain,
    /// Accepts only the sessions that it opened itself since its start.
    SessionTiedToDaemon,
    /// Delays refusals until the deadline.
    ParkedRefusals,
    /// Ignores the draining flag in its endpoint's load report.
    IgnoreDrain,
    /// Answers each caller twice.
    AnswerTwice,
}
