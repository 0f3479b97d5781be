//! What can be wrong with a trace, and what can differ in its replay.

use super::outcome::StatedOutcome;
use bramblewheel_types::RequestId;
use thiserror::Error;

pub use crate::source_text::SourceError as TraceError;

/// A stated outcome that the replay did not bring.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Difference {
    /// A send ended in another way.
    #[error("request {request}, send {send}: stated {stated}, replayed {replayed}")]
    Send {
        /// The request.
        request: RequestId,
        /// Which of its sends, from 1.
        send: usize,
        /// What the trace states.
        stated: StatedOutcome,
        /// What the replay brought.
        replayed: StatedOutcome,
    },
    /// Too few requests were answered in time.
    #[error("completed, {subject}: stated at least {stated}, replayed {replayed}")]
    Completed {
        /// Which requests count.
        subject: String,
        /// What the trace states.
        stated: u64,
        /// What the replay brought.
        replayed: u64,
    },
    /// Requests were not served again in time.
    #[error(
        "recovery within {within_ms} ms of {from_ms} ms: stated {stated} percent completed from \
         then on, replayed {good} of {all}; first that was not: request {request}"
    )]
    Recovery {
        /// When the cause ended, in milliseconds.
        from_ms: u64,
        /// Time to recover, in milliseconds.
        within_ms: u64,
        /// Percent stated.
        stated: u64,
        /// Requests completed in time.
        good: u64,
        /// Requests that count.
        all: u64,
        /// The first request that was not completed in time.
        request: RequestId,
    },
    /// An operation ran more than once.
    #[error("operations run once: {operation} of request {request} ran {times} times")]
    RanTwice {
        /// The operation.
        operation: String,
        /// A request that asked for it.
        request: RequestId,
        /// How often it ran.
        times: usize,
    },
    /// A request caused more extra runs than it may.
    #[error("retries within bound: request {request} caused {extra} extra runs, bound {bound}")]
    Retries {
        /// The request.
        request: RequestId,
        /// Extra runs.
        extra: usize,
        /// Extra runs allowed.
        bound: usize,
    },
    /// Something ran for a send that was told that nothing did.
    #[error("not-run is true: request {request}, send {send}: told not-run, yet {runs} runs")]
    NotRunUntrue {
        /// The request.
        request: RequestId,
        /// Which of its sends, from 1.
        send: usize,
        /// Runs for it.
        runs: usize,
    },
}

/// A run could not be recorded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The replay brings other outcomes than the run that was recorded.
    #[error("the replay differs from the run in {} places, first: {first}", .count)]
    Differs {
        /// Number of differences.
        count: usize,
        /// The first one.
        first: Box<Difference>,
    },
}
