//! Errors in trace files, and differences between a trace and its replay.

use super::outcome::StatedOutcome;
use bramblewheel_types::RequestId;
use thiserror::Error;

pub use crate::source_text::SourceError as TraceError;

/// A stated outcome that the replay did not reproduce.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Difference {
    /// A send ended with another outcome.
    #[error("request {request}, send {send}: stated {stated}, replayed {replayed}")]
    Send {
        /// The request.
        request: RequestId,
        /// Position of the send among those of the request, from 1.
        send: usize,
        /// Outcome that the trace states.
        stated: StatedOutcome,
        /// Outcome in the replay.
        replayed: StatedOutcome,
    },
    /// Too few requests were completed within their deadlines.
    #[error("completed, {subject}: stated at least {stated}, replayed {replayed}")]
    Completed {
        /// Description of the requests that count.
        subject: String,
        /// Least number that the trace states.
        stated: u64,
        /// Number in the replay.
        replayed: u64,
    },
    /// Too few requests were completed after the stated time to recover.
    #[error(
        "recovery within {within_ms} ms of {from_ms} ms: stated {stated} percent completed from \
         then on, replayed {completed} of {all}; first not completed: request {request}"
    )]
    Recovery {
        /// End of the disturbance, in milliseconds of virtual time.
        from_ms: u64,
        /// Stated time to recover, in milliseconds.
        within_ms: u64,
        /// Least percentage of completed requests that the trace states.
        stated: u64,
        /// Requests completed within their deadlines.
        completed: u64,
        /// Requests first sent after the time to recover.
        all: u64,
        /// The first request that was not completed within its deadline.
        request: RequestId,
    },
    /// A run-once operation ran more than once.
    #[error("operations run once: {operation} of request {request} ran {times} times")]
    RanTwice {
        /// Key of the operation.
        operation: String,
        /// A request that carried the key.
        request: RequestId,
        /// Number of runs.
        times: usize,
    },
    /// A request caused more extra runs than the bundle's retry tokens allow.
    #[error("retries within bound: request {request} caused {extra} extra runs, bound {bound}")]
    Retries {
        /// The request.
        request: RequestId,
        /// Runs beyond the first of each call.
        extra: usize,
        /// Extra runs allowed.
        bound: usize,
    },
    /// A send was answered `not-run` although an endpoint ran it.
    #[error(
        "not-run is true: request {request}, send {send}: answered not-run, but caused {runs} runs"
    )]
    NotRunUntrue {
        /// The request.
        request: RequestId,
        /// Position of the send among those of the request, from 1.
        send: usize,
        /// Runs that the send caused.
        runs: usize,
    },
}

/// A run can't be recorded as a trace.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecordError {
    /// The replay differs from the recorded run or from what the plan states.
    #[error("the replay differs from the run in {} places, first: {first}", .count)]
    Differs {
        /// Number of differences.
        count: usize,
        /// The first difference.
        first: Box<Difference>,
    },
}
