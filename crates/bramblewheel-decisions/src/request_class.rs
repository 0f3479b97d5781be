//! Classes of requests: requests that are admitted, limited and refused by the same counts.
//!
//! A class is computed by [`crate::tenants::ActiveTenant::class_on`]. Each rule that counts by class says so in its
//! module.

/// Number that identifies a route and the rank of a tenant on it, the same at all daemons.
///
/// It is derived from the route's host and prefix and the tenant's rank, so that no table of numbers has to be shared.
/// It is not the criticality of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestClass(pub u64);
