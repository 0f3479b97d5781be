//! Usage of tenants' quotas, exchanged with each renewal of the lease on the route table.

use super::TableVersion;
use bramblewheel_types::{DaemonId, Millis};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parts of the quota window in which [`AdmissionDetails`] tell requests apart.
pub const AGES: usize = 5;

/// Time between two renewals of a daemon in a small fleet. A tenant that sends eight times its usual requests is held
/// to its quota after two renewals, within which it uses less than the rest of the window's quota.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval per daemon, used once the product exceeds [`RENEWAL_INTERVAL`], so that the load on the replicas doesn't
/// grow further with the number of daemons.
const RENEWAL_INTERVAL_PER_DAEMON: Duration = Duration::from_micros(1_700);
/// Longest interval; a lease must outlast the loss of some renewals.
const LONGEST_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time beyond two intervals for which a daemon relies on sums.
const SUMS_MARGIN: Duration = Duration::from_millis(100);
/// Time beyond an interval after which replicas do not expect a daemon's report any more.
const REPORT_MARGIN: Duration = Duration::from_millis(200);

/// Time between two renewals of a daemon in a fleet of this size.
pub fn renewal_interval(daemons: u32) -> Duration {
    let scaled = RENEWAL_INTERVAL_PER_DAEMON * daemons;
    scaled.clamp(RENEWAL_INTERVAL, LONGEST_RENEWAL_INTERVAL)
}

/// Age above which the sums that a daemon received no longer tell the present use.
pub fn sums_lifetime(daemons: u32) -> Duration {
    renewal_interval(daemons) * 2 + SUMS_MARGIN
}

/// Age above which the last report of a daemon no longer tells its present use.
pub fn report_lifetime(daemons: u32) -> Duration {
    renewal_interval(daemons) + REPORT_MARGIN
}

/// Number of requests received and admitted for one tenant, at one daemon or summed over all. Encoded as a
/// tuple of three numbers to keep it short, since each daemon sends it several times a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u32, u32)", into = "(u64, u32, u32)")]
pub struct TenantUsage {
    /// Numeric id of the tenant's name, the same at all daemons.
    pub tenant: u64,
    /// Requests received in the newest part of the quota's window.
    pub asked: u32,
    /// Requests admitted within the window.
    pub admitted: u32,
}

impl TenantUsage {
    /// Adds the usage at another daemon.
    pub fn add(&mut self, other: &Self) {
        self.asked = self.asked.saturating_add(other.asked);
        self.admitted = self.admitted.saturating_add(other.admitted);
    }
}

impl From<(u64, u32, u32)> for TenantUsage {
    fn from((tenant, asked, admitted): (u64, u32, u32)) -> Self {
        Self {
            tenant,
            asked,
            admitted,
        }
    }
}

impl From<TenantUsage> for (u64, u32, u32) {
    fn from(usage: TenantUsage) -> Self {
        (usage.tenant, usage.asked, usage.admitted)
    }
}

/// What a daemon reports of one tenant besides its [`TenantUsage`]. Encoded as a tuple.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, [u32; AGES])", into = "(u32, [u32; AGES])")]
pub struct AdmissionDetails {
    /// Most requests, in hundredths, that the daemon admits within a window until it receives sums again. A fraction is
    /// the probability of one more.
    pub allowance_hundredths: u32,
    /// Admitted requests by age, in equal parts of the window, newest first.
    pub by_age: [u32; AGES],
}

impl From<(u32, [u32; AGES])> for AdmissionDetails {
    fn from((allowance_hundredths, by_age): (u32, [u32; AGES])) -> Self {
        Self {
            allowance_hundredths,
            by_age,
        }
    }
}

impl From<AdmissionDetails> for (u32, [u32; AGES]) {
    fn from(details: AdmissionDetails) -> Self {
        (details.allowance_hundredths, details.by_age)
    }
}

/// Requests that a daemon has admitted for tenants, and may admit while it receives no sums.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    /// Usage, for tenants with recent requests.
    pub usage: Vec<TenantUsage>,
    /// Details of each entry of `usage`, in the same order.
    pub details: Vec<AdmissionDetails>,
    /// Whether the daemon admits an equal part of each quota until it receives sums again, since it has had none.
    pub uses_equal_parts: bool,
}

