//! Membership changes at the leader, one at a time.

use crate::error::MembershipError;
use crate::leadership::RemovedReplica;
use crate::membership::MembershipChange;
use crate::progress::Progress;
use crate::replica::Replica;
use crate::types::{LogIndex, Payload, ProposalId, ReplicaId};
use bramblewheel_types::Timestamp;

impl Replica {
    /// Proposes to change the membership by one replica.
    ///
    /// A learner whose promotion raises the number of voters needed for a quorum must be
    /// [caught up](Self::is_caught_up). Any other promotion makes the group no less available. The new voter may
    /// then lack entries, so another voter must not be removed in its favour before
    /// [`match_index`](Self::match_index) tells that it has synced the promotion itself.
    ///
    /// # Errors
    /// [`MembershipError`] when the change is not possible now; nothing was appended.
    pub fn propose_membership(
        &mut self,
        now: Timestamp,
        id: ProposalId,
        change: MembershipChange,
    ) -> Result<(), MembershipError> {
        self.advance_clock(now);
        self.check_accepting()?;
        if !self.has_committed_own_term() {
            return Err(MembershipError::NotReady);
        }
        if !self.membership_is_committed() {
            return Err(MembershipError::ChangeInProgress);
        }
        let next = self.membership().changed(&change)?;
        let raises_quorum = next.quorum_size() > self.membership().quorum_size();
        if let MembershipChange::PromoteLearner(replica) = change
            && raises_quorum
            && !self.is_caught_up(replica)
        {
            let synced = self.match_index(replica).unwrap_or(LogIndex(0));
            let wanted = self.log.last_index();
            return Err(MembershipError::NotCaughtUp {
                replica,
                synced,
                wanted,
            });
        }
        self.append_proposal(id, Payload::Membership(next));
        match change {
            MembershipChange::Remove(replica) => self.keep_informing_removed(replica),
            MembershipChange::AddLearner { replica, .. } => self.forget_removed(replica),
            MembershipChange::PromoteLearner(_) => {}
        }
        self.sync_peers();
        Ok(())
    }

    /// Whether another member has synced all entries that this leader's log held at some time within the last
    /// election time-out. `false` if this replica is not the leader.
    ///
    /// A member that answers, but takes longer than a heartbeat interval to sync, can still be caught up while
    /// entries are appended all the time.
    pub fn is_caught_up(&self, replica: ReplicaId) -> bool {
        let progress = self
            .leadership()
            .and_then(|leadership| leadership.peers.get(&replica));
        let caught_up_at = progress.and_then(|progress| progress.caught_up_at);
        caught_up_at.is_some_and(|at| at + self.config.election_timeout >= self.now)
    }

    /// Updates the peers to the membership in force.
    pub(crate) fn sync_peers(&mut self) {
        let own = self.config.id;
        let members: Vec<ReplicaId> = self
            .membership()
            .members()
            .filter(|id| *id != own)
            .collect();
        let last_index = self.log.last_index();
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let removed = leadership.removed.as_ref().map(|removed| removed.replica);
        leadership
            .peers
            .retain(|id, _| members.contains(id) || removed == Some(*id));
        for member in members {
            let new_progress = || Progress::new(last_index);
            leadership.peers.entry(member).or_insert_with(new_progress);
        }
    }

    /// Continues sending to a removed replica until it has received its removal, so that it does not start
    /// elections.
    fn keep_informing_removed(&mut self, replica: ReplicaId) {
        let index = self.log.last_index();
        let deadline = self.now + self.config.election_timeout;
        if let Some(leadership) = self.leadership_mut() {
            leadership.removed = Some(RemovedReplica {
                replica,
                index,
                deadline,
            });
        }
    }

    /// Forgets the progress of a removed replica that is added again, as it may have lost its entries.
    fn forget_removed(&mut self, replica: ReplicaId) {
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        leadership
            .removed
            .take_if(|removed| removed.replica == replica);
        leadership.peers.remove(&replica);
    }

    /// Stops sending to a removed replica once it has received its removal, or after the deadline.
    pub(crate) fn release_removed(&mut self) {
        let now = self.now;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let Some(removed) = &leadership.removed else {
            return;
        };
        let progress = leadership.peers.get(&removed.replica);
        let is_informed = progress.is_none_or(|p| p.match_index >= removed.index);
        if is_informed || removed.deadline <= now {
            leadership.removed = None;
            self.sync_peers();
        }
    }
}
