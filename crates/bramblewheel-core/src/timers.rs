//! Points in time at which the engine must act by itself.

use bramblewheel_types::{AttemptId, CallId, Timestamp};
use std::collections::BTreeSet;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of an outbound call.
    CallDeadline(CallId),
    /// The deadline of an inbound attempt.
    AttemptDeadline(AttemptId),
    /// The wait for a ledger's answer is over.
    ClaimTimeout(AttemptId),
    /// A claim that another attempt held is to be asked for again.
    ClaimAgain(AttemptId),
    /// A run-once dispatch that nobody waits for has had its grace.
    DetachedDispatch(AttemptId),
}

/// Timers in the order in which they are due. Each is set and cleared in logarithmic time, and
/// is cleared with its owner, so that there are never more than a few per call in progress.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    due: BTreeSet<(Timestamp, Timer)>,
}

impl Timers {
    pub(crate) fn set(&mut self, at: Timestamp, timer: Timer) {
        self.due.insert((at, timer));
    }

    pub(crate) fn clear(&mut self, at: Timestamp, timer: Timer) {
        self.due.remove(&(at, timer));
    }

    pub(crate) fn next(&self) -> Option<Timestamp> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Takes the first timer that is due by `now`.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        let (at, _) = *self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
