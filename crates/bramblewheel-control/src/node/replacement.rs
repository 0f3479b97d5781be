//! Replacement of a lost replica, one membership change at a time.
//!
//! The new replica is added as a learner and receives the log. What follows depends on what is known of the
//! lost replica:
//!
//! - If the new replica has the address of the lost one, the data of the lost one is gone. The lost replica is
//!   removed before the promotion. With the new voter added first, a group of three would need three of four
//!   voters, of which one never answers, and could not bear that the new replica loses its data too.
//! - Otherwise the lost replica may only be silent and may return with its data. It is removed after the
//!   promotion. With the removal first, a group of three would have two voters for a moment, and could not
//!   bear that one of them loses its data, although the silent one has a copy.
//!
//! The replacement is recorded in the log and each step follows from the membership in force, so that
//! a new leader continues where the previous one stopped.

use super::events::WaitReason;
use super::output::ClientRequestId;
use super::{ControlNode, group};
use crate::state::Replacement;
use bramblewheel_protocol::control::{ReplaceRequest, ReplicaAddress, ReplyBody, Unavailable};
use bramblewheel_replication::{
    LogIndex, Membership, MembershipChange, MembershipError, ReplicaId, TransferError,
};
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// How long a client waits for the replacement. It may then send the same request again and continue to wait.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Clients that wait for the end of a replacement.
#[derive(Debug, Default)]
pub(super) struct WaitingClients(Vec<WaitingClient>);

#[derive(Debug)]
struct WaitingClient {
    id: ClientRequestId,
    request: ReplaceRequest,
    until: Timestamp,
}

/// Next step of a replacement.
enum Step {
    Change(MembershipChange),
    TransferLeadership,
    Wait(WaitReason),
    Done,
}

/// Members that a replacement removes.
fn lost_members(current: &Replacement, membership: &Membership) -> impl Iterator<Item = ReplicaId> {
    let lost = current.lost().iter().map(|lost| ReplicaId(*lost));
    lost.filter(|lost| membership.contains(*lost))
}

impl ControlNode {
    pub(super) fn on_replace(&mut self, id: ClientRequestId, request: ReplaceRequest) {
        if !self.ensure_leader(id) {
            return;
        }
        if let Err(reason) = self.check_replacement(&request) {
            return self.reply(id, ReplyBody::Rejected(reason));
        }
        if request.lost == self.config.address.replica {
            // A leader can't remove itself; the next leader will.
            let _ = self.replica.transfer_leadership(self.now.monotonic);
            return self.reply_not_leader(id);
        }
        let current = self.state.replacement();
        if !current.is_some_and(|current| current.is_requested_by(&request)) {
            self.queue.begin_replacement(request.clone());
        }
        let until = self.now.monotonic + CLIENT_TIMEOUT;
        let client = WaitingClient { id, request, until };
        self.replacement_clients.0.push(client);
    }

    fn check_replacement(&self, request: &ReplaceRequest) -> Result<(), String> {
        let (lost, new) = (
            ReplicaId(request.lost),
            ReplicaId(request.replacement.replica),
        );
        let next = Replacement::from_request(self.state.replacement(), request)?;
        // A replacement that was proposed but is not committed yet is not in the state.
        let mut waiting = self.replacement_clients.0.iter();
        if waiting.any(|client| client.request != *request && self.is_undecided(&client.request)) {
            return Err("another replacement is in progress".to_owned());
        }
        let membership = self.replica.membership();
        let is_known = self.state.replacement().is_some()
            || membership.contains(lost)
            || membership.contains(new);
        if !is_known {
            return Err(format!("replica {:016x} is not a member", lost.0));
        }
        let has_same_address = |member: ReplicaId| {
            let address = self.member_address(member);
            member != new
                && !next.lost().contains(&member.0)
                && address.is_some_and(|a| a.peer == request.replacement.peer)
        };
        if membership.members().any(has_same_address) {
            let address = request.replacement.peer;
            return Err(format!("another member has the address {address}"));
        }
        Ok(())
    }

