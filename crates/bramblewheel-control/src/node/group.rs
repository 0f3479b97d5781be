//! Members of the group and where they are reached.

use super::ControlNode;
use bramblewheel_protocol::control::{GroupStatus, ReplicaAddress};
use bramblewheel_replication::ReplicaId;

/// A replica's address as its opaque description in the membership.
pub(super) fn describe(address: &ReplicaAddress) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(address, &mut bytes).expect("a vector takes every write");
    bytes
}

impl ControlNode {
    /// Where a replica is reached, as far as known: as it said itself, else as in the log.
    pub fn member_address(&self, replica: ReplicaId) -> Option<ReplicaAddress> {
        if replica.0 == self.config.address.replica {
            return Some(self.config.address.clone());
        }
        let introduced = self.introduced.get(&replica.0).cloned();
        introduced.or_else(|| self.recorded_address(replica))
    }

    /// Where a replica is reached according to the log.
    pub(super) fn recorded_address(&self, replica: ReplicaId) -> Option<ReplicaAddress> {
        if let Some(address) = self.state.address(replica.0) {
            return Some(address.clone());
        }
        let description = self.replica.membership().descriptions.get(&replica)?;
        ciborium::from_reader(description.as_slice()).ok()
    }

    /// State of the group as this replica sees it.
    pub fn group_status(&self, now: super::Now) -> GroupStatus {
        let membership = self.replica.membership();
        let addresses = |replicas: &std::collections::BTreeSet<ReplicaId>| {
            let known = replicas.iter();
            known.filter_map(|id| self.member_address(*id)).collect()
        };
        GroupStatus {
            replica: self.config.address.clone(),
            group: self.state.group(),
            term: self.replica.term().0,
            leader: self.replica.leader().map(|leader| leader.0),
            position: self.state.position(),
            voters: addresses(&membership.voters),
            learners: addresses(&membership.learners),
            has_quorum: self.replica.has_quorum(now.monotonic),
        }
    }
}
