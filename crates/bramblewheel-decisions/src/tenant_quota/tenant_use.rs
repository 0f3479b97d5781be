//! Requests of one tenant received and admitted at one daemon, and the sums over all daemons.
//!
//! It holds the slots of the tenant's window at this daemon, and the last sums with this daemon's use that they
//! include.

use super::settings::{RATE_SLOTS, SLOTS};
use bramblewheel_protocol::routing::TenantUsage;
use bramblewheel_types::Timestamp;
use std::collections::VecDeque;

/// By how much the own parts of all daemons may add up to more than 1 while a tenant's load surges, since they are
/// known as of different moments. Deducted from each part, in proportion to what other daemons use.
const SUMS_LAG_PART: f64 = 0.13;

/// Requests of one slot.
#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    asked: u32,
    admitted: u32,
}

/// Sums over all daemons, and the use of this one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sums {
    /// Use at all daemons.
    pub(super) all: TenantUsage,
    /// Use of this daemon that they include.
    pub(super) own: TenantUsage,
    /// When they arrived.
    pub(super) received: Timestamp,
}

impl Sums {
    /// Part of all requests, 0 to 1, that this daemon may admit, by what it has admitted so far.
    pub(super) fn own_part(&self) -> f64 {
        let part = f64::from(self.own.admitted) / f64::from(self.all.admitted.max(1));
        part * (1.0 - SUMS_LAG_PART * (1.0 - part).max(0.0))
    }
}

/// Use and sums of one tenant.
#[derive(Debug, Default)]
pub(super) struct TenantUse {
    /// The window's slots in which requests arrived, oldest first.
    slots: VecDeque<Slot>,
    /// The last sums; none before the first.
    pub(super) sums: Option<Sums>,
    /// Random, 0 to 1, so that a fraction of a request is rounded up at some daemons and down at others.
    pub(super) rounding: Option<f64>,
}

impl TenantUse {
    /// Whether no request arrived within the window that ends with the slot `newest`.
    pub(super) fn is_idle(&mut self, newest: u64) -> bool {
        self.drop_old(newest);
        self.slots.is_empty()
    }

    /// Counts a request in the slot `number`, the newest one.
    pub(super) fn record(&mut self, number: u64, is_admitted: bool) {
        self.drop_old(number);
        if self.slots.back().is_none_or(|slot| slot.number != number) {
            self.slots.push_back(Slot {
                number,
                asked: 0,
                admitted: 0,
            });
        }
        if let Some(slot) = self.slots.back_mut() {
            slot.asked += 1;
            slot.admitted += u32::from(is_admitted);
        }
    }

    /// Removes a request that was admitted in the slot `number` from the counts.
    pub(super) fn refund(&mut self, number: u64) {
        let slot = self.slots.iter_mut().find(|slot| slot.number == number);
        if let Some(slot) = slot {
            slot.admitted = slot.admitted.saturating_sub(1);
            slot.asked = slot.asked.saturating_sub(1);
        }
    }

    /// The use in the window that ends with the slot `newest`: admitted requests over the whole window, received ones
    /// over its newest slots.
    pub(super) fn usage(&self, tenant: u64, newest: u64) -> TenantUsage {
        let mut usage = TenantUsage {
            tenant,
            ..TenantUsage::default()
        };
        for slot in &self.slots {
            let age = newest.saturating_sub(slot.number);
            if age > u64::from(SLOTS) {
                continue;
            }
            usage.admitted += slot.admitted;
            if age < u64::from(RATE_SLOTS) {
                usage.asked += slot.asked;
            }
        }
        usage
    }

    fn drop_old(&mut self, newest: u64) {
        let is_old = |slot: &Slot| slot.number + u64::from(SLOTS) < newest;
        while self.slots.front().is_some_and(is_old) {
            self.slots.pop_front();
        }
    }
}
