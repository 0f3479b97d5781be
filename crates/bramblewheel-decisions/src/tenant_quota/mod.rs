//! Quotas: whether a tenant's request is admitted here, so that all daemons together keep its quota.
//!
//! Rule: from the sums over all daemons every daemon works out the same part of the tenant's requests to admit: what
//! the sliding window has left, spent over a part of the window. Besides, each daemon holds to the part of the quota
//! that it used when the sums were made; that bounds what all admit while no sums come, whatever is asked for.
//!
//! Inputs: requests asked for and admitted here, over the window of the settings; the sums over all daemons
//! (reported to and received from the control group every 250 ms to 1 s by the size of the fleet; fresh for 600 ms);
//! the tenant's quota (requests a second and at once); the number of daemons; a number drawn for the request.
//!
//! Reason: a tenant's requests enter at every daemon, a few at each. No daemon can tell by itself whether the quota
//! is used up, and even shares would refuse the second of two requests that come together by chance. What was
//! admitted too much before the sums arrived is paid back within the window.
//!
//! Owns this daemon's counts and the last sums. Relies on the caller for time and the draw, and on the control group
//! for the sums.
//!
//! Seen in: metric `bramblewheel_over_quota`; log line `over quota` (`rate`, `burst`, `part`, `let_in`,
//! `sums_age_ms`).

mod settings;
mod tenant_use;

pub use settings::QuotaSettings;

use crate::bounded_map::make_space;
use crate::tenants::Quota;
use bramblewheel_protocol::routing::TenantUsage;
use bramblewheel_types::Timestamp;
use std::collections::HashMap;
use std::time::Duration;
use tenant_use::{Sums, TenantUse};

/// Age of the sums from which on a daemon holds to the part of the quota that it used before: two
/// exchanges, so that a tenant which turns hot while no replica answers is held back in time. Chosen, not measured.
const SUMS_LIFETIME: Duration = Duration::from_millis(600);
/// Requests beyond its own part that a daemon admits while sums come: a few requests of a small tenant
/// come together by chance. Chosen, not measured.
const SPARE_WITH_SUMS: f64 = 1.5;
/// Part of what the bound leaves above the quota that the daemons share out among them for requests
/// beyond their own parts while no sums come; the rest is for sums that were late. Chosen, not measured.
const SPARE_PART_WITHOUT_SUMS: f64 = 0.4;
/// Tenants whose requests are counted; bounds the memory. Chosen, not measured.
const MAX_TENANTS: usize = 20_000;

/// Whether a request is within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// It is admitted.
    Admitted(QuotaCharge),
    /// All daemons together admitted what the tenant may ask for.
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
    /// Part of the tenant's requests that is admitted now, 0 to 1.
    pub part: f64,
    /// Requests that all daemons admitted within the window, as far as known here.
    pub admitted: u32,
    /// Age of that figure.
    pub age: Duration,
}

/// What a daemon may admit of one tenant is worked out from this.
#[derive(Clone, Copy, Debug)]
struct KnownUse {
    /// Sums over all daemons, if they ever came for the tenant.
    sums: Option<Sums>,
    /// Requests that this daemon admitted within the window.
    admitted: f64,
    /// The tenant's rounding at this daemon, 0 to 1.
    rounding: f64,
}

/// All of a tenant's requests (1) while fewer than `most` were admitted, none (0) from there on.
fn part_within(admitted: f64, most: f64) -> f64 {
    f64::from(u8::from(admitted < most))
}

/// What this daemon admitted for each tenant, and the sums over all daemons.
#[derive(Debug)]
pub struct TenantQuotas {
    settings: QuotaSettings,
    daemons: u32,
    /// When sums arrived last, of whichever tenants.
    sums_received: Option<Timestamp>,
    /// Whether sums came for any tenant: since requests come at all.
    has_sums: bool,
    uses: HashMap<u64, TenantUse>,
}

