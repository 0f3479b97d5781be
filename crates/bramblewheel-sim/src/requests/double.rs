//! Unsafe daemons, to see that each checker can fail. They stand around the real engine.

use serde::Deserialize;

/// What an unsafe daemon does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnsafeDouble {
    /// Tries each failed call again up to three times at its hop, without tokens.
    RetryPerHop,
    /// Dispatches a run-once operation first and asks for its claim afterwards.
    ClaimAfterDispatch,
    /// Says "not run" where nothing is known.
    NotRunOnTimeout,
    /// Gives an answer to the oldest attempt that waits for the process it comes from.
    MatchByOrder,
    /// Refuses attempts by their number alone, whatever their class.
    ShedNewest,
    /// Ends the process as soon as a planned stop begins.
    StopWithoutDrain,
    /// Knows only the sessions that it opened itself since its start.
    SessionTiedToDaemon,
    /// Holds refusals back until the deadline.
    ParkedRefusals,
    /// Does not look at its endpoint's wish to get no new work.
    IgnoreDrain,
    /// Answers callers twice.
    AnswerTwice,
}
