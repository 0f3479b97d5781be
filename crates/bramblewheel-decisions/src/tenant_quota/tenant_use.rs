//! What one daemon was asked for and admitted for one tenant, and the sums over all daemons.
//!
//! Owns the slots of the tenant's window at this daemon, and the last sums with the own use that they contain.

use super::settings::{RATE_SLOTS, SLOTS};
use bramblewheel_protocol::routing::TenantUsage;
use bramblewheel_types::Timestamp;
use std::collections::VecDeque;

/// By how much the own parts of all daemons may add up to more than one while a tenant turns hot, since what each
/// admitted is known from moments that differ. Taken off each part, as far as there are others. Chosen, not measured.
const LATE_PART: f64 = 0.13;

/// Requests of one slot.
#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    asked: u32,
    admitted: u32,
}

/// Sums over all daemons, with the part of this one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sums {
    /// Use at all daemons.
    pub(super) all: TenantUsage,
    /// The own use that is in them.
    pub(super) own: TenantUsage,
    /// When they arrived.
    pub(super) received: Timestamp,
}

impl Sums {
    /// Part of all requests, 0 to 1, that this daemon may admit, by what it admitted before.
    pub(super) fn own_part(&self) -> f64 {
        let part = f64::from(self.own.admitted) / f64::from(self.all.admitted.max(1));
        part * (1.0 - LATE_PART * (1.0 - part).max(0.0))
    }
}

/// What is known of one tenant.
#[derive(Debug, Default)]
pub(super) struct TenantUse {
    /// The window's slots in which requests came, the oldest first.
    slots: VecDeque<Slot>,
    /// The last sums; none before the first.
    pub(super) sums: Option<Sums>,
    /// Drawn between 0 and 1, so that a part of a request is rounded up at some daemons and down at others.
    pub(super) rounding: Option<f64>,
}

impl TenantUse {
    /// Whether nothing was asked for within the window that ends with the slot `newest`.
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

    /// Takes a request that was admitted in the slot `number` out of the counts.
    pub(super) fn refund(&mut self, number: u64) {
        let slot = self.slots.iter_mut().find(|slot| slot.number == number);
        if let Some(slot) = slot {
            slot.admitted = slot.admitted.saturating_sub(1);
            slot.asked = slot.asked.saturating_sub(1);
        }
    }

    /// The use in the window that ends with the slot `newest`: admitted over all of it, asked for in its newest
    /// slots.
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