/// Request of a daemon to renew its lease on the route table, with the requests it admitted per tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The daemon.
    pub daemon: DaemonId,
    /// Drawn at random at each start of the daemon's process.
    pub incarnation: u64,
    /// Usage at the daemon, for tenants with recent requests.
    pub usage: Vec<TenantUsage>,
    /// Details of each entry of `usage`, in the same order; none from earlier versions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub details: Vec<AdmissionDetails>,
    /// Whether the daemon admits an equal part of each quota until it receives sums again, since it has had none.
    #[serde(default, skip_serializing_if = "is_false")]
    pub uses_equal_parts: bool,
    /// Time since the start of the daemon's process; absent from earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub uptime: Option<Millis>,
    /// Time from its last sums for which the daemon uses its allowances; absent from earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowance_lifetime: Option<Millis>,
}

impl RenewRequest {
    /// Usage of each tenant with its details. Where they are missing, all requests count as new and nothing more is
    /// allowed.
    pub fn tenants(&self) -> impl Iterator<Item = (&TenantUsage, AdmissionDetails)> {
        self.usage.iter().enumerate().map(|(index, usage)| {
            let details = self.details.get(index).copied().unwrap_or_else(|| {
                let mut by_age = [0; AGES];
                by_age[0] = usage.admitted;
                AdmissionDetails {
                    allowance_hundredths: usage.admitted.saturating_mul(100),
                    by_age,
                }
            });
            (usage, details)
        })
    }
}

/// Requests that all daemons admitted for tenants, as far as a replica knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSums {
    /// Use at all daemons.
    pub usage: Vec<TenantUsage>,
    /// Part of it that is set aside for daemons which have not reported lately; only tenants that have any.
    pub reserved: Vec<TenantUsage>,
    /// Part of every quota, 0 to 1, that daemons without a known report may have used.
    pub unaccounted: f64,
    /// Number of daemons that have not reported lately.
    pub silent_daemons: u32,
}

/// Answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewReply {
    /// Newest version at some time after the request arrived, confirmed by a quorum.
    pub table_version: TableVersion,
    /// Sums over all daemons for the tenants that the daemon named, or for all if it named none; `None` from a
    /// replica that has not run long enough to have received all of them.
    pub sums: Option<Vec<TenantUsage>>,
    /// Number of registered daemons, from which each computes its share of what they may use together.
    pub daemons: u32,
    /// Part of `sums` that stands in for daemons which have not reported lately; only tenants that have any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reserved: Vec<TenantUsage>,
    /// Part of every quota, in thousandths, that daemons without a known report may have used.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unaccounted_permille: u32,
    /// Number of daemons that have not reported lately.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub silent_daemons: u32,
}

impl RenewReply {
    /// An answer; `sums` as in [`RenewReply::sums`].
    pub fn new(table_version: TableVersion, daemons: u32, sums: Option<FleetSums>) -> Self {
        let unaccounted = sums.as_ref().map_or(0.0, |sums| sums.unaccounted);
        let silent_daemons = sums.as_ref().map_or(0, |sums| sums.silent_daemons);
        let (usage, reserved) = sums.map(|sums| (sums.usage, sums.reserved)).unzip();
        Self {
            table_version,
            sums: usage,
            daemons,
            reserved: reserved.unwrap_or_default(),
            unaccounted_permille: (unaccounted * 1_000.0).ceil() as u32,
            silent_daemons,
        }
    }

    /// The sums, if the replica had any.
    pub fn fleet_sums(&self) -> Option<FleetSums> {
        Some(FleetSums {
            usage: self.sums.clone()?,
            reserved: self.reserved.clone(),
            unaccounted: f64::from(self.unaccounted_permille) / 1_000.0,
            silent_daemons: self.silent_daemons,
        })
    }
}

// serde passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(value: &bool) -> bool {
    !value
}

// serde passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u32) -> bool {
    *number == 0
}
