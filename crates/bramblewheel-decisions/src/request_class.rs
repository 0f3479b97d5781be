//! Requests that are admitted, limited and refused alike.
//!
//! Owns nothing; who makes the number is [`crate::tenants::ActiveTenant::class_on`]. Each rule that counts by class
//! says so in its module.

/// Number that stands for a route and the rank of a tenant on it, the same at all daemons.
///
/// It follows from the route's host and prefix and the tenant's rank, so that no table of numbers is shared. It is
/// not the criticality of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestClass(pub u64);