    /// Whether a request accepted by this replica is not in the state yet.
    fn is_undecided(&self, request: &ReplaceRequest) -> bool {
        let current = self.state.replacement();
        let has_begun = current.is_some_and(|current| current.is_requested_by(request));
        !has_begun && (self.queue.has_replacement() || self.proposals.has_replacement())
    }

    /// Takes the next step of the replacement in progress, if there is one.
    pub(super) fn advance_replacement(&mut self) {
        if !self.is_leader() {
            self.removed_voter_for = None;
            for client in std::mem::take(&mut self.replacement_clients.0) {
                self.reply_unavailable(client.id, Unavailable::Undecided);
            }
            return;
        }
        if self.has_applied_earlier_terms() {
            self.take_replacement_step();
        }
        self.answer_replacement_clients();
    }

    /// Whether everything committed before this leader's term is applied. Otherwise the state may
    /// show a replacement that has since ended or changed.
    pub(super) fn has_applied_earlier_terms(&self) -> bool {
        self.state.position().term == self.replica.term().0
    }

    fn take_replacement_step(&mut self) {
        if self.queue.has_replacement() || self.proposals.has_replacement() {
            return;
        }
        let Some(current) = self.state.replacement() else {
            return self.remove_leftover_learner();
        };
        let new = current.new_replica().replica;
        match self.next_step(current) {
            Step::Change(change) => {
                self.note_removed_voter(&change, ReplicaId(new));
                self.change_membership(change);
            }
            Step::TransferLeadership => {
                // Retried with the next step.
                let transfer = self.replica.transfer_leadership(self.now.monotonic);
                if transfer == Err(TransferError::NoTarget) {
                    self.report_wait(ReplicaId(new), WaitReason::NoSuccessor);
                }
            }
            Step::Done => self.queue.end_replacement(new),
            Step::Wait(reason) => self.report_wait(ReplicaId(new), reason),
        }
    }

    /// Records that a voter is removed in favour of a new replica, which has the log at this time.
    fn note_removed_voter(&mut self, change: &MembershipChange, new: ReplicaId) {
        let voters = &self.replica.membership().voters;
        if matches!(change, MembershipChange::Remove(lost) if voters.contains(lost)) {
            self.removed_voter_for = Some(new);
        }
    }

    /// Removes the learner of a replacement that was given up.
    fn remove_leftover_learner(&mut self) {
        let is_settled = self.replica.membership_is_committed() && !self.proposals.has_membership();
        let learner = self.replica.membership().learners.first().copied();
        if let Some(learner) = learner.filter(|_| is_settled) {
            self.change_membership(MembershipChange::Remove(learner));
        }
    }

    fn next_step(&self, current: &Replacement) -> Step {
        let new = ReplicaId(current.new_replica().replica);
        let membership = self.replica.membership();
        if !self.replica.membership_is_committed() || self.proposals.has_membership() {
            return Step::Wait(WaitReason::MembershipChangePending);
        }
        if current.lost().contains(&self.replica.id().0) {
            return Step::TransferLeadership;
        }
        if !membership.contains(new) {
            return Step::Change(MembershipChange::AddLearner {
                replica: new,
                description: group::describe(current.new_replica()),
            });
        }
        if let Some(step) = self.step_before_promotion(current) {
            return step;
        }
        if membership.learners.contains(&new) {
            return self.promotion(new);
        }
        if !self.has_synced_membership(new) {
            return Step::Wait(WaitReason::PromotionNotSynced);
        }
        match lost_members(current, membership).next() {
            Some(lost) => self.removal(lost, new),
            None => Step::Done,
        }
    }

    /// Removal of a learner that is lost, or of a voter whose data is known to be lost.
    fn step_before_promotion(&self, current: &Replacement) -> Option<Step> {
        let membership = self.replica.membership();
        let mut lost = lost_members(current, membership);
        if let Some(learner) = lost.find(|lost| membership.learners.contains(lost)) {
            return Some(Step::Change(MembershipChange::Remove(learner)));
        }
        let new = ReplicaId(current.new_replica().replica);
        let mut lost = lost_members(current, membership);
        let voter = lost.find(|lost| self.has_address_of(*lost, current.new_replica()))?;
        Some(self.removal(voter, new))
    }

