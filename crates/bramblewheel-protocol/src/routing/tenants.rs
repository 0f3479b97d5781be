//! Use of tenants' quotas, exchanged with each renewal of the lease on the route table.

use super::TableVersion;
use bramblewheel_types::DaemonId;
use serde::{Deserialize, Serialize};

/// Requests asked for and admitted for one tenant: at one daemon, or summed over all. Sent as three
/// numbers, since each daemon sends it several times a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u32, u32)", into = "(u64, u32, u32)")]
pub struct TenantUsage {
    /// Number that stands for the tenant's name, the same at all daemons.
    pub tenant: u64,
    /// Requests asked for in the newest part of the quota's window.
    pub asked: u32,
    /// Requests admitted within the window.
    pub admitted: u32,
}

impl TenantUsage {
    /// Adds the use at another daemon.
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

/// A daemon renews its lease on the route table and reports what it admitted for tenants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Who asks.
    pub daemon: DaemonId,
    /// Drawn at random at each start of its process.
    pub incarnation: u64,
    /// Use at the daemon, for the tenants that asked lately.
    pub usage: Vec<TenantUsage>,
}

/// Answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewReply {
    /// Newest version at a moment after the request came, confirmed by a quorum.
    pub table_version: TableVersion,
    /// Sums over all daemons for the tenants that the daemon named; none from a replica that has not run
    /// for long enough to know them.
    pub sums: Option<Vec<TenantUsage>>,
    /// Number of daemons registered, by which each takes its share of what all of them may use.
    pub daemons: u32,
}
