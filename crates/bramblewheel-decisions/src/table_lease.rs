//! Lease on the route table: how long a daemon may use the tenants of its table.
//!
//! Rule: keys are accepted only while a quorum of the control group has recently confirmed that no table newer than the
//! one in force was accepted. The lease starts at the time at which the daemon asked.
//!
//! Inputs: the confirmations (the newest version at some time after the daemon asked, requested every 250 ms to 1 s
//! depending on the size of the fleet); the version in force; the bound of the settings; a clock that keeps running
//! while the process is paused.
//!
//! Reason: no daemon may accept a revoked key for long, whether the change reaches it or not. A daemon that resumes
//! after a pause sees that its lease has expired.
//!
//! Invariant: while the lease is valid, no version newer than the one in force was accepted longer ago than the bound.
//!
//! State: the lease. The confirmations come from the control group.
//!
//! Observability: metrics `bramblewheel_has_lease` (1 or 0) and `bramblewheel_without_lease` (requests refused); log
//! lines `lease on table begins`, `lease on table is over`, `lease not renewed` (`reason`, `left_ms`) and `request
//! refused` (`reason`).

use bramblewheel_protocol::routing::TableVersion;
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// Part of the bound that a lease lasts, 0 to 1; the rest is far more than the clocks of two machines drift apart.
const LEASE_PART: f64 = 0.97;
/// Also deducted: the time from the check of the lease until the request is sent on.
const TIME_FROM_CHECK_TO_USE: Duration = Duration::from_millis(50);

/// A confirmation of a version that is not in force here yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    version: TableVersion,
    asked_at: Timestamp,
}

/// The lease on the tenants of the table in force.
#[derive(Debug)]
pub struct TableLease {
    /// Length of a lease; if none, the table may be used as long as it is in force.
    length: Option<Duration>,
    installed: TableVersion,
    valid_until: Timestamp,
    pending: Option<Pending>,
}

impl TableLease {
    /// A lease for deployments in which a revoked key must be out of use within `bound` after the revocation was
    /// accepted; without a bound the lease never expires.
    pub fn new(bound: Option<Duration>) -> Self {
        let length = |bound: Duration| {
            bound
                .mul_f64(LEASE_PART)
                .saturating_sub(TIME_FROM_CHECK_TO_USE)
        };
        Self {
            length: bound.map(length),
            installed: TableVersion::default(),
            valid_until: Timestamp::ZERO,
            pending: None,
        }
    }

    /// Whether keys may be used only under a lease.
    pub fn is_required(&self) -> bool {
        self.length.is_some()
    }

    /// Records that a quorum confirmed that `newest` was the newest version at some time after `asked_at`.
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

    /// Records the version that is in force from now on.
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

    /// Time for which keys may still be used; none if unlimited.
    pub fn remaining(&self, now: Timestamp) -> Option<Duration> {
        self.length.map(|_| self.valid_until.since(now))
    }
}
