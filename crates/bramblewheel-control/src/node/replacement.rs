//! Replacement of a lost replica, one membership change at a time.
//!
//! The order is: admit as learner, wait until it has the log, remove the lost replica, promote.
//! The lost one goes first because until then it counts in the quorum: with the new voter added
//! to it, a group of three would have to reach three of four, so that a new replica which fails at
//! once would stop the group.

use super::output::ClientRequestId;
use super::{ControlNode, group};
use bramblewheel_protocol::control::{ReplaceRequest, ReplyBody, Unavailable};
use bramblewheel_replication::{LogIndex, MembershipChange, ReplicaId};
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// How long a client is kept waiting; a later one may ask again and waits on.
const WAIT: Duration = Duration::from_secs(60);
/// Entries a learner may lack when the lost replica is removed; the promotion has a check of its
/// own.
const SMALL_LAG: u64 = 64;

/// A replacement that this leader carries out.
#[derive(Debug)]
pub(super) struct Replacement {
    request: ReplaceRequest,
    waiting: Vec<(ClientRequestId, Timestamp)>,
}

/// What is next.
enum Step {
    Change(MembershipChange),
    Wait,
    Done,
}

impl ControlNode {
    pub(super) fn on_replace(&mut self, id: ClientRequestId, request: ReplaceRequest) {
        if !self.leads_or_refuses(id) {
            return;
        }
        if let Err(reason) = self.check_replacement(&request) {
            return self.reply(id, ReplyBody::Rejected(reason));
        }
        if request.lost == self.config.address.replica {
            // The next leader can remove this one.
            let _ = self.replica.transfer_leadership(self.now.monotonic);
            return self.not_leader(id);
        }
        let until = self.now.monotonic + WAIT;
        let waiting = Vec::new();
        let fresh = Replacement { request, waiting };
        let current = self.replacement.get_or_insert(fresh);
        current.waiting.push((id, until));
        self.advance_replacement();
    }

    fn check_replacement(&self, request: &ReplaceRequest) -> Result<(), String> {
        let (lost, new) = (
            ReplicaId(request.lost),
            ReplicaId(request.replacement.replica),
        );
        if lost == new {
            return Err("the replacement is the lost replica itself".to_owned());
        }
        let current = self.replacement.as_ref().map(|current| &current.request);
        if current.is_some_and(|current| current != request) {
            return Err("another replacement is in progress".to_owned());
        }
        let membership = self.replica.membership();
        if !membership.contains(lost) && !membership.contains(new) {
            return Err(format!("replica {:016x} is not a member", lost.0));
        }
        let is_taken = |member: ReplicaId| {
            let address = self.member_address(member);
            member != lost
                && member != new
                && address.is_some_and(|a| a.peer == request.replacement.peer)
        };
        if membership.members().any(is_taken) {
            let address = request.replacement.peer;
            return Err(format!("another member has the address {address}"));
        }
        Ok(())
    }

    /// Takes the next step of the replacement in progress, if there is one.
    pub(super) fn advance_replacement(&mut self) {
        let Some(mut current) = self.replacement.take() else {
            return;
        };
        if !self.is_leader() {
            for (id, _) in current.waiting {
                self.unavailable(id, Unavailable::Undecided);
            }
            return;
        }
        match self.next_step(&current.request) {
            Step::Done => {
                for (id, _) in current.waiting {
                    self.reply(id, ReplyBody::Done);
                }
                return;
            }
            Step::Change(change) => self.change_membership(change),
            Step::Wait => {}
        }
        let now = self.now.monotonic;
        for (id, _) in current.waiting.extract_if(.., |(_, until)| *until <= now) {
            self.unavailable(id, Unavailable::Undecided);
        }
        self.replacement = Some(current);
    }

    fn next_step(&self, request: &ReplaceRequest) -> Step {
        let (lost, new) = (
            ReplicaId(request.lost),
            ReplicaId(request.replacement.replica),
        );
        let membership = self.replica.membership();
        if !self.replica.membership_is_committed() || self.proposals.has_membership() {
            return Step::Wait;
        }
        if !membership.contains(new) {
            return Step::Change(MembershipChange::AddLearner {
                replica: new,
                description: group::describe(&request.replacement),
            });
        }
        if membership.contains(lost) {
            return if self.lag_of(new) <= SMALL_LAG {
                Step::Change(MembershipChange::Remove(lost))
            } else {
                Step::Wait
            };
        }
        if membership.learners.contains(&new) {
            return Step::Change(MembershipChange::PromoteLearner(new));
        }
        // Finished only once it has all there is, its own promotion included.
        if self.lag_of(new) == 0 {
            Step::Done
        } else {
            Step::Wait
        }
    }

    /// Entries committed that a member is not known to have synced.
    fn lag_of(&self, member: ReplicaId) -> u64 {
        if member == self.replica.id() {
            return 0;
        }
        let synced = self.replica.match_index(member).unwrap_or(LogIndex(0));
        let committed = self.replica.commit_index();
        if synced.0 == 0 {
            return u64::MAX;
        }
        committed.0.saturating_sub(synced.0)
    }

    /// A change that is refused now, such as of a learner that is behind, is tried again.
    fn change_membership(&mut self, change: MembershipChange) {
        let id = self.fresh_proposal();
        let now = self.now.monotonic;
        if self.replica.propose_membership(now, id, change).is_ok() {
            self.proposals.opened_membership(id);
        }
    }
}
