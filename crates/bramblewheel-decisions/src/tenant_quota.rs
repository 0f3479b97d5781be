//! How many requests of a tenant this daemon lets in, so that all daemons together keep its quota.
//!
//! A tenant's requests enter at every daemon, a few at each, so that no daemon can tell by itself
//! whether the quota is used up, and fixed shares would refuse the second of two requests that happen
//! to come together. Each daemon therefore tells the control group several times a second what it was
//! asked for and what it let in, and is told the sums over all daemons. From these every daemon works
//! out the same part of the requests to let in: what the sliding window has left is let in over a part
//! of it. What was let in too much before the news came is so paid back within the window.
//!
//! Besides, a daemon holds to the part of the quota that it used when the sums were made: that bounds
//! what all let in while no sums come, whatever is asked for.

use crate::tenants::Quota;
use bramblewheel_protocol::routing::TenantUsage;
use bramblewheel_types::Timestamp;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Parts of a window that are counted together.
const SLOTS: u32 = 25;
/// Newest slots from which the rate of requests is taken: few, so that a surge shows at once.
const RATE_SLOTS: u32 = 3;
/// Part of the window over which what it has left is let in: several times as long as news of the sums
/// takes, so that no more is let in than it has left. A tenant that asks for more without end gets
/// `1 / (1 + SPENDING_PART)` of what the window holds, which is its rate where the burst is as much as
/// the rate.
const SPENDING_PART: f64 = 0.16;
/// Age of the sums from which on a daemon holds to the part of the quota that it used before: two
/// exchanges, so that a tenant which turns hot while no replica answers is held back in time.
const SUMS_LIFETIME: Duration = Duration::from_millis(600);
/// By how much the parts of all daemons may add up to more than one while a tenant turns hot: what each let
/// in is known from moments that differ. Taken off each part, as far as there are others.
const LATE_PART: f64 = 0.13;
/// Requests beyond its own part that a daemon lets in while sums come: a few requests of a small tenant
/// come together by chance.
const FRESH_SPARE: f64 = 1.5;
/// Part of what the bound leaves above the quota that the daemons share out among them for requests
/// beyond those parts; the rest is for sums that were late.
const SPARE_PART: f64 = 0.4;
/// Tenants whose requests are counted.
const MAX_TENANTS: usize = 20_000;

/// The bound on requests over all daemons, besides each tenant's own quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Part of what is allowed in a window by which it may be exceeded.
    pub overshoot: f64,
    /// Requests by which it may be exceeded besides.
    pub slack: f64,
}

impl QuotaSettings {
    fn slot(&self) -> Duration {
        self.window / SLOTS
    }

    /// Requests that are let in within a window. The overshoot and the slack are left for those that are let
    /// in before their sums are known.
    fn permitted(&self, quota: Quota) -> f64 {
        quota.rate * self.window.as_secs_f64() + quota.burst
    }

    /// Requests by which all daemons together may let in more than that.
    fn margin(&self, quota: Quota) -> f64 {
        self.permitted(quota) * self.overshoot + self.slack
    }

    /// Part of the requests of a tenant to be let in now, if all daemons together used this much.
    fn part_let_in(&self, quota: Quota, sums: &TenantUsage) -> f64 {
        let slot = self.slot().as_secs_f64();
        let rate_time = slot * f64::from(RATE_SLOTS);
        // What may be chance in a small number of requests is not taken for a surge.
        let asked = f64::from(sums.asked);
        let asked_per_second = (asked - asked.sqrt()) / rate_time;
        if asked_per_second <= 0.0 {
            return 1.0;
        }
        let left = self.permitted(quota) - f64::from(sums.admitted);
        let spending_time = self.window.as_secs_f64() * SPENDING_PART;
        (left / spending_time / asked_per_second).clamp(0.0, 1.0)
    }
}

/// Requests of one slot.
#[derive(Clone, Copy, Debug)]
struct Slot {
    number: u64,
    asked: u32,
    admitted: u32,
}

/// What is known of one tenant.
#[derive(Debug, Default)]
struct Use {
    slots: VecDeque<Slot>,
    /// Sums over all daemons, and the own use that is in them.
    sums: Option<Sums>,
    /// Drawn between 0 and 1, so that a part of a request is rounded up at some daemons and down at others.
    rounding: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Sums {
    all: TenantUsage,
    own: TenantUsage,
    at: Timestamp,
}

impl Sums {
    /// Part of all requests that this daemon may let in, by what it let in before.
    fn own_part(&self) -> f64 {
        let part = f64::from(self.own.admitted) / f64::from(self.all.admitted.max(1));
        part * (1.0 - LATE_PART * (1.0 - part).max(0.0))
    }
}

impl Use {
    fn drop_old(&mut self, newest: u64) {
        let is_old = |slot: &Slot| slot.number + u64::from(SLOTS) < newest;
        while self.slots.front().is_some_and(is_old) {
            self.slots.pop_front();
        }
    }

    /// Takes back a request that was let in at `number` and has not run.
    fn refund(&mut self, number: u64) {
        let slot = self.slots.iter_mut().find(|slot| slot.number == number);
        if let Some(slot) = slot {
            slot.admitted = slot.admitted.saturating_sub(1);
            slot.asked = slot.asked.saturating_sub(1);
        }
    }

