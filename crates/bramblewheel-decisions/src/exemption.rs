//! Exemption: whose requests no refusal on behalf of others touches.
//!
//! What is of the most important route is never refused early nor limited by its class, whatever its tenant's rank. Its share
//! of the load is what the endpoints are there for, and with most tenants on the second rank of tenants the most
//! important route counted as one to be limited: while one service rejected 0.55 of all it got, 4,385 requests of that
//! route were refused at endpoints with free slots, and with this rule, retries by root rank and nested calls known by the
//! table the worth of the day rose from 0.329 to 0.371 (one run each, without processor time).
//!
//! Three rules ask it, by two ranks:
//!
//! - [`is_exempt_from_early_refusal`] at the caller's daemon, by the request's own rank. It bears on requests of callers only, so that
//!   no other rank is known.
//! - [`is_exempt_from_class_limit`] beside the endpoint, by the request's own rank as handed over. The limit holds
//!   requests of one class apart from those of others, and the class follows from that rank.
//! - the retry rule ([`crate::retry`]) by the root rank: a nested call is of its route's own rank, but what is lost with it is the
//!   tree that it belongs to.
//!
//! Nested calls are exempt from both refusals whatever their rank: a refusal in the middle of a tree wastes all the work
//! done for the tree so far. Owns nothing. Shown by the keys `rank` and `root_rank` of `refused early`,
//! `not admitted`, `repeat refused` and `request ended`.

use crate::tenants::is_most_important;

/// Whether a request of this rank is exempt from refusals on behalf of others: its route is of the most important rank,
/// whatever its tenant's.
pub fn is_exempt(rank: u32) -> bool {
    is_most_important(rank)
}

/// Whether the caller's daemon always sends the request. `rank` is the request's own.
pub fn is_exempt_from_early_refusal(rank: u32, is_likely_nested: bool) -> bool {
    is_exempt(rank) || is_likely_nested
}

/// Whether the limit of its class does not hold the request back from a slot. `rank` is the request's own, as it was handed
/// over; `is_likely_nested` is what either of the two daemons believes.
pub fn is_exempt_from_class_limit(rank: u32, is_likely_nested: bool) -> bool {
    is_exempt(rank) || is_likely_nested
}
