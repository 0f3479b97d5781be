//! Continues a replacement whose new replica is lost, or gives it up.
//!
//! An offer from the new replica's address proves that its data is lost, and the replacement continues with
//! the replica that made the offer. Silence only suggests that the new replica is gone. Then another one
//! may take its place. Before its promotion no quorum depends on the new replica. After it, the leader has a quorum
//! without it, and removes it only for one that is caught up.

use super::ControlNode;
use super::events::{IgnoredOffer, NodeEvent, ReplacementReason};
use super::spares::CONTACT_TIMEOUT;
use crate::state::Replacement;
use bramblewheel_protocol::control::{ReplaceRequest, ReplicaAddress};
use bramblewheel_replication::ReplicaId;
use std::time::Duration;

impl ControlNode {
    /// Changes the replacement in progress if its new replica is lost, or has been silent for `silence` and there
    /// is another way to a whole group.
    pub(super) fn continue_replacement(&mut self, silence: Duration) {
        let Some(current) = self.state.replacement().cloned() else {
            return;
        };
        let new = ReplicaId(current.new_replica().replica);
        if let Some(spare) = self.spare_in_place_of(current.new_replica()) {
            if self.answers(new) {
                let reason = IgnoredOffer::MemberAnswers(new);
                return self.report_ignored_offer(ReplicaId(spare.replica), reason);
            }
            return self.continue_with(new, spare, ReplacementReason::NewReplicaReset);
        }
        let gives_way = self.replica.membership().learners.contains(&new)
            && self.is_silent_for(new, silence.min(CONTACT_TIMEOUT))
            && self.request_for_reset_voter().is_some();
        if gives_way {
            return self.give_up_replacement(new);
        }
        if !self.is_silent_for(new, silence) {
            return;
        }
        if let Some(returned) = self.returned_voter(&current) {
            return self.continue_with(new, returned, ReplacementReason::LostReplicaReturned);
        }
        if let Some(spare) = self.spare_outside_group().cloned() {
            self.continue_with(new, spare, ReplacementReason::NewReplicaSilent);
        }
    }

    /// Ends a replacement whose new replica is a silent learner, so that a voter whose spare answers can be
    /// replaced first.
    fn give_up_replacement(&mut self, new: ReplicaId) {
        self.events.push(NodeEvent::ReplacementGivenUp { new });
        self.queue.end_replacement(new.0);
    }

    fn continue_with(
        &mut self,
        lost: ReplicaId,
        replacement: ReplicaAddress,
        reason: ReplacementReason,
    ) {
        let lost = lost.0;
        self.propose_replacement(ReplaceRequest { lost, replacement }, reason);
    }

    /// Spare at the address of the new replica of a replacement, under another identity.
    fn spare_in_place_of(&self, new: &ReplicaAddress) -> Option<ReplicaAddress> {
        let recorded = self.recorded_address(ReplicaId(new.replica));
        let address = recorded.map_or(new.peer, |recorded| recorded.peer);
        let spare = self.spare_at(address)?;
        (spare.replica != new.replica).then(|| spare.clone())
    }

    /// A voter that was to be removed and answers again.
    fn returned_voter(&self, current: &Replacement) -> Option<ReplicaAddress> {
        let voters = &self.replica.membership().voters;
        let lost = current.lost().iter().copied().map(ReplicaId);
        let mut returned = lost.filter(|lost| {
            let is_own = *lost == self.replica.id();
            voters.contains(lost) && (is_own || self.answers(*lost))
        });
        self.member_address(returned.next()?)
    }
}
