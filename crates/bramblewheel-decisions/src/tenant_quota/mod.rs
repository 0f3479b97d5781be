//! Tenant quotas: whether a tenant's request is admitted here, so that all daemons together keep its quota.
//!
//! Rule: every daemon computes from the sums over all daemons the same part of the tenant's requests to admit: what is
//! left of the quota in the sliding window, spent over a part of the window. Besides, each daemon holds to an allowance:
//! what it had admitted as of the sums and its share of the rest, so that the allowances of all daemons add up to the
//! quota. It states its allowance in its reports. While it receives no sums, it admits up to the lowest allowance that
//! a replica may still hold for it, since the replicas set that much aside for a daemon which they do not hear. A
//! process that has never had sums admits what an equal part of the quota regains since its start.
//!
//! Inputs: requests received and admitted here, over the window of the settings; the sums over all daemons (exchanged
//! with the control group every 250 ms to 1 s, depending on the size of the fleet) and the part of each quota that is
//! unaccounted for; the tenant's quota (requests per second and burst); the number of daemons; a random number for the
//! request.
//!
//! Reason: a tenant's requests enter at every daemon, a few at each. No daemon can tell alone whether the quota is used
//! up, and equal shares would refuse the second of two requests that arrive together by chance. An excess admitted
//! before the sums arrived is compensated within the window. What is not known of the use elsewhere counts as used.
//!
//! State: this daemon's counts and the last sums.
//!
//! Observability: metrics `bramblewheel_over_quota`, `bramblewheel_tenant_admitted` and `bramblewheel_tenant_limit`; log
//! lines `over quota` (`rate`, `burst`, `part`, `let_in`, `sums_age_ms`, `sums`, `unaccounted`) and `tenant beyond its
//! limit`.

mod settings;
mod tenant_use;

pub use settings::QuotaSettings;
use settings::reporting_delay;

use crate::tenants::Quota;
use bramblewheel_protocol::routing::{
    AdmissionDetails, FleetSums, TenantUsage, UsageReport, sums_lifetime,
};
use bramblewheel_types::Timestamp;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tenant_use::{Sums, TenantUse};

/// Requests beyond its allowance that a daemon admits while sums arrive: a few requests of a small tenant may arrive
/// together by chance.
const EXTRA_WITH_SUMS: f64 = 1.5;
/// Part of the margin above the quota that the daemons share for requests beyond their allowances while no sums arrive;
/// the rest is for sums that were late.
const EXTRA_PART_WITHOUT_SUMS: f64 = 0.4;
/// Most tenants whose requests are counted; bounds the memory. Requests of further tenants are refused, since what is
/// not counted can't be held to a quota.
const MAX_TENANTS: usize = 20_000;

/// Whether a request is within its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The request is admitted.
    Admitted(QuotaCharge),
    /// All daemons together have admitted as many requests as the quota allows.
    Over(OverQuota),
}

/// A request that was counted towards its tenant's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaCharge {
    tenant: u64,
    slot: u64,
}

/// What a daemon knows of the use at all daemons when it decides on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SumsState {
    /// The sums are recent.
    Fresh,
    /// The last sums are too old to follow.
    Old,
    /// No sums have arrived for the tenant.
    Missing,
}

impl SumsState {
    /// Value in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fresh => "fresh",
            Self::Old => "old",
            Self::Missing => "missing",
        }
    }
}

/// Figures behind a refusal for a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// Part of the tenant's requests that is admitted now, 0 to 1.
    pub part: f64,
    /// Requests that all daemons admitted within the window, as of the last sums.
    pub admitted: u32,
    /// Age of the sums.
    pub age: Duration,
    /// Part of the quota, 0 to 1, that daemons without a known report may have used.
    pub unaccounted: f64,
    /// What was known of the use at all daemons.
    pub sums: SumsState,
}

impl OverQuota {
    fn without_sums() -> Self {
        Self {
            part: 0.0,
            admitted: 0,
            age: Duration::ZERO,
            unaccounted: 0.0,
            sums: SumsState::Missing,
        }
    }
}

/// 1 (all requests are admitted) while fewer than `most` were admitted, else 0.
fn part_below(admitted: f64, most: f64) -> f64 {
    f64::from(u8::from(admitted < most))
}

/// Requests that this daemon admitted for each tenant, and the sums over all daemons.
#[derive(Debug)]
pub struct TenantQuotas {
    settings: QuotaSettings,
    started: Timestamp,
    /// How many daemons admit requests; `None` until a replica has told.
    daemons: Option<u32>,
    /// When this daemon asked for the last sums that it received, for any tenant.
    sums_asked_at: Option<Timestamp>,
    /// Part of the daemons, 0 to 1, that the replica behind the last sums heard.
    heard_part: f64,
    /// Whether sums have ever arrived for any tenant; false until the fleet has received requests.
    has_sums: bool,
    /// Whether a tenant without sums has sent requests since the last report.
    wants_sums: bool,
    uses: HashMap<u64, TenantUse>,
}

