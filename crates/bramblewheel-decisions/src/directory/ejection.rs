//! Ejection: for how long an endpoint that could not be reached is chosen only when there is no other.
//!
//! Rule: an endpoint that could not be reached, or lost three answers in a row, is ejected for 200 ms, doubled with
//! each further time up to 2 s; an answer ends the doubling. One whose daemon stops is left alone for 800 ms.
//!
//! Inputs: how this daemon's attempts ended, in their order. Reason: an attempt at an endpoint that is gone costs its
//! caller time, while one that is back must soon be tried again.
//!
//! Owns the counts of one endpoint; relies on the caller for time. Seen in: metric `bramblewheel_attempts` (by
//! result) and the log line `attempt failed` (`endpoint`, `result`).

use super::AttemptEnd;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// First time for which an endpoint is ejected; doubled with each failure in a row. Chosen, not measured.
const FIRST_EJECTION: Duration = Duration::from_millis(200);
/// Longest such time. Chosen, not measured.
const LONGEST_EJECTION: Duration = Duration::from_secs(2);
/// Doublings after which the time grows no further; keeps the multiple in range. Chosen: more than the longest time
/// needs.
const MOST_DOUBLINGS: u32 = 4;
/// Lost answers in a row that count as a failure to reach the endpoint. Chosen, not measured.
const LOST_IN_A_ROW: u32 = 3;
/// Time for which a daemon that refuses for its own stop is left alone. Chosen, not measured.
const LEAVING_PAUSE: Duration = Duration::from_millis(800);

/// Failures of one endpoint in a row, and until when it is ejected for them.
#[derive(Debug, Default)]
pub(super) struct Ejection {
    /// Ejections since the last answer.
    failures: u32,
    /// Lost answers since the last one that came.
    lost_in_a_row: u32,
    until: Timestamp,
}

impl Ejection {
    /// Whether the endpoint is ejected now.
    pub(super) fn is_in_force(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Records how an attempt at the endpoint has ended.
    pub(super) fn note_end(&mut self, now: Timestamp, end: AttemptEnd) {
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
            | AttemptEnd::Quarantined
            | AttemptEnd::Rejected => {}
        }
    }

    fn eject(&mut self, now: Timestamp) {
        let doublings = self.failures.min(MOST_DOUBLINGS);
        let pause = (FIRST_EJECTION * 2_u32.pow(doublings)).min(LONGEST_EJECTION);
        self.failures += 1;
        self.until = now + pause;
    }
}
