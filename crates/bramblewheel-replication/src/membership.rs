//! Membership changes, one replica at a time.
//!
//! With one voter changed at a time, every majority of the old membership overlaps every majority of the
//! new one, so joint consensus is not needed.

use crate::error::MembershipError;
use crate::types::{Membership, ReplicaId};

/// A change of the membership by one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a replica that receives the log and doesn't count for a quorum.
    AddLearner {
        /// The new learner.
        replica: ReplicaId,
        /// Description of the replica, opaque to this crate.
        description: Vec<u8>,
    },
    /// Makes a learner a voter.
    PromoteLearner(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

impl Membership {
    /// Whether the replica is a voter or a learner.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica) || self.learners.contains(&replica)
    }

    /// Number of voters that make a quorum.
    pub fn quorum_size(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// All voters and learners.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the membership after a change.
    ///
    /// # Errors
    /// [`MembershipError`] when the change can't be applied to this membership.
    pub fn changed(&self, change: &MembershipChange) -> Result<Self, MembershipError> {
        let mut next = self.clone();
        match change {
            MembershipChange::AddLearner {
                replica,
                description,
            } => next.add_learner(*replica, description)?,
            MembershipChange::PromoteLearner(replica) => next.promote(*replica)?,
            MembershipChange::Remove(replica) => next.remove(*replica)?,
        }
        Ok(next)
    }

    fn add_learner(
        &mut self,
        replica: ReplicaId,
        description: &[u8],
    ) -> Result<(), MembershipError> {
        if self.contains(replica) {
            return Err(MembershipError::AlreadyMember(replica));
        }
        self.learners.insert(replica);
        let description = serde_bytes::ByteBuf::from(description);
        self.descriptions.insert(replica, description);
        Ok(())
    }

    fn promote(&mut self, replica: ReplicaId) -> Result<(), MembershipError> {
        if !self.learners.remove(&replica) {
            return Err(MembershipError::UnknownReplica(replica));
        }
        self.voters.insert(replica);
        Ok(())
    }

    fn remove(&mut self, replica: ReplicaId) -> Result<(), MembershipError> {
        if !self.contains(replica) {
            return Err(MembershipError::UnknownReplica(replica));
        }
        self.learners.remove(&replica);
        self.voters.remove(&replica);
        self.descriptions.remove(&replica);
        if self.voters.is_empty() {
            return Err(MembershipError::LastVoter);
        }
        Ok(())
    }
}
