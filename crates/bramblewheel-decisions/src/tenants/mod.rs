//! Tenants: whose keys callers present, how important their requests are, and how much they may ask for.
//!
//! Rule: the rank of a tenant comes before that of the route, but the first rank of routes is the most important one
//! whatever the tenant's. Requests are admitted and limited by class: route and rank of the tenant.
//!
//! Inputs: the tenants of the table in force; the digest of a request's key. Reason: tenants of one rank must not
//! limit those of another, while finding a key costs one digest and one look-up in a hash table, whatever the number
//! of tenants.
//!
//! Owns the tenants of a table, with digests of their keys only, so that nothing that is printed and no image of the
//! memory shows a key that was not just received. Relies on [`crate::table_lease`] for how long they may be gone by.
//!
//! Seen in: metric `bramblewheel_unauthorized`; log line `unauthorized` (`reason`); `tenant`, `rank` and `root_rank`
//! of `request ended`.

mod check;

pub use check::{TenantError, check};

use crate::request_class::RequestClass;
use crate::stable_hash::stable_hash;
use bramblewheel_types::TenantName;
use http::HeaderValue;
use sha2::{Digest, Sha256};
use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

/// Ranks that routes have within one rank of tenants; a higher route rank counts as the last of them. Chosen, not
/// measured.
const ROUTE_RANKS: u32 = 1_024;

/// Multiplier that keeps the classes of one route apart: 2^64 by the golden ratio, odd. A property of the number, not
/// measured.
const CLASS_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Whether a request's route is of the most important rank, whatever its tenant's; `rank` is that of the request.
pub fn is_most_important(rank: u32) -> bool {
    rank.is_multiple_of(ROUTE_RANKS)
}

/// SHA-256 of a key. Two digests are compared in a time that may depend on where they differ, which
/// shows nothing of a key: whoever measures it can't choose digests.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(hidden)")
    }
}

/// How much a tenant may ask for, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second; 0 or more.
    pub rate: f64,
    /// Requests at once beyond that; 0 or more.
    pub burst: f64,
}

/// One tenant, as operators state it.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Importance, which comes before that of the route; 0 is the most important.
    pub rank: u32,
    /// How much it may ask for; unlimited if none.
    pub quota: Option<Quota>,
}

/// A tenant in force.
#[derive(Debug)]
pub struct ActiveTenant {
    /// Its name.
    pub name: TenantName,
    /// Its name as a header value.
    pub header: HeaderValue,
    /// Number that stands for its name, the same at all daemons.
    pub number: u64,
    /// How much it may ask for; unlimited if none.
    pub quota: Option<Quota>,
    /// Position of its rank among the ranks of all tenants; 0 is the most important.
    rank_position: u32,
}

impl ActiveTenant {
    /// Rank of its requests on a route with this rank: that of the tenant comes first.
    pub fn rank_on(&self, route_rank: u32) -> u32 {
        let within = route_rank.min(ROUTE_RANKS - 1);
        self.rank_position
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(within)
    }

    /// Class of its requests on a route, shared with tenants of the same rank; its number is that of
    /// the route itself where the rank is the most important one.
    pub fn class_on(&self, route_number: u64) -> RequestClass {
        RequestClass(route_number ^ u64::from(self.rank_position).wrapping_mul(CLASS_SPREAD))
    }
}

/// All tenants of a table, prepared for look-ups.
#[derive(Debug, Default)]
pub struct TenantDirectory {
    by_key: HashMap<KeyDigest, Arc<ActiveTenant>>,
    has_tenants: bool,
}

impl TenantDirectory {
    /// Prepares tenants that were checked.
    pub fn new(tenants: Vec<Tenant>) -> Self {
        let ranks: BTreeSet<u32> = tenants.iter().map(|tenant| tenant.rank).collect();
        let positions: HashMap<u32, u32> = ranks.into_iter().zip(0..).collect();
        let mut directory = Self {
            by_key: HashMap::new(),
            has_tenants: !tenants.is_empty(),
        };
        for tenant in tenants {
            let header = HeaderValue::try_from(tenant.name.as_str())
                .expect("names consist of visible ASCII");
            let active = Arc::new(ActiveTenant {
                number: stable_hash(tenant.name.as_str().bytes()),
                rank_position: positions[&tenant.rank],
                name: tenant.name,
                quota: tenant.quota,
                header,
            });
            let keys = tenant.keys.into_iter();
            directory
                .by_key
                .extend(keys.map(|key| (key, Arc::clone(&active))));
        }
        directory
    }

    /// Whether requests need a key at all.
    pub fn has_tenants(&self) -> bool {
        self.has_tenants
    }

    /// The tenant that holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<ActiveTenant>> {
        self.by_key.get(key)
    }
}
