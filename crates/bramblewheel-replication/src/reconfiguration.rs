//! Membership changes at the leader, one at a time.

use crate::error::MembershipError;
use crate::leadership::Departing;
use crate::membership::MembershipChange;
use crate::progress::Progress;
use crate::replica::Replica;
use crate::types::{Payload, ProposalId, ReplicaId};
use bramblewheel_types::Timestamp;

impl Replica {
    /// Proposes to change the membership by one replica.
    ///
    /// A promoted learner holds the whole log up to the start of the latest round; whether it
    /// holds the promotion itself is shown by [`match_index`](Self::match_index).
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
        if let MembershipChange::PromoteLearner(replica) = change {
            self.check_caught_up(replica)?;
        }
        self.append_proposal(id, Payload::Membership(next));
        if let MembershipChange::Remove(replica) = change {
            self.keep_departing(replica);
        }
        self.sync_peers();
        Ok(())
    }

    fn check_caught_up(&self, replica: ReplicaId) -> Result<(), MembershipError> {
        let leadership = self.leadership().ok_or(self.not_leader())?;
        let progress = leadership
            .peers
            .get(&replica)
            .ok_or(MembershipError::UnknownReplica(replica))?;
        let answers_now = progress.acked_round + 1 >= leadership.round;
        if answers_now && progress.match_index >= progress.catch_up_target {
            return Ok(());
        }
        Err(MembershipError::NotCaughtUp {
            replica,
            synced: progress.match_index,
            wanted: progress.catch_up_target,
        })
    }

    /// Makes the peers those of the membership in force.
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
        let departing = leadership.departing.as_ref().map(|gone| gone.replica);
        leadership
            .peers
            .retain(|id, _| members.contains(id) || departing == Some(*id));
        for member in members {
            let fresh = || Progress::new(last_index);
            leadership.peers.entry(member).or_insert_with(fresh);
        }
    }

    /// Goes on sending to a removed replica until it has the membership without it, so that it
    /// does not campaign.
    fn keep_departing(&mut self, replica: ReplicaId) {
        let index = self.log.last_index();
        let deadline = self.now + self.config.election_timeout;
        if let Some(leadership) = self.leadership_mut() {
            leadership.departing = Some(Departing {
                replica,
                index,
                deadline,
            });
        }
    }

    /// Forgets a removed replica that is informed of it, or does not answer.
    pub(crate) fn release_departed(&mut self) {
        let now = self.now;
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let Some(departing) = &leadership.departing else {
            return;
        };
        let progress = leadership.peers.get(&departing.replica);
        let is_informed = progress.is_none_or(|p| p.match_index >= departing.index);
        if is_informed || departing.deadline <= now {
            leadership.departing = None;
            self.sync_peers();
        }
    }
}
