//! Checkers: each reads the history only, and knows nothing of the code that is checked.

mod accepted_kept;
mod identity;
mod in_force;
mod one_digest;
mod order;
mod progress;
mod readable;

pub use in_force::delays;

use super::record::ControlRecord;
use super::scenario::Outcomes;
use super::world::Cast;
use crate::kernel::{Entry, Fact, ProcessId};
use std::fmt;

/// What a checker holds the history against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// No two bundles of one version are accepted or in force anywhere.
    OneDigestPerVersion,
    /// What was accepted is accepted ever after.
    AcceptedNeverLost,
    /// No replica and no daemon goes back to an older bundle.
    OrderNeverGoesBack,
    /// Every accepted bundle, or a newer one, is in force on every daemon in time.
    InForceInTime,
    /// An identity whose state was lost takes no part any more.
    LostIdentityNeverVotes,
    /// Whatever crash comes, a data folder can be read again.
    SyncedStaysReadable,
    /// Everything asked for is answered in the end, and as much as the scenario states.
    WorkIsDone,
}

impl fmt::Display for Promise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::OneDigestPerVersion => "one-digest-per-version",
            Self::AcceptedNeverLost => "accepted-never-lost",
            Self::OrderNeverGoesBack => "order-never-goes-back",
            Self::InForceInTime => "in-force-in-time",
            Self::LostIdentityNeverVotes => "lost-identity-never-votes",
            Self::SyncedStaysReadable => "synced-stays-readable",
            Self::WorkIsDone => "work-is-done",
        })
    }
}

/// A promise that a history breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What happened instead.
    pub message: String,
    /// Lines of the history that show it, in order.
    pub evidence: Vec<usize>,
}

/// What checkers are given.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// The history from beginning to end.
    pub history: &'a [Entry<ControlRecord>],
    /// Who is who.
    pub cast: &'a Cast,
    /// What the scenario states.
    pub outcomes: &'a Outcomes,
}

impl<'a> Evidence<'a> {
    /// What the domain recorded, with its position in the history.
    fn records(self) -> impl Iterator<Item = Line<'a>> {
        let lines = self.history.iter().enumerate();
        lines.filter_map(|(index, entry)| match &entry.fact {
            Fact::Domain(record) => Some(Line {
                index,
                process: entry.process,
                record,
            }),
            _ => None,
        })
    }
}

/// One record of the domain.
#[derive(Clone, Copy, Debug)]
struct Line<'a> {
    index: usize,
    process: Option<ProcessId>,
    record: &'a ControlRecord,
}

/// Holds a history against all promises.
pub fn check(evidence: Evidence<'_>) -> Vec<Violation> {
    let checkers = [
        one_digest::check,
        accepted_kept::check,
        order::check,
        in_force::check,
        identity::check,
        readable::check,
        progress::check,
    ];
    let checkers = checkers.into_iter();
    checkers.flat_map(|checker| checker(evidence)).collect()
}