    fn record(&mut self, number: u64, is_admitted: bool) {
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

    /// The use in the window that ends with the slot `newest`.
    fn usage(&self, tenant: u64, newest: u64) -> TenantUsage {
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
}

/// Whether a request is within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// It is let in.
    Admitted(QuotaCharge),
    /// All daemons together let in what the tenant may ask for.
    Over(OverQuota),
}

/// A request that counts towards its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaCharge {
    tenant: u64,
    slot: u64,
}

/// What a refusal for a quota was decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// Part of the tenant's requests that is let in now.
    pub part: f64,
    /// Requests that all daemons let in within the window, as far as known here.
    pub admitted: u32,
    /// Age of that figure.
    pub age: Duration,
}

/// All of a tenant's requests while fewer than `most` were let in, none from there on.
fn part_within(admitted: f64, most: f64) -> f64 {
    f64::from(u8::from(admitted < most))
}

/// What this daemon let in for each tenant, and the sums over all daemons.
#[derive(Debug)]
pub struct TenantQuotas {
    terms: QuotaSettings,
    daemons: u32,
    /// When sums came last, of whichever tenants.
    heard: Option<Timestamp>,
    /// Whether sums came for any tenant: since requests come at all.
    has_sums: bool,
    uses: HashMap<u64, Use>,
}

impl TenantQuotas {
    /// Nothing was let in yet.
    pub fn new(terms: QuotaSettings) -> Self {
        Self {
            terms,
            daemons: 1,
            heard: None,
            has_sums: false,
            uses: HashMap::new(),
        }
    }

    /// Notes how many daemons let requests in.
    pub fn share_among(&mut self, daemons: u32) {
        self.daemons = daemons.max(1);
    }

    fn slot_number(&self, now: Timestamp) -> u64 {
        let slot = self.terms.slot().as_micros().max(1);
        let number = now.since(Timestamp::ZERO).as_micros() / slot;
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Decides on a request of a tenant; `chance` is drawn evenly between 0 and 1.
    pub fn decide(
        &mut self,
        now: Timestamp,
        tenant: u64,
        quota: Quota,
        chance: f64,
    ) -> QuotaDecision {
        let newest = self.slot_number(now);
        if self.uses.len() >= MAX_TENANTS && !self.uses.contains_key(&tenant) {
            self.uses.clear();
        }
        let known = self.uses.entry(tenant).or_default();
        let rounding = *known.rounding.get_or_insert(chance);
        let admitted = f64::from(known.usage(tenant, newest).admitted);
        let sums = known.sums;
        let part = self.part(now, quota, sums, admitted, rounding);
        let is_admitted = part >= 1.0 || chance < part;
        if let Some(known) = self.uses.get_mut(&tenant) {
            known.record(newest, is_admitted);
        }
        if is_admitted {
            return QuotaDecision::Admitted(QuotaCharge {
                tenant,
                slot: newest,
            });
        }
        QuotaDecision::Over(OverQuota {
            part,
            admitted: sums.map_or(0, |sums| sums.all.admitted),
            age: sums.map_or(Duration::ZERO, |sums| now.since(sums.at)),
        })
    }

    /// Part of a tenant's requests to be let in, after `admitted` of them were within the window here.
    fn part(
        &self,
        now: Timestamp,
        quota: Quota,
        sums: Option<Sums>,
        admitted: f64,
        rounding: f64,
    ) -> f64 {
        let is_fresh = self.heard.is_none_or(|at| now.since(at) <= SUMS_LIFETIME);
        let permitted = self.terms.permitted(quota);
        let daemons = f64::from(self.daemons);
        let spare = self.terms.margin(quota) * SPARE_PART / daemons;
        match sums {
            Some(sums) if is_fresh => {
                let own_share = permitted * sums.own_part() + FRESH_SPARE;
                let by_own_share = part_within(admitted, own_share);
                self.terms.part_let_in(quota, &sums.all).min(by_own_share)
            }
            Some(sums) => {
                let own_share = permitted * sums.own_part() + spare;
                part_within(admitted + rounding, own_share)
            }
            // The tenant is new here.
            None if is_fresh => 1.0,
            None if self.has_sums => part_within(admitted + rounding, spare),
            // Nobody knows yet where requests enter.
            None => part_within(admitted + rounding, permitted / daemons),
        }
    }

    /// Takes back a request that was let in and has provably not run: only what runs uses up a quota.
    pub fn refund(&mut self, admitted: QuotaCharge) {
        if let Some(known) = self.uses.get_mut(&admitted.tenant) {
            known.refund(admitted.slot);
        }
    }

    /// What this daemon was asked for and let in, for the tenants that asked within the window.
    pub fn usage(&mut self, now: Timestamp) -> Vec<TenantUsage> {
        let newest = self.slot_number(now);
        self.uses.retain(|_, known| {
            known.drop_old(newest);
            !known.slots.is_empty()
        });
        let usage = |(tenant, known): (&u64, &Use)| known.usage(*tenant, newest);
        self.uses.iter().map(usage).collect()
    }

    /// Takes the sums over all daemons for the tenants of `own`, which this daemon told before.
    pub fn take_sums(&mut self, now: Timestamp, own: &[TenantUsage], sums: &[TenantUsage]) {
        self.heard = Some(now);
        self.has_sums |= !sums.is_empty();
        let own: HashMap<u64, TenantUsage> = own.iter().map(|own| (own.tenant, *own)).collect();
        for all in sums {
            let (Some(known), Some(own)) = (self.uses.get_mut(&all.tenant), own.get(&all.tenant))
            else {
                continue;
            };
            known.sums = Some(Sums {
                all: *all,
                own: *own,
                at: now,
            });
        }
    }
}
