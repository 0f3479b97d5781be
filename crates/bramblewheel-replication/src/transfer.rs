//! Leadership transfer before a planned stop, and resignation without a successor.

use crate::error::TransferError;
use crate::leadership::Transfer;
use crate::message::Body;
use crate::output::Abandoned;
use crate::progress::Progress;
use crate::replica::Replica;
use crate::types::ReplicaId;
use bramblewheel_types::Timestamp;

impl Replica {
    /// Gives up leadership or candidacy at once, without a successor, and restarts the election timer.
    ///
    /// Returns the results of the proposals and reads that can't be completed; those are not in a later output.
    pub fn resign(&mut self, now: Timestamp) -> Abandoned {
        self.advance_clock(now);
        self.become_follower(self.hard_state.term, None);
        Abandoned {
            proposals: std::mem::take(&mut self.proposal_results),
            reads: std::mem::take(&mut self.read_results),
        }
    }

    /// Starts to transfer leadership to the voter with the highest match index; returns that voter.
    ///
    /// Proposals are refused until it has taken over or an election time-out has passed.
    ///
    /// # Errors
    /// [`TransferError`] when this replica is not the leader or no other voter answers.
    pub fn transfer_leadership(&mut self, now: Timestamp) -> Result<ReplicaId, TransferError> {
        self.advance_clock(now);
        self.check_accepting()?;
        let target = self.transfer_target().ok_or(TransferError::NoTarget)?;
        let deadline = self.now + self.config.election_timeout;
        let leadership = self
            .leadership_mut()
            .expect("replica is the leader, as checked above");
        leadership.transfer = Some(Transfer {
            target,
            deadline,
            is_prompted: false,
        });
        Ok(target)
    }

    fn transfer_target(&self) -> Option<ReplicaId> {
        let leadership = self.leadership()?;
        let voters = &self.membership().voters;
        let match_index_if_reachable = |progress: &Progress| {
            let contact = progress.last_contact?;
            (contact + self.config.election_timeout >= self.now).then_some(progress.match_index)
        };
        let candidates = leadership
            .peers
            .iter()
            .filter(|(id, _)| voters.contains(id));
        candidates
            .filter_map(|(id, progress)| Some((match_index_if_reachable(progress)?, *id)))
            .max()
            .map(|(_, id)| id)
    }

    /// Asks the transfer target to start an election once it has synced the whole log.
    pub(crate) fn prompt_transfer_target(&mut self) {
        let last_index = self.log.last_index();
        let Some(leadership) = self.leadership_mut() else {
            return;
        };
        let Some(transfer) = &mut leadership.transfer else {
            return;
        };
        let target = transfer.target;
        let synced = leadership.peers.get(&target).map(|p| p.match_index);
        if transfer.is_prompted || synced != Some(last_index) {
            return;
        }
        transfer.is_prompted = true;
        self.send(target, Body::TransferLeadership);
    }
}
