//! Replacement of a lost replica, one membership change at a time.
//!
//! The order is: admit as learner, wait until it has the log, remove the lost replica, promote.
//! The lost one goes first because until then it counts in the quorum: with the new voter added
//! to it, a group of three would have to reach three of four, so that a new replica which fails at
//! once would stop the group.
//!
//! What is to be replaced stands in the log, and each step follows from the membership in force,
//! so that the next leader goes on where the last one stopped.

use super::output::ClientRequestId;
use super::{ControlNode, group};
use crate::state::Replacement;
use bramblewheel_protocol::control::{ReplaceRequest, ReplyBody, Unavailable};
use bramblewheel_replication::{LogIndex, MembershipChange, ReplicaId};
use bramblewheel_types::Timestamp;
use std::time::Duration;

/// How long a client is kept waiting; a later one may ask again and waits on; chosen, not measured.
const WAIT: Duration = Duration::from_secs(60);
/// Entries a learner may lack when the lost replica is removed; the promotion has a check of its
/// own. Chosen, not measured.
const SMALL_LAG: u64 = 64;

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
    HandOver,
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
        let current = self.state.replacement();
        if !current.is_some_and(|current| current.is_requested_by(&request)) {
            self.queue.begin_replacement(request.clone());
        }
        let until = self.now.monotonic + WAIT;
        let client = WaitingClient { id, request, until };
        self.replacement_clients.0.push(client);
    }

    fn check_replacement(&self, request: &ReplaceRequest) -> Result<(), String> {
        let (lost, new) = (
            ReplicaId(request.lost),
            ReplicaId(request.replacement.replica),
        );
        Replacement::from_request(self.state.replacement(), request)?;
        // One that is on its way into the log is not in the state yet.
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

    /// Whether a request that was accepted here is neither in the state nor carried out.
    fn is_undecided(&self, request: &ReplaceRequest) -> bool {
        let current = self.state.replacement();
        let is_begun = current.is_some_and(|current| current.is_requested_by(request));
        !is_begun && (self.queue.has_replacement() || self.proposals.has_replacement())
    }

    /// Takes the next step of the replacement in progress, if there is one.
    pub(super) fn advance_replacement(&mut self) {
        if !self.is_leader() {
            for client in std::mem::take(&mut self.replacement_clients.0) {
                self.unavailable(client.id, Unavailable::Undecided);
            }
            return;
        }
        if self.knows_all_before_its_term() {
            self.take_replacement_step();
        }
        self.answer_replacement_clients();
    }

    /// Whether all that was committed before this leader's term is applied, so that the state
    /// shows no replacement that has ended or changed since.
    pub(super) fn knows_all_before_its_term(&self) -> bool {
        self.state.position().term == self.replica.term().0
    }

    fn take_replacement_step(&mut self) {
        let is_changing = self.queue.has_replacement() || self.proposals.has_replacement();
        let Some(current) = self.state.replacement().filter(|_| !is_changing) else {
            return;
        };
        let new = current.new_replica().replica;
        match self.next_step(current) {
            Step::Change(change) => self.change_membership(change),
            Step::HandOver => {
                // Refused while nobody can take over: tried again with the next step.
                let _ = self.replica.transfer_leadership(self.now.monotonic);
            }
            Step::Done => self.queue.end_replacement(new),
            Step::Wait => {}
        }
    }

    fn next_step(&self, current: &Replacement) -> Step {
        let new = ReplicaId(current.new_replica().replica);
        let membership = self.replica.membership();
        if !self.replica.membership_is_committed() || self.proposals.has_membership() {
            return Step::Wait;
        }
        if current.lost().contains(&self.replica.id().0) {
            return Step::HandOver;
        }
        if !membership.contains(new) {
            return Step::Change(MembershipChange::AddLearner {
                replica: new,
                description: group::describe(current.new_replica()),
            });
        }
        let mut lost = current.lost().iter().map(|lost| ReplicaId(*lost));
        if let Some(lost) = lost.find(|lost| membership.contains(*lost)) {
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

    /// Answers the clients whose replacement has ended, and those that have waited long.
    fn answer_replacement_clients(&mut self) {
        let is_changing = self.queue.has_replacement() || self.proposals.has_replacement();
        for client in std::mem::take(&mut self.replacement_clients.0) {
            let current = self.state.replacement();
            let is_current =
                current.is_some_and(|current| current.is_requested_by(&client.request));
            if !is_current && !is_changing {
                let reply = self.end_of(&client.request);
                self.reply(client.id, reply);
            } else if client.until <= self.now.monotonic {
                self.unavailable(client.id, Unavailable::Undecided);
            } else {
                self.replacement_clients.0.push(client);
            }
        }
    }

    /// An entry that begins or ends a replacement may not be in the log: who waits for its begin
    /// must ask again.
    pub(super) fn replacement_undecided(&mut self) {
        for client in std::mem::take(&mut self.replacement_clients.0) {
            let current = self.state.replacement();
            if current.is_some_and(|current| current.is_requested_by(&client.request)) {
                self.replacement_clients.0.push(client);
            } else {
                self.unavailable(client.id, Unavailable::Undecided);
            }
        }
    }

    /// What became of a request that is not in progress any more.
    fn end_of(&self, request: &ReplaceRequest) -> ReplyBody {
        let membership = self.replica.membership();
        let new = ReplicaId(request.replacement.replica);
        let is_in_place = membership.voters.contains(&new);
        if is_in_place && !membership.contains(ReplicaId(request.lost)) {
            return ReplyBody::Done;
        }
        ReplyBody::Rejected("another replacement was begun in its place".to_owned())
    }
}