impl TenantQuotas {
    /// Quotas without any counts, of a process that starts at `started`.
    pub fn new(settings: QuotaSettings, started: Timestamp) -> Self {
        Self {
            settings,
            started,
            daemons: None,
            sums_asked_at: None,
            heard_part: 1.0,
            has_sums: false,
            wants_sums: false,
            uses: HashMap::new(),
        }
    }

    /// Sets how many daemons admit requests; 0 counts as 1.
    pub fn set_daemon_count(&mut self, daemons: u32) {
        self.daemons = Some(daemons.max(1));
    }

    fn slot_number(&self, now: Timestamp) -> u64 {
        let slot = self.settings.slot().as_micros().max(1);
        let number = now.since(Timestamp::ZERO).as_micros() / slot;
        u64::try_from(number).unwrap_or(u64::MAX)
    }

    /// Decides on a request of a tenant; `chance` is a uniform random number between 0 and 1.
    pub fn decide(
        &mut self,
        now: Timestamp,
        tenant: u64,
        quota: Quota,
        chance: f64,
    ) -> QuotaDecision {
        if self.uses.len() >= MAX_TENANTS && !self.uses.contains_key(&tenant) {
            return QuotaDecision::Over(OverQuota::without_sums());
        }
        let slot = self.slot_number(now);
        let tenant_use = self.uses.entry(tenant).or_default();
        tenant_use.quota = Some(quota);
        tenant_use.rounding.get_or_insert(chance);
        self.wants_sums |= tenant_use.sums.is_none();
        let part = self.part(now, tenant, quota);
        let is_admitted = part >= 1.0 || chance < part;
        let tenant_use = self.uses.entry(tenant).or_default();
        tenant_use.record(slot, is_admitted);
        if is_admitted {
            return QuotaDecision::Admitted(QuotaCharge { tenant, slot });
        }
        let Some(sums) = tenant_use.sums else {
            return QuotaDecision::Over(OverQuota::without_sums());
        };
        QuotaDecision::Over(OverQuota {
            part,
            admitted: sums.all.admitted,
            unaccounted: sums.unaccounted,
            age: now.since(sums.asked_at),
            sums: if self.is_fresh(now, sums.asked_at) {
                SumsState::Fresh
            } else {
                SumsState::Old
            },
        })
    }

    fn is_fresh(&self, now: Timestamp, asked_at: Timestamp) -> bool {
        now.since(asked_at) <= sums_lifetime(self.daemon_count())
    }

    /// Part of a tenant's requests to be admitted, 0 to 1.
    fn part(&self, now: Timestamp, tenant: u64, quota: Quota) -> f64 {
        let Some(tenant_use) = self.uses.get(&tenant) else {
            return 0.0;
        };
        let newest = self.slot_number(now);
        let admitted = f64::from(tenant_use.usage(tenant, newest).admitted);
        let rounded = admitted + tenant_use.rounding.unwrap_or_default();
        if let Some(sums) = &tenant_use.sums
            && self.is_fresh(now, sums.asked_at)
        {
            let allowance = self.allowance_with_sums(now, quota, sums);
            let by_allowance = part_below(admitted, allowance);
            return by_allowance.min(self.settings.admitted_part(quota, sums));
        }
        match self.sums_asked_at {
            // The tenant is new at this daemon; the next sums include it.
            Some(at) if self.is_fresh(now, at) => {
                let counted = if self.heard_part < 1.0 {
                    rounded
                } else {
                    admitted
                };
                part_below(counted, self.extra_with_sums())
            }
            Some(_) if self.has_sums => {
                let allowance = self.allowance_without_sums(now, tenant_use, quota);
                part_below(rounded, allowance + self.extra_without_sums(quota))
            }
            _ => part_below(rounded, self.equal_part(now, quota)),
        }
    }

    fn allowance_with_sums(&self, now: Timestamp, quota: Quota, sums: &Sums) -> f64 {
        let settings = &self.settings;
        let allowance = if sums.has_reserved {
            settings.allowance_without_sums(quota, sums, self.daemon_count())
        } else {
            settings.allowance_with_sums(quota, sums, self.daemon_count())
        };
        let is_overdue = now.since(sums.asked_at) > reporting_delay(self.daemon_count());
        allowance
            + if is_overdue {
                0.0
            } else {
                self.extra_with_sums()
            }
    }

    /// Number of daemons, at least 1. Sums come with it, so it is known wherever sums are.
    fn daemon_count(&self) -> u32 {
        self.daemons.unwrap_or(1)
    }

    /// Requests beyond its allowance that this daemon admits while sums arrive: fewer, the more daemons do so unseen.
    fn extra_with_sums(&self) -> f64 {
        EXTRA_WITH_SUMS * self.heard_part
    }

    fn extra_without_sums(&self, quota: Quota) -> f64 {
        self.settings.margin(quota) * EXTRA_PART_WITHOUT_SUMS / f64::from(self.daemon_count())
    }