impl TenantQuotas {
    /// Nothing was admitted yet.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            daemons: 1,
            sums_received: None,
            has_sums: false,
            uses: HashMap::new(),
        }
    }

    /// Sets how many daemons admit requests; at least one.
    pub fn share_among(&mut self, daemons: u32) {
        self.daemons = daemons.max(1);
    }

    fn slot_number(&self, now: Timestamp) -> u64 {
        let slot = self.settings.slot().as_micros().max(1);
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
        let slot = self.slot_number(now);
        let known = self.known_use(tenant, slot, chance);
        let part = self.part(now, quota, known);
        let is_admitted = part >= 1.0 || chance < part;
        if let Some(tenant_use) = self.uses.get_mut(&tenant) {
            tenant_use.record(slot, is_admitted);
        }
        if is_admitted {
            return QuotaDecision::Admitted(QuotaCharge { tenant, slot });
        }
        let sums = known.sums;
        QuotaDecision::Over(OverQuota {
            part,
            admitted: sums.map_or(0, |sums| sums.all.admitted),
            age: sums.map_or(Duration::ZERO, |sums| now.since(sums.received)),
        })
    }

    /// What is known of a tenant in the window that ends with the slot `newest`; its rounding is `chance` if it has
    /// none yet.
    fn known_use(&mut self, tenant: u64, newest: u64, chance: f64) -> KnownUse {
        make_space(&mut self.uses, &tenant, MAX_TENANTS);
        let tenant_use = self.uses.entry(tenant).or_default();
        KnownUse {
            rounding: *tenant_use.rounding.get_or_insert(chance),
            admitted: f64::from(tenant_use.usage(tenant, newest).admitted),
            sums: tenant_use.sums,
        }
    }

    /// Part of a tenant's requests to be admitted, 0 to 1.
    fn part(&self, now: Timestamp, quota: Quota, known: KnownUse) -> f64 {
        let KnownUse {
            sums,
            admitted,
            rounding,
        } = known;
        let received = self.sums_received;
        let is_fresh = received.is_none_or(|at| now.since(at) <= SUMS_LIFETIME);
        let permitted = self.settings.permitted(quota);
        let daemons = f64::from(self.daemons);
        let spare = self.settings.margin(quota) * SPARE_PART_WITHOUT_SUMS / daemons;
        match sums {
            Some(sums) if is_fresh => {
                let own_share = permitted * sums.own_part() + SPARE_WITH_SUMS;
                let by_own_share = part_within(admitted, own_share);
                let by_sums = self.settings.admitted_part(quota, &sums.all);
                by_sums.min(by_own_share)
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

    /// Refunds a request that was admitted and has provably not run: only what runs uses up a quota.
    pub fn refund(&mut self, charge: QuotaCharge) {
        if let Some(tenant_use) = self.uses.get_mut(&charge.tenant) {
            tenant_use.refund(charge.slot);
        }
    }

    /// What this daemon was asked for and admitted, for the tenants that asked within the window.
    pub fn usage(&mut self, now: Timestamp) -> Vec<TenantUsage> {
        let newest = self.slot_number(now);
        self.uses
            .retain(|_, tenant_use| !tenant_use.is_idle(newest));
        let usage = |(tenant, known): (&u64, &TenantUse)| known.usage(*tenant, newest);
        self.uses.iter().map(usage).collect()
    }

    /// Takes the sums over all daemons for the tenants of `own`, the use that this daemon reported before.
    pub fn take_sums(&mut self, now: Timestamp, own: &[TenantUsage], sums: &[TenantUsage]) {
        self.sums_received = Some(now);
        self.has_sums |= !sums.is_empty();
        let own: HashMap<u64, TenantUsage> = own.iter().map(|own| (own.tenant, *own)).collect();
        for all in sums {
            let tenant_use = self.uses.get_mut(&all.tenant);
            let (Some(tenant_use), Some(own)) = (tenant_use, own.get(&all.tenant)) else {
                continue;
            };
            tenant_use.sums = Some(Sums {
                all: *all,
                own: *own,
                received: now,
            });
        }
    }
}
