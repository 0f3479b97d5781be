//! Usual run time: whether a request can still end in time if it is sent to the endpoint now.
//!
//! Rule: a request is sent only if the time left is at least the usual run time of its class at the endpoint, which is a
//! quantile of the last runs that were answered with success within some seconds. Without enough such runs nothing is
//! refused.
//!
//! Inputs: for each successful run its time from the send to the head of the answer, and when it ended.
//!
//! Reason: a run that ends after the deadline is work that nobody receives, and its caller learns only that the request
//! may have run. A request that is refused in time has provably not run. Runs are forgotten after a while, so that a
//! class whose requests are all refused is tried again.
//!
//! State: the last runs of one class at one endpoint.
//!
//! Observability: log line `too late to start` (`left_ms`, `usual_ms`); metric `bramblewheel_inbound` (result
//! `out-of-time`).

use bramblewheel_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of runs that are kept.
const MAX_RUNS: usize = 16;
/// Least number of recent runs from which a usual time is known.
const MIN_RUNS: usize = 4;
/// Age at which a run is forgotten.
const RUN_LIFETIME: Duration = Duration::from_secs(3);
/// The part of the runs, 0 to 1, that took no longer than the usual time.
const USUAL_QUANTILE: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Run {
    ended: Timestamp,
    time: Duration,
}

/// The last successful runs of one class.
#[derive(Debug, Default)]
pub struct RunTimes(VecDeque<Run>);

impl RunTimes {
    /// Records a run that was answered with success after `time`.
    pub fn record(&mut self, ended: Timestamp, time: Duration) {
        if self.0.len() >= MAX_RUNS {
            self.0.pop_front();
        }
        self.0.push_back(Run { ended, time });
    }

    /// The usual run time; `None` if too few runs ended recently.
    pub fn usual(&self, now: Timestamp) -> Option<Duration> {
        let recent = self
            .0
            .iter()
            .filter(|run| now.since(run.ended) <= RUN_LIFETIME);
        let mut times: Vec<Duration> = recent.map(|run| run.time).collect();
        if times.len() < MIN_RUNS {
            return None;
        }
        times.sort_unstable();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a part of a small number"
        )]
        let index = ((times.len() - 1) as f64 * USUAL_QUANTILE) as usize;
        Some(times[index])
    }
}