    /// Requests that the replicas set aside for this daemon.
    fn allowance_without_sums(&self, now: Timestamp, tenant: &TenantUse, quota: Quota) -> f64 {
        let Some(sums) = &tenant.sums else {
            return 0.0;
        };
        if now.since(sums.asked_at) > self.settings.allowance_lifetime {
            return 0.0;
        }
        let allowance = self
            .settings
            .allowance_without_sums(quota, sums, self.daemon_count());
        allowance.min(tenant.stated_allowance)
    }

    /// An equal part of the quota. What earlier processes of the fleet may have admitted leaves the window by and by, so
    /// the part grows with the time since the start.
    fn equal_part(&self, now: Timestamp, quota: Quota) -> f64 {
        let Some(daemons) = self.daemons else {
            return 0.0;
        };
        let heard = self.sums_asked_at.unwrap_or(self.started);
        if now.since(heard) > self.settings.allowance_lifetime {
            return self.extra_without_sums(quota);
        }
        let uptime = now.since(self.started).as_secs_f64();
        let regained = (uptime / self.settings.window.as_secs_f64()).min(1.0);
        self.settings.permitted(quota) * regained / f64::from(daemons)
    }

    /// Refunds a request that was admitted and provably has not run: only requests that run use up a quota.
    pub fn refund(&mut self, charge: QuotaCharge) {
        if let Some(tenant_use) = self.uses.get_mut(&charge.tenant) {
            tenant_use.refund(charge.slot);
        }
    }

    /// Counts a further run of a request that was admitted and may have run before. Returns the charge for it.
    pub fn charge_further_run(
        &mut self,
        now: Timestamp,
        charge: QuotaCharge,
    ) -> Option<QuotaCharge> {
        let slot = self.slot_number(now);
        let tenant = charge.tenant;
        self.uses.get_mut(&tenant)?.record(slot, true);
        Some(QuotaCharge { tenant, slot })
    }

    /// Whether a report is due before its time, since a tenant that is new here has sent requests.
    pub fn wants_sums(&self) -> bool {
        self.wants_sums
    }

    /// What this daemon reports, for the tenants with requests within the window. The allowances in it are binding from
    /// now on.
    pub fn report(&mut self, now: Timestamp) -> UsageReport {
        self.wants_sums = false;
        let newest = self.slot_number(now);
        self.uses
            .retain(|_, tenant_use| !tenant_use.is_idle(newest));
        let (settings, daemons) = (self.settings, self.daemon_count());
        let mut report = UsageReport {
            uses_equal_parts: !self.has_sums,
            ..UsageReport::default()
        };
        for (tenant, tenant_use) in &mut self.uses {
            let allowance = match (&tenant_use.sums, tenant_use.quota) {
                (Some(sums), Some(quota)) => settings.stated_allowance(quota, sums, daemons),
                _ => EXTRA_WITH_SUMS,
            };
            tenant_use.stated_allowance = tenant_use.stated_allowance.min(allowance);
            report.usage.push(tenant_use.usage(*tenant, newest));
            report.details.push(AdmissionDetails {
                allowance_hundredths: hundredths(allowance),
                by_age: tenant_use.admitted_by_age(newest),
            });
        }
        report
    }

    /// Takes over the sums over all daemons that include `report`, which this daemon sent at `asked_at`. Sums of tenants
    /// that it does not name are kept until the next report.
    pub fn record_sums(
        &mut self,
        now: Timestamp,
        asked_at: Timestamp,
        report: &UsageReport,
        sums: &FleetSums,
    ) {
        self.sums_asked_at = Some(asked_at);
        self.has_sums |= !sums.usage.is_empty();
        let silent = f64::from(sums.silent_daemons) / f64::from(self.daemon_count());
        self.heard_part = (1.0 - silent).max(0.0);
        let with_reserved = sums.reserved.iter().map(|reserved| reserved.tenant);
        let with_reserved: HashSet<u64> = with_reserved.collect();
        let stated = report.usage.iter().zip(&report.details);
        let own: HashMap<u64, _> = stated.map(|entry| (entry.0.tenant, entry)).collect();
        for all in &sums.usage {
            if self.uses.len() >= MAX_TENANTS && !self.uses.contains_key(&all.tenant) {
                continue;
            }
            let tenant_use = self.uses.entry(all.tenant).or_default();
            let own = own.get(&all.tenant);
            let allowance = own.map(|(_, details)| f64::from(details.allowance_hundredths) / 100.0);
            tenant_use.stated_allowance = allowance.unwrap_or_default();
            let no_use = TenantUsage {
                tenant: all.tenant,
                ..TenantUsage::default()
            };
            tenant_use.sums = Some(Sums {
                all: *all,
                own: own.map_or(no_use, |(usage, _)| **usage),
                unaccounted: sums.unaccounted,
                has_reserved: with_reserved.contains(&all.tenant),
                asked_at,
                answer_time: now.since(asked_at),
            });
        }
    }
}

fn hundredths(number: f64) -> u32 {
    (number * 100.0).ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}
