//! Proposes what a leader has queued.

use super::ControlNode;
use super::proposals::Purpose;
use crate::state::LoggedCommand;

impl ControlNode {
    /// Proposes what was queued; one entry for all operations and one for all daemons.
    pub(super) fn propose_queued(&mut self) {
        let time = self.proposal_time();
        // Decided by a time that stands still, claims would be refused for no reason. A follower's
        // are refused below.
        let may_operate = time.is_some() || !self.is_leader();
        let proposed_at = time
            .unwrap_or_default()
            .max(self.state.log_time_unix_millis());
        for (purpose, command) in self.queue.take(may_operate) {
            let id = self.fresh_proposal();
            let logged = LoggedCommand {
                proposed_at_unix_millis: proposed_at,
                command,
            };
            let proposed = self
                .replica
                .propose(self.now.monotonic, id, logged.encode());
            match proposed {
                Ok(()) => {
                    self.counters.proposals += 1;
                    self.proposals.opened(id, purpose, &logged.command);
                }
                Err(_) => self.refuse_as_follower(&purpose),
            }
        }
    }

    /// Time that the clocks of a majority have reached.
    pub(super) fn proposal_time(&self) -> Option<u64> {
        let own = (self.replica.id(), self.now.unix_millis);
        let voters = &self.replica.membership().voters;
        self.clocks.majority_time(own, voters, self.now.monotonic)
    }

    fn refuse_as_follower(&mut self, purpose: &Purpose) {
        match purpose {
            Purpose::Publish(id) => self.not_leader(*id),
            Purpose::Operations(parts) => {
                for (id, _) in parts {
                    self.not_leader(*id);
                }
            }
            Purpose::Table(id) => self.not_leader(*id),
            Purpose::Endpoints(ids) | Purpose::Contents(ids) => {
                for id in ids {
                    self.not_leader(*id);
                }
            }
            // Found to be missing again with the next poll.
            Purpose::Directory | Purpose::Address(_) | Purpose::Membership => {}
            Purpose::Replacement => self.replacement_undecided(),
        }
    }
}
