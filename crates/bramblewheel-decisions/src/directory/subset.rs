//! Which endpoints of a service a daemon mostly deals with.
//!
//! In a large fleet a daemon meets each of a hundred endpoints once in many seconds: what it learned
//! of one is stale by then, and its connection closed. So a daemon keeps to a few endpoints of each
//! service, those of its own zone first, and looks at a few others with each request. Which ones
//! follows from a hash of both names (rendezvous hashing): the daemons' choices are spread evenly
//! over the endpoints, and a change of one endpoint changes little.

use crate::stable_hash::stable_hash;
use bramblewheel_types::{DaemonId, EndpointId};

/// Endpoints of a service that a daemon mostly deals with.
pub(super) const NEAR: usize = 12;
/// Others that it looks at with each request.
pub(super) const EXPLORED: usize = 2;

/// An endpoint's place in a daemon's order; the first ones are near.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Preference {
    is_in_other_zone: bool,
    hash: u64,
}

impl Preference {
    /// The preference of `daemon` for `endpoint`.
    pub(super) fn new(daemon: &DaemonId, endpoint: &EndpointId, is_in_own_zone: bool) -> Self {
        Self {
            is_in_other_zone: !is_in_own_zone,
            hash: hash_of(daemon.as_str(), endpoint.name()),
        }
    }
}

/// Hash of both names, mixed once more: names that differ in their last sign only must not give
/// hashes in the same order for all daemons.
fn hash_of(daemon: &str, endpoint: &str) -> u64 {
    const MIX: u64 = 0xff51_afd7_ed55_8ccd;
    let names = daemon.bytes().chain([0]).chain(endpoint.bytes());
    let hash = stable_hash(names);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(MIX);
    hash ^ (hash >> 33)
}
