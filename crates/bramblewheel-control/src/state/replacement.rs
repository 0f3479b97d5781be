//! The replacement in progress, as the log holds it, so that any leader can go on with it.

use bramblewheel_protocol::control::{ReplaceRequest, ReplicaAddress};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Replicas to be removed from the group, and the one that takes their place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    lost: BTreeSet<u64>,
    new: ReplicaAddress,
}

impl Replacement {
    /// What a request asks for while `current` is in progress: the same again, or another replica
    /// in place of the one that is taking the lost one's place.
    ///
    /// The second is the way out when a replacement fails before it is finished. It also gives up
    /// a replacement, by naming as new the one that was taken for lost.
    ///
    /// # Errors
    /// Why the request can't be followed now.
    pub fn requested(current: Option<&Self>, request: &ReplaceRequest) -> Result<Self, String> {
        let new = request.replacement.clone();
        if request.lost == new.replica {
            return Err("the replacement is the lost replica itself".to_owned());
        }
        let mut lost = BTreeSet::from([request.lost]);
        if let Some(current) = current {
            if current.is_same(request) {
                return Ok(current.clone());
            }
            if request.lost != current.new.replica {
                return Err("another replacement is in progress".to_owned());
            }
            lost.extend(&current.lost);
            lost.remove(&new.replica);
        }
        Ok(Self { lost, new })
    }

    /// Whether this is what the request asks for.
    pub fn is_same(&self, request: &ReplaceRequest) -> bool {
        self.new == request.replacement && self.lost.contains(&request.lost)
    }

    /// Identities of the replicas to be removed.
    pub fn lost(&self) -> &BTreeSet<u64> {
        &self.lost
    }

    /// The replica that takes their place.
    pub fn new_replica(&self) -> &ReplicaAddress {
        &self.new
    }
}
