//! Ejection: how long an endpoint that could not be reached is chosen only if there is no other.
//!
//! Rule: an endpoint that could not be reached, or lost three answers in a row, is ejected for 200 ms, doubled with
//! each repetition up to 2 s; an answer resets the time. One whose daemon is stopping is ejected for 800 ms.
//!
//! Inputs: how this daemon's attempts ended, in order. Reason: an attempt at an unavailable endpoint costs its caller
//! time, while one that is available again must soon be tried again.
//!
//! State: the counts of one endpoint. Observability: metric `bramblewheel_attempts` (by result); log line `attempt
//! failed` (`endpoint`, `result`).

use super::AttemptEnd;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Duration of the first ejection; doubled with each failure in a row.
const FIRST_EJECTION: Duration = Duration::from_millis(200);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(2);
/// Most doublings; keeps the multiple in range. More than the longest duration needs.
const MAX_DOUBLINGS: u32 = 4;
/// Lost answers in a row that count as a failure to reach the endpoint.
const LOST_IN_A_ROW: u32 = 3;
/// Ejection time of an endpoint whose daemon refuses because it is stopping.
const LEAVING_PAUSE: Duration = Duration::from_millis(800);

/// Consecutive failures of one endpoint, and until when it is ejected for them.
#[derive(Debug, Default)]
pub(super) struct Ejection {
    /// Ejections since the last answer.
    failures: u32,
    /// Answers lost since the last one that arrived.
    lost_in_a_row: u32,
    until: Timestamp,
}

impl Ejection {
    /// Whether the endpoint is ejected now.
    pub(super) fn is_in_force(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Records how an attempt at the endpoint has ended.
    pub(super) fn record_end(&mut self, now: Timestamp, end: AttemptEnd) {
        match end {
            AttemptEnd::Answered(_) => {
                self.failures = 0;
                self.lost_in_a_row = 0;
            }
            AttemptEnd::Unreachable => self.eject(now),
            AttemptEnd::Lost => {
                self.lost_in_a_row += 1;
                if self.lost_in_a_row >= LOST_IN_A_ROW {
                    self.eject(now);
                }
            }
            AttemptEnd::Leaving => self.until = now + LEAVING_PAUSE,
            AttemptEnd::GivenUp(_)
            | AttemptEnd::Failed(_)
            | AttemptEnd::Full
            | AttemptEnd::RateLimited
            | AttemptEnd::OutOfTime
            | AttemptEnd::Quarantined
            | AttemptEnd::Rejected => {}
        }
    }

    fn eject(&mut self, now: Timestamp) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = (FIRST_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
        self.failures += 1;
        self.until = now + pause;
    }
}
