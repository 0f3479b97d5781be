//! Checkers of the promises. They read only the history and are independent of the checked code.

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
use super::world::ProcessRoles;
use crate::kernel::{Entry, Fact, ProcessId};
use std::fmt;

/// A property that every history must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// No two bundles of one version are accepted or in force anywhere.
    OneDigestPerVersion,
    /// Accepted bundles stay accepted.
    AcceptedNeverLost,
    /// No replica and no daemon goes back to an older bundle.
    OrderNeverGoesBack,
    /// Every accepted bundle, or a newer one, is in force on every daemon in time.
    InForceInTime,
    /// An identity whose state was lost takes no further part.
    LostIdentityNeverVotes,
    /// A data folder is readable after any crash.
    SyncedStaysReadable,
    /// Every publish and repair is answered at the end, and at least as many succeed as the scenario states.
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

/// A violation of a promise in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// Description of the violation.
    pub message: String,
    /// Indices of the history entries that show it, in order.
    pub evidence: Vec<usize>,
}

/// Input of the checkers.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// The whole history.
    pub history: &'a [Entry<ControlRecord>],
    /// Processes by role.
    pub roles: &'a ProcessRoles,
    /// Outcomes that the scenario states.
    pub outcomes: &'a Outcomes,
}

impl<'a> Evidence<'a> {
    /// Records of the domain with their positions in the history.
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

/// A record of the domain with its position in the history.
#[derive(Clone, Copy, Debug)]
struct Line<'a> {
    index: usize,
    process: Option<ProcessId>,
    record: &'a ControlRecord,
}

/// Checks a history against all promises.
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
