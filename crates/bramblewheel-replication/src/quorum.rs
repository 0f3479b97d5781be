//! Values reached by a majority of voters.

use crate::types::ReplicaId;
use std::collections::BTreeSet;

/// The highest value that a majority of voters has reached; `None` if there are no voters.
pub(crate) fn reached_by_quorum<T: Ord>(
    voters: &BTreeSet<ReplicaId>,
    value_of: impl Fn(ReplicaId) -> T,
) -> Option<T> {
    let mut values: Vec<T> = voters.iter().map(|&voter| value_of(voter)).collect();
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.into_iter().nth(voters.len() / 2)
}
