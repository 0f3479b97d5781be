//! The replacement in progress. It is kept in the log so that a new leader can continue it.

use bramblewheel_protocol::control::{ReplaceRequest, ReplicaAddress};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Replicas to be removed from the group, and the replica that replaces them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    lost: BTreeSet<u64>,
    new: ReplicaAddress,
}

impl Replacement {
    /// Replacement that follows from a request while `current` is in progress. The request may
    /// repeat the current one, or name another replica to replace the current new replica.
    ///
    /// The latter lets an operator recover when the new replica fails before the replacement is
    /// finished. Naming the lost replica as the new one cancels the replacement.
    ///
    /// # Errors
    /// The reason for which the request can't be accepted now.
    pub fn from_request(current: Option<&Self>, request: &ReplaceRequest) -> Result<Self, String> {
        let new = request.replacement.clone();
        if request.lost == new.replica {
            return Err("the replacement is the lost replica itself".to_owned());
        }
        let mut lost = BTreeSet::from([request.lost]);
        if let Some(current) = current {
            if current.is_requested_by(request) {
                return Ok(current.clone());
            }
            if request.lost != current.new.replica {
                let new = current.new.replica;
                return Err(format!(
                    "a replacement by replica {new:016x} is in progress; name that one as lost to \
                     continue with another one"
                ));
            }
            lost.extend(&current.lost);
            lost.remove(&new.replica);
        }
        Ok(Self { lost, new })
    }

    /// Whether the request asks for this replacement.
    pub fn is_requested_by(&self, request: &ReplaceRequest) -> bool {
        self.new == request.replacement && self.lost.contains(&request.lost)
    }

    /// Ids of the replicas to be removed.
    pub fn lost(&self) -> &BTreeSet<u64> {
        &self.lost
    }

    /// The replica that replaces the lost ones.
    pub fn new_replica(&self) -> &ReplicaAddress {
        &self.new
    }
}
