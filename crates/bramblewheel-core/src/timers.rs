//! Timers of the engine.

use bramblewheel_types::{AttemptId, CallId, Timestamp};
use std::collections::BTreeSet;

/// Event of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of an outbound call.
    CallDeadline(CallId),
    /// The deadline of an inbound attempt.
    AttemptDeadline(AttemptId),
    /// A claim request to the ledger has timed out.
    ClaimTimeout(AttemptId),
    /// A claim request is to be repeated, because another attempt held the claim.
    RepeatClaim(AttemptId),
    /// The grace time of a run-once dispatch without a waiting caller is over.
    DetachedDispatch(AttemptId),
}

/// Timers in due order. Setting and clearing takes logarithmic time. Timers are cleared with their
/// owner, so there are never more than a few per call in progress.
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

    /// Removes and returns the first timer due at or before `now`.
    pub(crate) fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        let (at, _) = *self.due.first()?;
        if at > now {
            return None;
        }
        self.due.pop_first().map(|(_, timer)| timer)
    }
}
