//! Changes of the membership, one replica at a time.
//!
//! Changing one voter at a time keeps every majority of the old membership in touch with every
//! majority of the new one, so no joint membership is needed.

use crate::error::MembershipError;
use crate::types::{Membership, ReplicaId};

/// A change of the membership by one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Starts to send the log to a replica that is not counted in a quorum.
    AddLearner {
        /// The new learner.
        replica: ReplicaId,
        /// Its opaque description.
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

    /// All voters and learners.
    pub fn members(&self) -> impl Iterator<Item = ReplicaId> {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// The membership after a change.
    ///
    /// # Errors
    /// [`MembershipError`] when the change does not fit this membership.
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