    /// Removal of a voter, once the new replica has the log.
    fn removal(&self, lost: ReplicaId, new: ReplicaId) -> Step {
        if self.is_caught_up(new) {
            Step::Change(MembershipChange::Remove(lost))
        } else {
            Step::Wait(self.not_caught_up(new))
        }
    }

    /// Promotion of the new replica, once it has the log.
    fn promotion(&self, new: ReplicaId) -> Step {
        // Once the group has a voter less, a new replica that stops answering must not delay the promotion.
        let had_log = self.removed_voter_for == Some(new);
        if had_log || self.is_caught_up(new) {
            Step::Change(MembershipChange::PromoteLearner(new))
        } else {
            Step::Wait(self.not_caught_up(new))
        }
    }

    fn has_address_of(&self, member: ReplicaId, new: &ReplicaAddress) -> bool {
        let address = self.recorded_address(member);
        address.is_some_and(|address| address.peer == new.peer)
    }

    /// Whether a member has synced the membership in force, and with it its own promotion. It may lack later
    /// entries: under load there is always one that it has not synced yet.
    fn has_synced_membership(&self, member: ReplicaId) -> bool {
        let synced = self.replica.match_index(member);
        member == self.replica.id() || synced >= Some(self.replica.membership_index())
    }

    fn not_caught_up(&self, new: ReplicaId) -> WaitReason {
        WaitReason::NotCaughtUp {
            synced: self.replica.match_index(new).unwrap_or(LogIndex(0)),
            committed: self.replica.commit_index(),
        }
    }

    /// Whether a member could be promoted now. The lost replica is removed only then, since the group has one
    /// voter less until the promotion.
    fn is_caught_up(&self, member: ReplicaId) -> bool {
        member == self.replica.id() || self.replica.is_caught_up(member)
    }

    /// Proposes a membership change. A refused change, such as the promotion of a learner that is
    /// behind, is retried with the next step.
    fn change_membership(&mut self, change: MembershipChange) {
        let id = self.fresh_proposal();
        let now = self.now.monotonic;
        match self.replica.propose_membership(now, id, change) {
            Ok(()) => self.proposals.add_membership_change(id),
            Err(MembershipError::NotCaughtUp { replica, .. }) => {
                let reason = self.not_caught_up(replica);
                self.report_wait(replica, reason);
            }
            Err(_) => {}
        }
    }

    /// Answers the clients whose replacement has ended or whose wait is over.
    fn answer_replacement_clients(&mut self) {
        let is_changing = self.queue.has_replacement() || self.proposals.has_replacement();
        for client in std::mem::take(&mut self.replacement_clients.0) {
            let current = self.state.replacement();
            let is_current =
                current.is_some_and(|current| current.is_requested_by(&client.request));
            if !is_current && !is_changing {
                let reply = self.reply_to_ended(&client.request);
                self.reply(client.id, reply);
            } else if client.until <= self.now.monotonic {
                self.reply_unavailable(client.id, Unavailable::Undecided);
            } else {
                self.replacement_clients.0.push(client);
            }
        }
    }

    /// Handles an entry that begins or ends a replacement and may not have been committed. Clients
    /// whose replacement is not in the state must send the request again.
    pub(super) fn replacement_undecided(&mut self) {
        for client in std::mem::take(&mut self.replacement_clients.0) {
            let current = self.state.replacement();
            if current.is_some_and(|current| current.is_requested_by(&client.request)) {
                self.replacement_clients.0.push(client);
            } else {
                self.reply_unavailable(client.id, Unavailable::Undecided);
            }
        }
    }

    /// Reply to a request whose replacement is no longer in progress.
    fn reply_to_ended(&self, request: &ReplaceRequest) -> ReplyBody {
        let membership = self.replica.membership();
        let new = ReplicaId(request.replacement.replica);
        let is_in_place = membership.voters.contains(&new);
        if is_in_place && !membership.contains(ReplicaId(request.lost)) {
            return ReplyBody::Done;
        }
        ReplyBody::Rejected("another replacement was begun in its place".to_owned())
    }
}
