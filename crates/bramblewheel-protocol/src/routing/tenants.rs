//! Usage of tenants' quotas, exchanged with each renewal of the lease on the route table.

use super::TableVersion;
use bramblewheel_types::DaemonId;
use serde::{Deserialize, Serialize};

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

/// Request of a daemon to renew its lease on the route table, with the requests it admitted per tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The daemon.
    pub daemon: DaemonId,
    /// Drawn at random at each start of the daemon's process.
    pub incarnation: u64,
    /// Usage at the daemon, for tenants with recent requests.
    pub usage: Vec<TenantUsage>,
}

/// Answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewReply {
    /// Newest version at some time after the request arrived, confirmed by a quorum.
    pub table_version: TableVersion,
    /// Sums over all daemons for the tenants that the daemon named; `None` from a replica that has not run
    /// long enough to have received all of them.
    pub sums: Option<Vec<TenantUsage>>,
    /// Number of registered daemons, from which each computes its share of what they may use together.
    pub daemons: u32,
}
