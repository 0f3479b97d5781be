//! Lease on the table: how long a daemon may go by the tenants of its route table.
//!
//! Rule: keys are used only while a quorum of the control group confirmed lately that no table newer than the one in
//! force was accepted. The lease counts from the moment at which the daemon asked.
//!
//! Inputs: the confirmations (the newest version at a moment after the daemon asked, asked for every 250 ms to 1 s
//! by the size of the fleet); the version in force; the bound of the settings; a clock that goes on while the
//! process is paused.
//!
//! Reason: a key that operators took away must not be accepted for long by any daemon, whether the change reaches it
//! or not. A daemon that wakes from a pause sees its lease as over.
//!
//! Invariant: while the lease is valid, no version newer than the one in force was accepted longer ago
//! than the bound.
//!
//! Owns the lease. Relies on the control group for the confirmations and on the caller for time.
//!
//! Seen in: metrics `bramblewheel_has_lease` (1 or 0) and `bramblewheel_without_lease` (requests refused); log lines
//! `lease on table begins`, `lease on table is over`, `lease not renewed` (`reason`, `left_ms`) and `request refused`
//! (`reason`).

use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Part of the bound that a lease uses, 0 to 1: clocks of two machines run apart by far less than the rest. Chosen,
/// not measured.
const USED_PART: f64 = 0.97;
/// Taken off besides: the time from the check of the lease until the request is on its way. Chosen, not measured.
const TIME_FROM_CHECK_TO_USE: Duration = Duration::from_millis(50);

/// A confirmation for a version that is not in force here yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    version: TableVersion,
    asked_at: Timestamp,
}

/// The lease on the tenants of the table in force.
#[derive(Debug)]
pub struct TableLease {
    /// Length of a lease; without one the table is used for as long as it is in force.
    length: Option<Duration>,
    installed: TableVersion,
    valid_until: Timestamp,
    pending: Option<Pending>,
}

impl TableLease {
    /// A lease for deployments in which a key must be out of use `bound` after its end was accepted;
    /// one that never ends where there is no bound.
    pub fn new(bound: Option<Duration>) -> Self {
        let length = |bound: Duration| {
            bound
                .mul_f64(USED_PART)
                .saturating_sub(TIME_FROM_CHECK_TO_USE)
        };
        Self {
            length: bound.map(length),
            installed: TableVersion::default(),
            valid_until: Timestamp::ZERO,
            pending: None,
        }
    }

    /// Whether keys are used only under a lease.
    pub fn is_required(&self) -> bool {
        self.length.is_some()
    }

    /// Records that a quorum confirmed, at some moment after `asked_at`, that `newest` was the newest
    /// version.
    pub fn confirm(&mut self, asked_at: Timestamp, newest: TableVersion) {
        if newest <= self.installed {
            return self.extend(asked_at);
        }
        let is_newer = |pending: &Pending| newest > pending.version;
        if self.pending.as_ref().is_none_or(is_newer) {
            self.pending = Some(Pending {
                version: newest,
                asked_at,
            });
        }
    }

    /// Records which version is in force here from now on.
    pub fn install(&mut self, version: TableVersion) {
        self.installed = version;
        if let Some(pending) = self.pending.take_if(|pending| pending.version <= version) {
            self.extend(pending.asked_at);
        }
    }

    fn extend(&mut self, asked_at: Timestamp) {
        let length = self.length.unwrap_or_default();
        self.valid_until = self.valid_until.max(asked_at + length);
    }

    /// Whether keys may be used now.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.length.is_none() || now < self.valid_until
    }

    /// Time for which keys may still be used; none where that has no end.
    pub fn left(&self, now: Timestamp) -> Option<Duration> {
        self.length.map(|_| self.valid_until.since(now))
    }
}
