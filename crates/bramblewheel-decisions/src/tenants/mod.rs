//! Tenants: who holds a key, how important a tenant's requests are, and how many it may send.
//!
//! Rule: the rank of a tenant takes precedence over that of the route, but routes of the first rank are the most
//! important whatever the tenant's rank. Requests are admitted and limited by class: route and rank of the tenant.
//!
//! Inputs: the tenants of the table in force; the digest of a request's key. Reason: tenants of one rank must not limit
//! those of another, and looking up a key must cost only one digest and one hash table look-up, whatever the number of
//! tenants.
//!
//! State: the tenants of a table, with digests of their keys only, so that neither output nor a memory dump shows a key
//! other than one just received. [`crate::table_lease`] decides how long they may be used.
//!
//! Observability: metric `bramblewheel_unauthorized`; log line `unauthorized` (`reason`); `tenant`, `rank` and
//! `root_rank` of `request ended`.

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

/// Route ranks within one rank of tenants; a higher route rank counts as the last one.
const ROUTE_RANKS: u32 = 1_024;

/// Multiplier that keeps the classes of one route apart: 2^64 divided by the golden ratio, odd.
const CLASS_SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Whether a request's route has the most important rank, whatever its tenant's; `rank` is that of the request.
pub fn is_most_important(rank: u32) -> bool {
    rank.is_multiple_of(ROUTE_RANKS)
}

/// SHA-256 of a key. The time to compare two digests may depend on where they differ, but reveals nothing about a key:
/// whoever measures it cannot choose digests.
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

/// Limit on a tenant's requests, over all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second; 0 or more.
    pub rate: f64,
    /// Burst of requests beyond that; 0 or more.
    pub burst: f64,
}

/// One tenant, as configured by operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Importance, which takes precedence over that of the route; 0 is the most important.
    pub rank: u32,
    /// Its quota; unlimited if none.
    pub quota: Option<Quota>,
}

/// A tenant in force.
#[derive(Debug)]
pub struct ActiveTenant {
    /// Its name.
    pub name: TenantName,
    /// Its name as a header value.
    pub header: HeaderValue,
    /// Number derived from its name, the same at all daemons.
    pub number: u64,
    /// Its quota; unlimited if none.
    pub quota: Option<Quota>,
    /// Position of its rank among the ranks of all tenants; 0 is the most important.
    rank_position: u32,
}

impl ActiveTenant {
    /// Rank of its requests on a route with this rank; the tenant's rank takes precedence.
    pub fn rank_on(&self, route_rank: u32) -> u32 {
        let within = route_rank.min(ROUTE_RANKS - 1);
        self.rank_position
            .saturating_mul(ROUTE_RANKS)
            .saturating_add(within)
    }

    /// Class of its requests on a route, shared with tenants of the same rank; equal to the route's number for tenants
    /// of the most important rank.
    pub fn class_on(&self, route_number: u64) -> RequestClass {
        RequestClass(route_number ^ u64::from(self.rank_position).wrapping_mul(CLASS_SPREAD))
    }
}

/// All tenants of a table, indexed by key.
#[derive(Debug, Default)]
pub struct TenantDirectory {
    by_key: HashMap<KeyDigest, Arc<ActiveTenant>>,
    by_number: HashMap<u64, Arc<ActiveTenant>>,
    has_tenants: bool,
}

impl TenantDirectory {
    /// Indexes tenants that have been checked.
    pub fn new(tenants: Vec<Tenant>) -> Self {
        let ranks: BTreeSet<u32> = tenants.iter().map(|tenant| tenant.rank).collect();
        let positions: HashMap<u32, u32> = ranks.into_iter().zip(0..).collect();
        let mut directory = Self {
            by_key: HashMap::new(),
            by_number: HashMap::new(),
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
            directory
                .by_number
                .insert(active.number, Arc::clone(&active));
            let keys = tenant.keys.into_iter();
            directory
                .by_key
                .extend(keys.map(|key| (key, Arc::clone(&active))));
        }
        directory
    }

    /// Whether requests need a key.
    pub fn has_tenants(&self) -> bool {
        self.has_tenants
    }

    /// The tenant with a number.
    pub fn by_number(&self, number: u64) -> Option<&Arc<ActiveTenant>> {
        self.by_number.get(&number)
    }

    /// The tenant that holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<ActiveTenant>> {
        self.by_key.get(key)
    }
}
