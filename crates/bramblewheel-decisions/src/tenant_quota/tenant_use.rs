//! Requests of one tenant received and admitted at one daemon, and the sums over all daemons.
//!
//! It holds the slots of the tenant's window at this daemon, the last sums with this daemon's use that they include,
//! and the allowances that it has stated.

use super::settings::{RATE_SLOTS, SLOTS};
use crate::tenants::Quota;
use bramblewheel_protocol::routing::{AGES, TenantUsage};
use bramblewheel_types::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Slots in one of the parts of the window that reports tell apart.
const SLOTS_PER_AGE: u64 = SLOTS as u64 / AGES as u64;

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
    /// Part of the quota, 0 to 1, that daemons without a known report may have used.
    pub(super) unaccounted: f64,
    /// Whether they set requests aside for daemons which the replicas do not hear.
    pub(super) has_reserved: bool,
    /// When this daemon asked for them.
    pub(super) asked_at: Timestamp,
    /// Time until they arrived.
    pub(super) answer_time: Duration,
}

/// Use and sums of one tenant.
#[derive(Debug, Default)]
pub(super) struct TenantUse {
    /// The window's slots in which requests arrived, oldest first.
    slots: VecDeque<Slot>,
    /// The tenant's quota at its last request.
    pub(super) quota: Option<Quota>,
    /// The last sums; none before the first.
    pub(super) sums: Option<Sums>,
    /// Lowest allowance stated in a report that a replica may hold as the latest one.
    pub(super) stated_allowance: f64,
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
        for (age, slot) in self.slots_by_age(newest) {
            usage.admitted += slot.admitted;
            if age < u64::from(RATE_SLOTS) {
                usage.asked += slot.asked;
            }
        }
        usage
    }

    /// Admitted requests by age, in equal parts of the window that ends with the slot `newest`.
    pub(super) fn admitted_by_age(&self, newest: u64) -> [u32; AGES] {
        let mut by_age = [0; AGES];
        for (age, slot) in self.slots_by_age(newest) {
            let part = usize::try_from(age / SLOTS_PER_AGE).unwrap_or(AGES);
            by_age[part.min(AGES - 1)] += slot.admitted;
        }
        by_age
    }

    /// Slots of the window that ends with the slot `newest`, with their ages in slots.
    fn slots_by_age(&self, newest: u64) -> impl Iterator<Item = (u64, &Slot)> {
        let slots = self.slots.iter();
        let with_age = slots.map(move |slot| (newest.saturating_sub(slot.number), slot));
        with_age.filter(|(age, _)| *age <= u64::from(SLOTS))
    }

    fn drop_old(&mut self, newest: u64) {
        let is_old = |slot: &Slot| slot.number + u64::from(SLOTS) < newest;
        while self.slots.front().is_some_and(is_old) {
            self.slots.pop_front();
        }
    }
}
