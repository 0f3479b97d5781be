//! Proposes a leader's queued commands.

use super::ControlNode;
use super::proposals::Purpose;
use crate::state::LoggedCommand;

impl ControlNode {
    /// Proposes the queued commands, batching operations, daemon changes, endpoint registrations and
    /// content reports into one entry each.
    pub(super) fn propose_queued(&mut self) {
        let time = self.proposal_time();
        // Without a majority time, log time stands still and claims would be refused as minted too far
        // ahead, so operations wait. On a follower they are taken here and refused below.
        let include_operations = time.is_some() || !self.is_leader();
        let proposed_at = time
            .unwrap_or_default()
            .max(self.state.log_time_unix_millis());
        for (purpose, command) in self.queue.take(include_operations) {
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
                    self.proposals.add(id, purpose, &logged.command);
                }
                Err(_) => self.refuse_as_follower(&purpose),
            }
        }
    }

    /// Time that the wall clocks of a majority have reached; `None` if too few are known.
    pub(super) fn proposal_time(&self) -> Option<u64> {
        let own = (self.replica.id(), self.now.unix_millis);
        let voters = &self.replica.membership().voters;
        self.clocks.majority_time(own, voters, self.now.monotonic)
    }

    fn refuse_as_follower(&mut self, purpose: &Purpose) {
        match purpose {
            Purpose::Publish(id) => self.reply_not_leader(*id),
            Purpose::Operations(parts) => {
                for (id, _) in parts {
                    self.reply_not_leader(*id);
                }
            }
            Purpose::Table(id) => self.reply_not_leader(*id),
            Purpose::Endpoints(ids) | Purpose::Contents(ids) => {
                for id in ids {
                    self.reply_not_leader(*id);
                }
            }
            // The need for these is detected again with the next poll or housekeeping.
            Purpose::Directory | Purpose::Address(_) | Purpose::Membership => {}
            Purpose::Replacement => self.replacement_undecided(),
        }
    }
}
